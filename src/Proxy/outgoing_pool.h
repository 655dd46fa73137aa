/// \file
/// \brief The client side of HTTP/1.1: connections to targets, to the platform and to other VMs.

#pragma once

#include "../Core/time.h"
#include "deadline_queue.h"
#include "http_message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// Why there is no answer.
enum class call_failure {
    None,
    Refused, ///< no connection: it was refused; nothing was sent
    Unreachable, ///< no connection in time; nothing was sent
    Lost, ///< sent, or partly sent, and no answer: it may have been carried out
    Broken, ///< the answer was cut short or is not HTTP
    TimedOut ///< no whole answer by the deadline
};

/// \returns whether the call's bytes surely never left.
inline bool neverSent(call_failure failure)
{
    return failure == call_failure::Refused || failure == call_failure::Unreachable;
}

/// How a call ended.
struct call_result
{
    call_failure failure = call_failure::None;
    http_answer answer;
};

/// One call to send.
struct outgoing_call
{
    std::string peer; ///< names the connections that may be shared, such as a target's life
    std::string address; ///< IP:PORT
    std::string head; ///< request line and fields with the empty line
    std::string body;
    bool headOnly = false; ///< the answer has no body (HEAD)
    std::string answerId; ///< the answer's id must be this one; empty accepts any answer
    time_point deadline{};
    bool freshOnly = false; ///< a connection that was idle for long may have been forgotten
};

namespace internal {
class outgoing_connection;
}

/// \class call_handle
/// \brief Names a call under way, so that it can be cancelled.
class call_handle
{
public:
    call_handle() = default;
    explicit call_handle(std::weak_ptr<internal::outgoing_connection> connection,
                         std::uint64_t call)
        : m_connection(std::move(connection))
        , m_call(call)
    { }

    /// Closes the call's connection, which tells the peer to stop. Its callback is not called.
    void cancel();

private:
    std::weak_ptr<internal::outgoing_connection> m_connection;
    std::uint64_t m_call = 0;
};

/// \class outgoing_pool
/// \brief Sends calls over kept connections and reads their answers. For the event loop's thread.
///
/// A call is sent once and never again by itself. An answer with another call's id is skipped and
/// its connection not used again.
///
/// \code
/// pool.send(std::move(call), [](call_result &&result) { ... });
/// \endcode
class outgoing_pool
{
public:
    using callback = std::function<void(call_result &&)>;

    /// \param idField the name of the field that identifies a call in its answer
    outgoing_pool(boost::asio::io_context &loop, deadline_queue &deadlines, std::string idField);
    ~outgoing_pool();

    /// Sends \a call. \a done is called once, never from within this function.
    call_handle send(outgoing_call &&call, callback done);

    /// Closes the idle connections to \a peer.
    void forget(const std::string &peer);

    /// \returns how many connections were opened so far.
    std::uint64_t opened() const { return m_opened; }

private:
    friend class internal::outgoing_connection;

    using connection_ptr = std::shared_ptr<internal::outgoing_connection>;

    connection_ptr takeIdle(const std::string &peer, bool freshOnly);

    boost::asio::io_context &m_loop;
    deadline_queue &m_deadlines;
    std::string m_idField;
    std::map<std::string, std::vector<connection_ptr>, std::less<>> m_idle;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_opened = 0;
};

} // namespace damaskward
