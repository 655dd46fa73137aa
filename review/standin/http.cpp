#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <stdexcept>

namespace damaskward::review {
namespace {

sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

void parseStartLine(http_message &message)
{
    const std::string &line = message.startLine;
    const std::size_t space = line.find(' ');
    if (line.compare(0, 5, "HTTP/") == 0) {
        message.status = std::atoi(line.c_str() + space + 1);
        return;
    }
    message.method = line.substr(0, space);
    const std::size_t end = line.find(' ', space + 1);
    message.target = line.substr(space + 1, end - space - 1);
}

} // namespace

http_stream::~http_stream()
{
    ::close(m_descriptor);
}

int http_stream::connectTo(const std::string &ip, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socketAddress(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

bool http_stream::receive(int timeoutMs)
{
    pollfd input{m_descriptor, POLLIN, 0};
    const int ready = ::poll(&input, 1, std::max(0, timeoutMs));
    if (ready <= 0) {
        m_isTimedOut = ready == 0;
        return false;
    }
    std::array<char, 16384> bytes{};
    const ssize_t count = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

bool http_stream::read(http_message &message, int timeoutMs)
{
    message = {};
    m_isTimedOut = false;
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    const auto left = [until] {
        return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                    until - std::chrono::steady_clock::now())
                                    .count());
    };
    std::size_t headEnd = 0;
    while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receive(left())) {
            return false;
        }
    }
    std::size_t at = m_buffer.find("\r\n");
    message.startLine = m_buffer.substr(0, at);
    parseStartLine(message);
    while (at < headEnd) {
        const std::size_t start = at + 2;
        at = m_buffer.find("\r\n", start);
        const std::string line = m_buffer.substr(start, at - start);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.fields[lowerCase(line.substr(0, colon))] =
                value == std::string::npos ? std::string() : line.substr(value);
        }
    }
    const std::size_t length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
    const std::size_t bodyStart = headEnd + 4;
    while (m_buffer.size() < bodyStart + length) {
        if (!receive(left())) {
            return false;
        }
    }
    message.body = m_buffer.substr(bodyStart, length);
    m_buffer.erase(0, bodyStart + length);
    return true;
}

bool http_stream::write(const std::string &bytes) const
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count =
            ::send(m_descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(count);
    }
    return true;
}

bool http_stream::isClosedByPeer() const
{
    char byte = 0;
    const ssize_t count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void http_stream::shutDown() const
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

std::string answerText(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

http_server::http_server(std::string ip, handler serve)
    : m_ip(std::move(ip))
    , m_serve(std::move(serve))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = socketAddress(m_ip, 0);
    if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(m_listener, SOMAXCONN) != 0) {
        throw std::runtime_error("cannot listen at " + m_ip);
    }
    socklen_t length = sizeof address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { acceptAll(); });
}

http_server::~http_server()
{
    m_isStopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    closeAll();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void http_server::closeAll()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[stream, descriptor] : m_streams) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

void http_server::acceptAll()
{
    while (!m_isStopping) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(m_mutex);
        m_threads.emplace_back([this, descriptor] {
            http_stream stream(descriptor);
            {
                const std::lock_guard streamLock(m_mutex);
                m_streams[&stream] = descriptor;
            }
            if (!m_isStopping) {
                m_serve(stream);
            }
            const std::lock_guard streamLock(m_mutex);
            m_streams.erase(&stream);
        });
    }
}

} // namespace damaskward::review
