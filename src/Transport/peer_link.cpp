#include "peer_link.h"

#include "headers.h"
#include "rpc_call.h"

#include <cpprest/http_client.h>

namespace damaskward {
namespace internal {

constexpr std::size_t maxQueuedCalls = 256;
constexpr milliseconds maxPopWait{1000};

} // namespace internal

/// HTTP client for the peer's JSON-RPC endpoint.
class peer_link::connection
{
public:
    connection(const std::string &address, std::string secret, milliseconds timeout)
        : m_secret(std::move(secret))
        , m_client(web::uri("http://" + address), makeConfig(timeout))
    { }

    /// Posts \a request and waits. \returns whether the peer answered with status 200.
    bool exchange(const std::string &request, std::string &answer)
    {
        web::http::http_request message(web::http::methods::POST);
        message.set_request_uri("/rpc");
        message.headers().add(header::secret, m_secret);
        message.set_body(request, "application/json");
        try {
            const web::http::http_response response = m_client.request(message).get();
            answer = response.extract_utf8string(true).get();
            return response.status_code() == web::http::status_codes::OK;
        } catch (const std::exception &) {
            return false;
        }
    }

private:
    static web::http::client::http_client_config makeConfig(milliseconds timeout)
    {
        web::http::client::http_client_config config;
        config.set_timeout(timeout);
        return config;
    }

    std::string m_secret;
    web::http::client::http_client m_client;
};

peer_link::peer_link(const std::string &address, const std::string &secret, milliseconds timeout)
    : m_connection(std::make_unique<connection>(address, secret, timeout))
    , m_calls(internal::maxQueuedCalls)
    , m_thread([this] { run(); })
{ }

peer_link::~peer_link()
{
    m_stopping = true;
    m_calls.close();
    m_thread.join();
}

void peer_link::call(const std::string &method, const Json::Value &parameters, callback done)
{
    auto pending =
        std::make_shared<pending_call>(pending_call{method, parameters, std::move(done)});
    if (!m_calls.tryPush(pending)) {
        pending->done(nullptr);
    }
}

void peer_link::run()
{
    const rpc_transport transport = [this](const std::string &request, std::string &answer) {
        const bool answered = m_connection->exchange(request, answer);
        m_bytes += request.size() + answer.size();
        return answered;
    };
    while (!m_stopping) {
        const auto next = m_calls.popUntil(mono_clock::now() + internal::maxPopWait);
        if (!next) {
            continue;
        }
        Json::Value result;
        const std::string failure =
            callRpc(transport, (*next)->method, (*next)->parameters, result);
        (*next)->done(failure.empty() ? &result : nullptr);
    }
}

} // namespace damaskward
