/// \file
/// \brief Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review's cases.

#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace review {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;
using time_point = steady::time_point;

/// A request or an answer. Names of header fields are in lower case.
struct http_message
{
    std::string first; ///< request line or status line
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
    /// \returns word number \a index of the first line, from 0.
    std::string word(std::size_t index) const;
    /// \returns the status code of an answer, 0 if there is none.
    int status() const { return first.empty() ? 0 : std::atoi(word(1).c_str()); }
};

/// \class connection
/// \brief One socket with its input buffer. Writing is thread-safe.
class connection
{
public:
    explicit connection(int socket)
        : m_socket(socket)
    { }
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /// Reads one message. \returns false at the end of the connection or at \a until.
    bool read(http_message &message, time_point until = time_point::max());
    void write(const std::string &text);
    /// Closes both directions with a reset, as the end of a process does with unread input.
    void reset();

private:
    bool fill(time_point until);

    int m_socket;
    std::string m_input;
    std::mutex m_mutex;
};

/// \returns a connection to \a address (IP:PORT), or null.
/// \param receiveBytes size of its receive buffer, 0 for that of the system
std::unique_ptr<connection> connectTo(const std::string &address, int receiveBytes = 0);

/// \class http_server
/// \brief Runs a handler for each request, with one thread for each connection.
class http_server
{
public:
    /// Called with each request; writes the answer itself.
    using handler = std::function<void(const http_message &, connection &)>;

    /// Listens at \a address; with port 0 at a free port.
    http_server(const std::string &address, handler handle);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    const std::string &address() const { return m_address; }
    /// Closes the listener and resets all connections, as a crash does.
    void stop();

private:
    void acceptAll();

    handler m_handle;
    std::string m_address;
    int m_listener = -1;
    std::atomic<bool> m_isStopping{false};
    std::mutex m_mutex; ///< guards the lists
    std::list<std::weak_ptr<connection>> m_connections;
    std::list<std::thread> m_threads;
    std::thread m_acceptor;
};

/// \returns the text of an answer with \a fields, each with its line end.
std::string answerText(int status, const std::string &fields, const std::string &body);

/// \returns the text of a request.
std::string requestText(const std::string &method, const std::string &target,
                        const std::string &fields, const std::string &body);

} // namespace review
