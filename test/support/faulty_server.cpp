#include "faulty_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace damaskward {
namespace testing {
namespace {

constexpr int receiveBufferBytes = 32768;
constexpr milliseconds pieceInterval{2};
constexpr const char *endOfHead = "\r\n\r\n";

/// Reads at least \a bytes, unless the client ends the connection before.
/// \returns what has been read
std::string readBytes(int socket, std::size_t bytes)
{
    std::string text;
    std::array<char, 4096> buffer{};
    while (text.size() < bytes) {
        const ssize_t count = ::recv(socket, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            break;
        }
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
}

void sendPieces(int socket, const std::string &text, std::size_t pieceBytes)
{
    const std::size_t size = pieceBytes == 0 ? text.size() : pieceBytes;
    for (std::size_t at = 0; at < text.size(); at += size) {
        if (at != 0) {
            std::this_thread::sleep_for(pieceInterval);
        }
        ::send(socket, text.data() + at, std::min(size, text.size() - at), MSG_NOSIGNAL);
    }
}

/// Reads and discards input until the client ends the connection.
void awaitClient(int socket)
{
    while (!readBytes(socket, 1).empty()) { }
}

/// Makes close() send a reset and discard unsent data.
void resetOnClose(int socket)
{
    const linger option{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

} // namespace

faulty_server::faulty_server(script answers, const std::string &ip, int port)
    : m_answers(std::move(answers))
    , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    auto *const generic = reinterpret_cast<sockaddr *>(&address);
    if (::bind(m_listener, generic, sizeof address) != 0 || ::listen(m_listener, SOMAXCONN) != 0) {
        throw std::runtime_error("faulty_server cannot listen at " + ip);
    }
    socklen_t size = sizeof address;
    ::getsockname(m_listener, generic, &size);
    m_address = ip + ":" + std::to_string(ntohs(address.sin_port));
    m_acceptor = std::thread([this] { acceptAll(); });
}

faulty_server::~faulty_server()
{
    m_isStopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const int socket : m_sockets) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void faulty_server::acceptAll()
{
    while (!m_isStopping) {
        const int socket = ::accept(m_listener, nullptr, nullptr);
        if (socket < 0) {
            return;
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_sockets.push_back(socket);
        m_threads.emplace_back([this, socket] { serve(socket); });
    }
}

void faulty_server::serve(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string received;
    while (received.find(endOfHead) == std::string::npos) {
        const std::string next = readBytes(socket, 1);
        if (next.empty()) {
            break;
        }
        received += next;
    }
    if (received.find(endOfHead) != std::string::npos) {
        answer(socket, received);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_sockets.erase(std::find(m_sockets.begin(), m_sockets.end(), socket));
    ::close(socket);
}

/// \param received the request's head, and what of its body has come with it
void faulty_server::answer(int socket, const std::string &received)
{
    ++m_requestCount;
    const std::size_t headBytes = received.find(endOfHead) + std::string(endOfHead).size();
    const faulty_answer next = m_answers(received.substr(0, headBytes));
    const std::size_t bodyBytes = received.size() - headBytes;
    readBytes(socket, next.readBytes - std::min(next.readBytes, bodyBytes));
    sendPieces(socket, next.text, next.pieceBytes);
    std::this_thread::sleep_for(next.endDelay);
    switch (next.end) {
    case connection_end::KeptOpen:
        awaitClient(socket);
        break;
    case connection_end::Finished:
        ::shutdown(socket, SHUT_WR);
        awaitClient(socket);
        break;
    case connection_end::FinishedThenReset:
        ::shutdown(socket, SHUT_WR);
        resetOnClose(socket);
        break;
    case connection_end::Closed:
        break;
    case connection_end::Reset:
        resetOnClose(socket);
        break;
    }
}

} // namespace testing
} // namespace damaskward
