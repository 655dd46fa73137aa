/// \file
/// \brief The client side of HTTP/1.1: connections to targets, to the platform and to other VMs.

#pragma once

#include "../Admission/memory_account.h"
#include "../Admission/memory_hold.h"
#include "../Core/time.h"
#include "deadline_queue.h"
#include "handler_guard.h"
#include "http_message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// Why a call has no answer.
enum class call_failure {
    None,
    Refused, ///< the connection was refused; nothing was sent
    Unreachable, ///< no connection was established before the deadline; nothing was sent
    Lost, ///< sent at least in part, without an answer: the peer may have executed it
    InvalidAnswer, ///< the answer is truncated or not valid HTTP
    TimedOut ///< no complete answer before the deadline
};

/// \returns whether it is certain that no byte of the call was sent.
inline bool neverSent(call_failure failure)
{
    return failure == call_failure::Refused || failure == call_failure::Unreachable;
}

/// The outcome of a call: an answer, or the reason why there is none.
struct call_result
{
    call_failure failure = call_failure::None;
    http_answer answer;
    time_point sentAt{}; ///< when its first byte was passed to the connection; empty if never
};

/// One call to send.
struct outgoing_call
{
    /// Calls with the same key share connections, such as those to one target.
    std::string connectionKey;
    std::string address; ///< IP:PORT
    std::string head; ///< request line and fields with the empty line
    request_body body; ///< null for none
    bool isHeadRequest = false; ///< the answer has no body (HEAD)
    /// Answers with another id are skipped, and on a reused connection those without one; empty
    /// accepts any answer.
    std::string expectedAnswerId;
    time_point deadline{}; ///< no part of the call is sent, and no answer awaited, from then on
    bool freshOnly = false; ///< skip connections idle for long: the peer may have dropped them
    bool isControl = false; ///< control traffic: a command, or a call to the store or to a VM
    bool needsNewConnection = false; ///< send on a connection that has carried no other call
};

namespace internal {
class outgoing_connection;
}

/// \class call_handle
/// \brief Identifies a call in flight, so that it can be cancelled.
class call_handle
{
public:
    call_handle() = default;
    explicit call_handle(std::weak_ptr<internal::outgoing_connection> connection,
                         std::uint64_t call)
        : m_connection(std::move(connection))
        , m_call(call)
    { }

    /// Cancels the call by closing its connection. Its callback is not called.
    /// \returns whether any byte of the call may have been sent.
    bool cancel();
    /// \returns whether the callback of the call is still to be called.
    bool isOpen() const;
    /// \returns whether any byte of the call may have been sent.
    bool maySent() const;

private:
    std::weak_ptr<internal::outgoing_connection> m_connection;
    std::uint64_t m_call = 0;
};

/// \class outgoing_pool
/// \brief Sends calls over persistent connections and reads their answers. Event loop thread only.
///
/// The pool never retries a call. An answer with the id of another call is skipped, and its
/// connection is not reused. An answer without end is cut off, and its call fails.
///
/// \code
/// pool.send(std::move(call), [](call_result &&result) { ... });
/// \endcode
class outgoing_pool
{
public:
    using callback = std::function<void(call_result &&)>;

    static constexpr std::size_t defaultMaxHeldBytes = 64U << 20U;
    /// Larger than any answer of the platform's tables or of a target.
    static constexpr std::uint64_t defaultMaxAnswerBytes = 16U << 20U;

    /// \param guard runs the handlers; a connection whose handler fails is closed
    /// \param idField the header field that carries a call's id in its answer
    /// \param maxHeldBytes limit on the memory of all incomplete answers together; above it, the
    /// largest one is cut off
    /// \param account counts incomplete answers; null for no bounds. If it is overdrawn and nothing
    /// else gives way, the largest incomplete answer is cut off. Above its bound on requests in
    /// flight, idle connections are closed before new ones are opened.
    /// \param maxAnswerBytes limit on the body of one answer
    outgoing_pool(boost::asio::io_context &loop, deadline_queue &deadlines,
                  const handler_guard &guard, std::string idField,
                  std::size_t maxHeldBytes = defaultMaxHeldBytes,
                  std::shared_ptr<memory_account> account = nullptr,
                  std::uint64_t maxAnswerBytes = defaultMaxAnswerBytes);
    ~outgoing_pool();

    /// Sends \a call. \a done is called once, never from within this function.
    call_handle send(outgoing_call &&call, callback done);

    /// Closes the idle connections to \a peer.
    void closeIdleTo(const std::string &peer);

    /// \returns the number of connections opened since construction.
    std::uint64_t openedCount() const { return m_opened; }
    /// \returns the number of connections that are open or being opened.
    std::size_t openCount() const { return m_openCount; }
    /// \returns the memory of all incomplete answers, in bytes.
    std::size_t heldBytes() const { return m_heldBytes; }

private:
    friend class internal::outgoing_connection;

    using connection_ptr = std::shared_ptr<internal::outgoing_connection>;

    connection_ptr takeIdle(const std::string &peer, bool freshOnly);
    void limitIdle();
    void limitHeldBytes();

    boost::asio::io_context &m_loop;
    deadline_queue &m_deadlines;
    const handler_guard &m_guard;
    std::string m_idField;
    std::map<std::string, std::vector<connection_ptr>, std::less<>> m_idle;
    std::size_t m_openCount = 0; ///< connections that are idle or carry a call
    std::set<internal::outgoing_connection *> m_receiving; ///< those with an incomplete answer
    std::size_t m_heldBytes = 0; ///< of all incomplete answers
    std::size_t m_maxHeldBytes;
    std::uint64_t m_maxAnswerBytes;
    std::shared_ptr<memory_account> m_account;
    std::uint64_t m_lastCallId = 0;
    std::uint64_t m_opened = 0;
};

} // namespace damaskward
