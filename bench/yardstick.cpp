// Throughput and tail latency compared with a bare forwarder in the same run: with entry and gate
// in one VM, and with two VMs on the path.

#include "damaskward/Metrics"
#include "damaskward/Transport"
#include "test/support/process_fleet.h"
#include "tools/common/process.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <mutex>
#include <thread>

DEFINE_int32(rounds, 5, "rounds; each measures the forwarder and both paths one after another");
DEFINE_int32(connections, 32, "concurrent requests");
DEFINE_int32(seconds, 3, "duration of one measurement in seconds");

namespace {

using namespace damaskward;
using namespace damaskward::testing;

const char *const apiKey = "yardstick-key";

/// The results of one measurement.
struct measurement
{
    double perSecond = 0.0;
    double p99Millis = 0.0;
    std::uint64_t failed = 0;
};

/// Keeps FLAGS_connections requests in flight for a given time.
class closed_loop
{
public:
    closed_loop(const std::string &address, std::string path)
        : m_client(makeHttpClient(address, milliseconds(10000)))
        , m_path(std::move(path))
    { }

    measurement run(duration length)
    {
        const time_point startedAt = mono_clock::now();
        m_endsAt = startedAt + length;
        m_activeConnections = FLAGS_connections;
        for (int i = 0; i < FLAGS_connections; ++i) {
            sendNext();
        }
        while (m_activeConnections > 0) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        const double elapsedSeconds =
            std::chrono::duration<double>(mono_clock::now() - startedAt).count();
        constexpr double nanosPerMilli = 1e6;
        return {static_cast<double>(m_latency.count()) / elapsedSeconds,
                static_cast<double>(m_latency.quantile(0.99).count()) / nanosPerMilli, m_failed};
    }

private:
    void sendNext()
    {
        web::http::http_request request(web::http::methods::GET);
        request.set_request_uri(m_path);
        request.headers().add(header::apiKey, apiKey);
        const time_point sentAt = mono_clock::now();
        m_client->request(request)
            .then([](const web::http::http_response &response) {
                if (response.status_code() != 200) {
                    throw std::runtime_error("refused");
                }
                return response.extract_vector();
            })
            .then([this, sentAt](const pplx::task<std::vector<unsigned char>> &body) {
                const time_point now = mono_clock::now();
                {
                    const std::lock_guard lock(m_mutex);
                    try {
                        body.get();
                        m_latency.add(now - sentAt);
                    } catch (const std::exception &) {
                        ++m_failed;
                    }
                }
                if (now < m_endsAt) {
                    sendNext();
                } else {
                    --m_activeConnections;
                }
            });
    }

    std::shared_ptr<web::http::client::http_client> m_client;
    std::string m_path;
    time_point m_endsAt;
    std::atomic<int> m_activeConnections{0};
    std::mutex m_mutex;
    latency_histogram m_latency;
    std::uint64_t m_failed = 0;
};

fleet_options makeOptions()
{
    fleet_options options;
    options.portBase = 28000;
    options.vms = {{"a1", "a"}, {"a2", "a"}};
    options.targets = {{"lookup/l1", "a",
                        R"({"slots":1000,"service_us":0,"unchecked":true,"forgetful":true})",
                        "slots=1000 connections=1000"}};
    options.rules = "data-center a share=100 # bench\n"
                    "service lookup keyed idempotent shards=1 # bench\nallow * lookup # bench\n"
                    "team t # bench\n"
        + teamRules("t", apiKey, 1000000, 1000000);
    return options;
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    setNetworkThreads(8);
    process_fleet fleet(makeOptions());
    if (!fleet.start()) {
        std::cerr << "the fleet did not start\n";
        return 1;
    }
    const std::string bare = "127.0.0.1:28090";
    fleet.startCommand("bare",
                       {std::string(DAMASKWARD_BENCH_BIN) + "/bench_bare_forwarder", "--address",
                        bare, "--target", fleet.targetAddress("lookup/l1")});
    const std::string path = "/lookup/k";
    process_fleet::waitUntil(seconds(10), [&] {
        return fleet.get(0, path, apiKey).state() == "run"
            && fleet.get(1, path, apiKey).state() == "run"
            && httpCall(bare, "GET", path, {}, {}).status == 200;
    });
    const Json::Value vmStatus = fleet.status(0);
    const std::size_t gate = jsonText(vmStatus["targets"][0], "gate") == "a1" ? 0 : 1;
    const std::string addresses[] = {bare, fleet.callerAddress(gate),
                                     fleet.callerAddress(1 - gate)};
    const char *const names[] = {"bare forwarder", "entry and gate in one VM", "two VMs"};
    std::vector<double> rates[3];
    std::vector<double> tails[3];
    for (int round = 0; round < FLAGS_rounds; ++round) {
        for (std::size_t i = 0; i < 3; ++i) {
            const measurement measured =
                closed_loop(addresses[i], path).run(std::chrono::seconds(FLAGS_seconds));
            rates[i].push_back(measured.perSecond);
            tails[i].push_back(measured.p99Millis);
            std::cout << "round " << round << ' ' << names[i] << ": " << measured.perSecond
                      << " requests/s, p99 " << measured.p99Millis << " ms, failed "
                      << measured.failed << std::endl;
        }
    }
    for (std::size_t i = 1; i < 3; ++i) {
        std::cout << names[i] << " to bare forwarder, medians: throughput x "
                  << median(rates[i]) / median(rates[0]) << ", p99 x "
                  << median(tails[i]) / median(tails[0]) << std::endl;
    }
    return 0;
}
