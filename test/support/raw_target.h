/// \file
/// \brief A target that answers with any bytes, well-formed or not.

#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace damaskward {
namespace testing {

/// \class raw_target
/// \brief A socket on loopback that answers each request with what a script says.
///
/// \code
/// raw_target target([](int number, const std::string &id) { return "HTTP/1.1 200 OK\r\n..."; });
/// \endcode
class raw_target
{
public:
    /// What to send for the request numbered \a number (from 1) with the request id \a id; an
    /// empty text closes the connection without an answer. With `Connection: close` in the answer
    /// the connection is closed after it.
    using script = std::function<std::string(int number, const std::string &id)>;

    explicit raw_target(script answer);
    ~raw_target();
    raw_target(const raw_target &) = delete;
    raw_target &operator=(const raw_target &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /// \returns how many requests have arrived.
    int received() const { return m_received; }
    /// \returns how many connections are open.
    int open() const { return m_open; }

private:
    void acceptAll();
    void serve(int socket);
    static std::string readRequest(int socket);

    script m_answer;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<int> m_received{0};
    std::atomic<int> m_open{0};
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
    std::vector<int> m_sockets;
    std::thread m_acceptor;
};

/// \returns the value of a header in a request's text.
std::string rawHeader(const std::string &request, const std::string &name);

} // namespace testing
} // namespace damaskward
