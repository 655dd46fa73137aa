// Baseline for bench_yardstick: forwards every request to one target without routing decisions.

#include "damaskward/Transport"
#include "tools/common/process.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1:8090", "IP:PORT to listen on");
DEFINE_string(target, "127.0.0.1:9000", "IP:PORT to forward to");
DEFINE_int32(threads, 8, "threads that serve the network");

namespace {

using namespace damaskward;

result<int> serve()
{
    const auto client = makeHttpClient(FLAGS_target, milliseconds(10000));
    http_server server(FLAGS_address, [client](const web::http::http_request &request) {
        web::http::http_request forwarded(request.method());
        forwarded.set_request_uri(request.relative_uri());
        client->request(forwarded)
            .then(
                [](const web::http::http_response &response) { return response.extract_vector(); })
            .then([request](const pplx::task<std::vector<unsigned char>> &body) {
                web::http::http_response response(200);
                try {
                    response.set_body(body.get());
                } catch (const std::exception &) {
                    response.set_status_code(502);
                }
                sendReply(request, response);
            });
    });
    BOOST_LEAF_CHECK(server.open());
    waitForStopSignal();
    std::_Exit(ExitOk);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    blockStopSignals();
    setNetworkThreads(FLAGS_threads);
    return runMain("bench_bare_forwarder", serve);
}
