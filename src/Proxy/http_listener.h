/// \file
/// \brief The server side of HTTP/1.1: callers' connections and their requests.

#pragma once

#include "../Admission/incoming_requests.h"
#include "../Admission/memory_account.h"
#include "../Admission/memory_hold.h"
#include "../Core/time.h"
#include "../Fleet/deployment.h"
#include "deadline_queue.h"
#include "handler_guard.h"
#include "http_message.h"
#include "tcp_endpoint.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace damaskward {

namespace internal {
class caller_connection;
}

/// \class http_exchange
/// \brief One request of a caller and its single answer. Event loop thread only.
///
/// \code
/// void serve(std::shared_ptr<http_exchange> exchange) { exchange->answer(plainAnswer(200)); }
/// \endcode
class http_exchange
{
public:
    /// \param account counts the request and its answer for as long as they are held
    http_exchange(std::weak_ptr<internal::caller_connection> connection, http_request &&request,
                  time_point arrivedAt, std::shared_ptr<memory_account> account);

    /// \returns the head of the request. Its body is in body().
    const http_request &request() const { return m_request; }
    http_request &request() { return m_request; }
    /// \returns the body of the request, empty once the request has been answered.
    const request_body &body() const { return m_body; }
    /// \returns the time at which the complete request had been read.
    time_point arrivedAt() const { return m_arrivedAt; }

    /// Answers the request. The answer is written after those to earlier requests on the
    /// connection. Further calls are ignored.
    void answer(http_answer &&answer);
    bool isAnswered() const { return m_isAnswered; }

    /// Calls \a action once if the connection closes before the request is answered.
    void onDisconnect(std::function<void()> action) { m_onDisconnect = std::move(action); }
    /// Calls \a action when all earlier requests on the connection have been answered; at once if
    /// there are none.
    void onHeadOfLine(std::function<void()> action);

private:
    friend class internal::caller_connection;

    std::weak_ptr<internal::caller_connection> m_connection;
    http_request m_request; ///< without its body
    request_body m_body;
    time_point m_arrivedAt;
    http_answer m_answer;
    memory_hold m_headHold;
    memory_hold m_answerHold;
    std::shared_ptr<memory_account> m_account;
    bool m_isAnswered = false;
    std::function<void()> m_onDisconnect;
    std::function<void()> m_onHeadOfLine;
};

/// \class http_listener
/// \brief Accepts connections at one address and passes their requests to a handler.
///
/// Answers malformed, late or oversized requests itself with 400, 408, 413 or 431 and closes the
/// connection. A request for which there is no memory waits, and is then refused with 503. When
/// memory is short, requests that have stalled are answered 408.
///
/// \code
/// http_listener front(loop, deadlines, "10.1.0.37:8388", limits, serve);
/// \endcode
class http_listener
{
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;
    using limits_source = std::function<caller_limits()>;

    /// \param guard runs the handlers; a request whose handler fails is answered 500, and a
    /// connection whose input cannot be parsed is closed
    /// \param address IP:PORT to listen at
    /// \param limits returns the current limits; called for each request
    /// \param account bounds the memory of requests and answers and the number of connections; null
    /// for no bounds. The listener sets its reclaimer.
    /// \throws boost::system::system_error when it cannot listen at the address
    http_listener(boost::asio::io_context &loop, deadline_queue &deadlines,
                  const handler_guard &guard, const std::string &address, limits_source limits,
                  handler serve, std::shared_ptr<memory_account> account = nullptr);
    ~http_listener();

    /// Lets each connection end with the answer to its last request: those that have been parsed,
    /// or one more. Requests behind it are not parsed, and their callers send them again.
    void drain() { m_isDraining = true; }
    bool isDraining() const { return m_isDraining; }
    /// Stops accepting connections, after those that the kernel has already established. Open
    /// connections remain in use.
    void stopAccepting();
    /// Closes the connections that have been idle since \a since, with no request received, not
    /// even by the kernel.
    /// \returns their number
    std::size_t closeIdle(time_point since);
    std::size_t connectionCount() const { return m_connections.size(); }
    /// \returns the number of connections ended since construction because their callers no longer
    /// acknowledged what was sent.
    std::uint64_t lostCallerCount() const { return m_lostCallers; }

private:
    friend class internal::caller_connection;

    void accept();
    void addConnection(boost::asio::ip::tcp::socket &&socket);
    /// Takes memory from an incomplete request for \a id, if one has to give way to it.
    bool reclaimFor(incoming_requests::request_id id);
    bool reclaim();
    bool refuseIncoming(incoming_requests::request_id id);
    void addWaiting(const std::shared_ptr<internal::caller_connection> &connection);
    void resumeWaiting();
    bool closeLongestIdle();
    bool closeLongestStalled();
    bool closeSlowestReader();

    boost::asio::io_context &m_loop;
    deadline_queue &m_deadlines;
    const handler_guard &m_guard;
    boost::asio::ip::tcp::acceptor m_acceptor;
    limits_source m_limits;
    handler m_serve;
    bool m_isDraining = false;
    std::set<std::shared_ptr<internal::caller_connection>> m_connections;
    std::shared_ptr<memory_account> m_account;
    incoming_requests m_incoming;
    /// The connections of the requests in m_incoming.
    std::map<incoming_requests::request_id, std::weak_ptr<internal::caller_connection>> m_readers;
    std::vector<std::weak_ptr<internal::caller_connection>> m_waiting; ///< for memory
    deadline_queue::deadline_id m_memoryRetryId = 0;
    std::size_t m_pendingCount = 0; ///< requests whose answers have not been written
    std::uint64_t m_lostCallers = 0;
};

} // namespace damaskward
