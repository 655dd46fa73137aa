/// \file
/// \brief HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace damaskward::review {

/// A request or an answer whose body has a length.
struct http_message
{
    std::string startLine;
    std::string method; ///< of a request
    std::string target; ///< of a request
    int status = 0; ///< of an answer
    std::map<std::string, std::string> fields; ///< by name in lower case
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
};

/// One connection. The descriptor is closed by the destructor.
class http_stream
{
public:
    explicit http_stream(int descriptor)
        : m_descriptor(descriptor)
    { }
    ~http_stream();
    http_stream(const http_stream &) = delete;
    http_stream &operator=(const http_stream &) = delete;

    /// Connects to an address. \returns -1 if the connection was refused.
    static int connectTo(const std::string &ip, int port);

    /// Reads a message that arrives completely within \a timeoutMs.
    /// \returns false if the connection ended, or the time was over
    bool read(http_message &message, int timeoutMs);
    bool write(const std::string &bytes) const;
    /// \returns whether the peer has closed the connection.
    bool isClosedByPeer() const;
    /// \returns whether the last read() ended because its time was over.
    bool isTimedOut() const { return m_isTimedOut; }
    void shutDown() const;

private:
    bool receive(int timeoutMs);

    int m_descriptor;
    std::string m_buffer;
    bool m_isTimedOut = false;
};

/// \returns an answer with a length, and \a fields (each ending with CRLF) in its head.
std::string answerText(int status, const std::string &fields, const std::string &body);

/// Listens on a free port of a loopback address, with one thread a connection.
class http_server
{
public:
    using handler = std::function<void(http_stream &)>;

    http_server(std::string ip, handler serve);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    const std::string &ip() const { return m_ip; }
    int port() const { return m_port; }
    std::string address() const { return m_ip + ":" + std::to_string(m_port); }
    /// Closes all connections.
    void closeAll();

private:
    void acceptAll();

    std::string m_ip;
    handler m_serve;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_isStopping{false};
    std::mutex m_mutex;
    std::map<http_stream *, int> m_streams;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace damaskward::review
