#include "http_channel.h"

#include "../Proxy/outgoing_pool.h"
#include "../Proxy/tcp_endpoint.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <optional>
#include <thread>

namespace damaskward {
namespace internal {

using boost::asio::ip::tcp;

/// Above any table of the platform and any answer of a target.
constexpr std::uint64_t maxAnswerBytes = 64U << 20U;
constexpr std::size_t maxHeldAnswerBytes = 256U << 20U;

/// A call whose outcome is not known yet. Event loop thread only, except for its construction.
class pending_call
{
public:
    explicit pending_call(pplx::task_completion_event<http_outcome> done)
        : m_done(std::move(done))
    { }

    bool isDone() const { return !m_done; }

    void setHandle(const call_handle &handle) { m_handle = handle; }

    void finish(http_outcome &&outcome)
    {
        if (m_done) {
            m_done->set(std::move(outcome));
            m_done.reset(); // It would hold the outcome as long as the token of the call.
        }
    }

    void cancel()
    {
        if (!isDone()) {
            m_handle.cancel();
            finish({http_failure::TimedOut, 0, {}, {}});
        }
    }

private:
    std::optional<pplx::task_completion_event<http_outcome>> m_done;
    call_handle m_handle;
};

http_failure failureOf(call_failure failure)
{
    switch (failure) {
    case call_failure::None:
        return http_failure::None;
    case call_failure::Refused:
        return http_failure::Refused;
    case call_failure::Unreachable:
        return http_failure::Unreachable;
    case call_failure::TimedOut:
        return http_failure::TimedOut;
    case call_failure::Lost:
    case call_failure::InvalidAnswer:
        break;
    }
    return http_failure::Lost;
}

http_outcome outcomeOf(call_result &&result)
{
    http_outcome outcome;
    outcome.failure = failureOf(result.failure);
    if (outcome.failure != http_failure::None) {
        return outcome;
    }
    outcome.status = static_cast<int>(result.answer.result_int());
    for (const auto &field : result.answer) {
        outcome.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    outcome.body = std::move(result.answer.body());
    return outcome;
}

std::string headOf(const http_call &call)
{
    std::string text = call.method;
    text.append(" ").append(call.path).append(" HTTP/1.1\r\nHost: ").append(call.address);
    text += "\r\n";
    for (const auto &[name, value] : call.fields) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!call.contentType.empty()) {
        text.append("Content-Type: ").append(call.contentType).append("\r\n");
    }
    if (!call.body.empty() || call.method != "GET") {
        text.append("Content-Length: ").append(std::to_string(call.body.size())).append("\r\n");
    }
    return text.append("\r\n");
}

} // namespace internal

/// The event loop of the connections, with its thread.
class http_channel::event_loop
{
public:
    event_loop()
        : m_work(boost::asio::make_work_guard(m_context))
        , m_guard([](std::string_view, std::string_view) {}) // The call fails and says so.
        , m_deadlines(m_context, m_guard)
        , m_pool(m_context, m_deadlines, m_guard, {}, internal::maxHeldAnswerBytes, nullptr,
                 internal::maxAnswerBytes)
        , m_resolver(m_context)
        , m_thread([this] { m_context.run(); })
    { }
    ~event_loop()
    {
        m_context.stop();
        m_thread.join();
    }
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    template <typename Action>
    void post(Action &&action)
    {
        boost::asio::post(m_context, std::forward<Action>(action));
    }

    void start(const std::shared_ptr<internal::pending_call> &pending, http_call &&call)
    {
        runGuarded(*pending, [&] { resolveAndSend(pending, std::move(call)); });
    }

private:
    /// Runs an action that serves \a pending. An exception ends only this call.
    template <typename Action>
    void runGuarded(internal::pending_call &pending, Action &&action)
    {
        if (!m_guard.run("call", std::forward<Action>(action))) {
            pending.finish({http_failure::Lost, 0, {}, {}});
        }
    }

    /// Sends \a call, after its host name has been resolved if it has one.
    void resolveAndSend(const std::shared_ptr<internal::pending_call> &pending, http_call &&call)
    {
        if (parseEndpoint(call.address)) {
            const std::string address = call.address;
            send(pending, std::move(call), address);
            return;
        }
        const std::size_t colon = std::min(call.address.rfind(':'), call.address.size());
        const std::string host = call.address.substr(0, colon);
        const std::string port = call.address.substr(std::min(colon + 1, call.address.size()));
        m_resolver.async_resolve(
            internal::tcp::v4(), host, port,
            [this, pending, call = std::move(call)](
                boost::system::error_code error,
                const internal::tcp::resolver::results_type &endpoints) mutable {
                if (error || endpoints.empty()) {
                    pending->finish({http_failure::Refused, 0, {}, {}});
                    return;
                }
                runGuarded(*pending, [&] {
                    const internal::tcp::endpoint first = endpoints.begin()->endpoint();
                    send(pending, std::move(call),
                         first.address().to_string() + ":" + std::to_string(first.port()));
                });
            });
    }

    void send(const std::shared_ptr<internal::pending_call> &pending, http_call &&call,
              const std::string &address)
    {
        if (pending->isDone()) {
            return; // Cancelled before it was sent.
        }
        outgoing_call outgoing;
        // A connection that carries no other call is not left to later calls either.
        const std::string key = call.needsNewConnection ? address + "#single" : address;
        outgoing.connectionKey = key;
        outgoing.address = address;
        outgoing.head = internal::headOf(call);
        outgoing.isHeadRequest = call.method == "HEAD";
        outgoing.deadline = call.deadline;
        outgoing.needsNewConnection = call.needsNewConnection;
        outgoing.body = std::make_shared<const std::string>(std::move(call.body));
        const bool isSingle = call.needsNewConnection;
        pending->setHandle(
            m_pool.send(std::move(outgoing), [this, pending, key, isSingle](call_result &&result) {
                if (isSingle) {
                    m_pool.closeIdleTo(key);
                }
                pending->finish(internal::outcomeOf(std::move(result)));
            }));
    }

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    handler_guard m_guard;
    deadline_queue m_deadlines;
    outgoing_pool m_pool;
    internal::tcp::resolver m_resolver;
    std::thread m_thread;
};

std::string http_outcome::field(std::string_view name) const
{
    const boost::beast::string_view wanted(name.data(), name.size());
    for (const auto &[fieldName, value] : fields) {
        if (boost::beast::iequals(fieldName, wanted)) {
            return value;
        }
    }
    return {};
}

bool http_outcome::isFramed() const
{
    return !field("Content-Length").empty() || !field("Transfer-Encoding").empty();
}

http_channel &http_channel::shared()
{
    static auto *const channel = new http_channel; // Never destroyed, see the declaration.
    return *channel;
}

http_channel::http_channel()
    : m_loop(std::make_unique<event_loop>())
{ }

http_channel::~http_channel() = default;

pplx::task<http_outcome> http_channel::send(http_call call, const pplx::cancellation_token &cancel)
{
    const pplx::task_completion_event<http_outcome> done;
    const auto pending = std::make_shared<internal::pending_call>(done);
    m_loop->post([this, pending, call = std::move(call)]() mutable {
        m_loop->start(pending, std::move(call));
    });
    if (cancel.is_cancelable()) {
        cancel.register_callback(
            [this, pending] { m_loop->post([pending] { pending->cancel(); }); });
    }
    return pplx::create_task(done);
}

} // namespace damaskward
