#include "peer_link.h"

#include "headers.h"
#include "rpc_call.h"

namespace damaskward {
namespace internal {

constexpr std::size_t maxQueuedCalls = 256;
constexpr milliseconds maxPopWait{1000};
constexpr int httpOk = 200;

} // namespace internal

peer_link::peer_link(const std::string &address, const std::string &secret, milliseconds timeout,
                     http_channel &channel)
    : m_address(address)
    , m_secret(secret)
    , m_timeout(timeout)
    , m_channel(channel)
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

/// Posts \a request and waits. \returns whether the peer answered with status 200.
bool peer_link::exchange(const std::string &request, std::string &answer)
{
    http_call call;
    call.address = m_address;
    call.method = "POST";
    call.path = "/rpc";
    call.fields = {{header::secret, m_secret}};
    call.contentType = "application/json";
    call.body = request;
    call.deadline = mono_clock::now() + m_timeout;
    http_outcome outcome = m_channel.send(std::move(call)).get();
    answer = std::move(outcome.body);
    return outcome.hasStatus(internal::httpOk);
}

void peer_link::run()
{
    const rpc_transport transport = [this](const std::string &request, std::string &answer) {
        const bool answered = exchange(request, answer);
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
