/// \file
/// \brief A server that sends broken answers and resets its connections, over real sockets.

#pragma once

#include "src/Core/time.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace damaskward {
namespace testing {

/// How a server ends a connection after its answer.
enum class connection_end {
    KeptOpen, ///< the client closes it
    Finished, ///< the end of the stream (FIN); the client closes the connection
    FinishedThenReset, ///< the end of the stream, directly followed by a reset
    Closed, ///< by close(); the kernel sends a reset instead of a FIN if input has not been read
    Reset ///< a reset without the end of the stream
};

/// What a server does with one request.
struct faulty_answer
{
    std::string text;
    connection_end end = connection_end::KeptOpen;
    milliseconds endDelay{0}; ///< between the text and the end of the connection
    std::size_t readBytes = 0; ///< of the request's body, before the answer
    std::size_t pieceBytes = 0; ///< the text is sent in pieces of this size; 0 for one piece
};

/// \class faulty_server
/// \brief Answers one request on each connection according to a script. Its receive buffer is
/// small, so that a large request is still being sent when its answer arrives.
///
/// \code
/// faulty_server server([](const std::string &head) {
///     return faulty_answer{"HTTP/1.1 200 OK\r\n\r\npart", connection_end::Reset};
/// });
/// \endcode
class faulty_server
{
public:
    /// \returns what to do with the request that begins with \a head
    using script = std::function<faulty_answer(const std::string &head)>;

    /// \param port 0 for any free port
    explicit faulty_server(script answers, const std::string &ip = "127.0.0.1", int port = 0);
    ~faulty_server();
    faulty_server(const faulty_server &) = delete;
    faulty_server &operator=(const faulty_server &) = delete;

    const std::string &address() const { return m_address; }
    /// \returns the number of requests received so far.
    int requestCount() const { return m_requestCount; }

private:
    void acceptAll();
    void serve(int socket);
    void answer(int socket, const std::string &received);

    script m_answers;
    std::string m_address;
    int m_listener = -1;
    std::atomic<int> m_requestCount{0};
    std::atomic<bool> m_isStopping{false};
    std::mutex m_mutex; ///< guards the members below
    std::vector<int> m_sockets; ///< those that are open
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace testing
} // namespace damaskward
