#include "wire.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

sockaddr_in parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

http_message parseHead(const std::string &head)
{
    http_message message;
    std::istringstream lines(head);
    std::getline(lines, message.first, '\r');
    for (std::string line; lines.ignore(1) && std::getline(lines, line, '\r') && !line.empty();) {
        const std::size_t colon = line.find(':');
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.fields[lowerCase(line.substr(0, colon))] =
            value == std::string::npos ? std::string() : line.substr(value);
    }
    return message;
}

} // namespace

std::string http_message::word(std::size_t index) const
{
    std::istringstream words(first);
    std::string text;
    for (std::size_t i = 0; i <= index; ++i) {
        text.clear();
        words >> text;
    }
    return text;
}

connection::~connection()
{
    ::close(m_socket);
}

bool connection::fill(time_point until)
{
    constexpr int forever = -1;
    int wait = forever;
    if (until != time_point::max()) {
        const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now());
        wait = static_cast<int>(std::max<std::int64_t>(left.count(), 0));
    }
    pollfd waiting{m_socket, POLLIN, 0};
    if (::poll(&waiting, 1, wait) <= 0) {
        return false;
    }
    std::array<char, 16384> buffer{};
    const ssize_t count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
        return false;
    }
    m_input.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

bool connection::read(http_message &message, time_point until)
{
    constexpr std::size_t lineEnds = 4;
    std::size_t end = m_input.find("\r\n\r\n");
    for (; end == std::string::npos; end = m_input.find("\r\n\r\n")) {
        if (!fill(until)) {
            return false;
        }
    }
    message = parseHead(m_input.substr(0, end + 2));
    m_input.erase(0, end + lineEnds);
    const std::string length = message.field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (m_input.size() < size) {
        if (!fill(until)) {
            return false;
        }
    }
    message.body = m_input.substr(0, size);
    m_input.erase(0, size);
    return true;
}

void connection::write(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (std::size_t sent = 0; sent < text.size();) {
        const ssize_t count =
            ::send(m_socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return;
        }
        sent += static_cast<std::size_t>(count);
    }
}

void connection::reset()
{
    const linger now{1, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::shutdown(m_socket, SHUT_RDWR);
}

std::unique_ptr<connection> connectTo(const std::string &address, int receiveBytes)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBytes > 0) {
        ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    }
    auto result = std::make_unique<connection>(socket);
    const sockaddr_in to = parseAddress(address);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return result;
}

http_server::http_server(const std::string &address, handler handle)
    : m_handle(std::move(handle))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = parseAddress(address);
    socklen_t size = sizeof at;
    if (::bind(m_listener, reinterpret_cast<sockaddr *>(&at), size) != 0
        || ::listen(m_listener, SOMAXCONN) != 0) {
        ::close(m_listener);
        throw std::runtime_error("cannot listen at " + address);
    }
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&at), &size);
    m_address = address.substr(0, address.rfind(':') + 1) + std::to_string(ntohs(at.sin_port));
    m_acceptor = std::thread([this] { acceptAll(); });
}

http_server::~http_server()
{
    stop();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void http_server::stop()
{
    if (m_isStopping.exchange(true)) {
        return;
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto &weak : m_connections) {
        if (const auto open = weak.lock()) {
            open->reset();
        }
    }
}

void http_server::acceptAll()
{
    while (!m_isStopping) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            return;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto open = std::make_shared<connection>(socket);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.push_back(open);
        m_threads.emplace_back([this, open = std::move(open)]() mutable {
            http_message request;
            while (!m_isStopping && open->read(request)) {
                m_handle(request, *open);
            }
            open.reset();
        });
    }
}

std::string answerText(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string requestText(const std::string &method, const std::string &target,
                        const std::string &fields, const std::string &body)
{
    std::string text = method + ' ' + target + " HTTP/1.1\r\n" + fields;
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

} // namespace review
