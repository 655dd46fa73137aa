/// \file
/// \brief The server side of HTTP/1.1: callers' connections and their requests.

#pragma once

#include "../Core/time.h"
#include "../Fleet/deployment.h"
#include "deadline_queue.h"
#include "http_message.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace damaskward {

namespace internal {
class caller_connection;
}

/// \class http_exchange
/// \brief One request of a caller, which is answered once. For the event loop's thread only.
///
/// \code
/// void serve(std::shared_ptr<http_exchange> exchange) { exchange->answer(plainAnswer(200)); }
/// \endcode
class http_exchange
{
public:
    http_exchange(std::weak_ptr<internal::caller_connection> connection, http_request &&request,
                  time_point arrivedAt);

    const http_request &request() const { return m_request; }
    http_request &request() { return m_request; }
    /// \returns when the request had been read whole.
    time_point arrivedAt() const { return m_arrivedAt; }

    /// Answers. Earlier requests on the connection are answered first; a second call is ignored.
    void answer(http_answer &&answer);
    bool answered() const { return m_answered; }

    /// Calls \a action once if the caller leaves before the answer.
    void whenGone(std::function<void()> action) { m_whenGone = std::move(action); }
    /// Calls \a action when no request before this one on its connection is unanswered; at once
    /// if that is so already.
    void whenFirst(std::function<void()> action);

private:
    friend class internal::caller_connection;

    std::weak_ptr<internal::caller_connection> m_connection;
    http_request m_request;
    time_point m_arrivedAt;
    http_answer m_answer;
    bool m_answered = false;
    std::function<void()> m_whenGone;
    std::function<void()> m_whenFirst;
};

/// \class http_listener
/// \brief Accepts connections at one address and hands over their requests.
///
/// Answers malformed input itself: 400, 408, 413 or 431, then it closes the connection.
///
/// \code
/// http_listener front(loop, deadlines, "10.1.0.37:8388", limits, serve);
/// \endcode
class http_listener
{
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;
    using limits_source = std::function<caller_limits()>;

    /// \param address IP:PORT to listen at
    /// \param limits the limits in force, asked for each request
    /// \throws boost::system::system_error when the address cannot be listened at
    http_listener(boost::asio::io_context &loop, deadline_queue &deadlines,
                  const std::string &address, limits_source limits, handler serve);
    ~http_listener();

    /// From now on every answer closes its connection.
    void drain() { m_draining = true; }
    bool draining() const { return m_draining; }
    /// Accepts no more connections; those that are open go on.
    void stopAccepting();
    /// Closes the connections that have no request under way.
    void closeIdle();
    /// \returns how many connections are open.
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    friend class internal::caller_connection;

    void accept();

    boost::asio::io_context &m_loop;
    deadline_queue &m_deadlines;
    boost::asio::ip::tcp::acceptor m_acceptor;
    limits_source m_limits;
    handler m_serve;
    bool m_draining = false;
    std::set<std::shared_ptr<internal::caller_connection>> m_connections;
};

/// \returns \a address (IP:PORT) as an endpoint. \throws boost::system::system_error
boost::asio::ip::tcp::endpoint tcpEndpoint(std::string_view address);

/// Sets what every TCP connection needs: no delay, and probes that find a dead peer.
void setUpSocket(boost::asio::ip::tcp::socket &socket);

} // namespace damaskward
