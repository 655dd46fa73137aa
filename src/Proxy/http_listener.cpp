#include "http_listener.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <deque>
#include <optional>

namespace damaskward {
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Maximum number of unanswered requests per connection; further ones stay unparsed.
constexpr std::size_t maxPipelinedRequests = 16;
constexpr std::size_t readChunkBytes = 16384;
/// Reading pauses while this much input waits for the parser.
constexpr std::size_t maxUnparsedBytes = 65536;
/// How long input is read and discarded after the last answer: a close with unread input sends a
/// reset, which can make the caller lose the answer.
constexpr milliseconds lingerTimeout{1000};
/// Delay after a failed accept, for example when no file descriptors are left.
constexpr milliseconds acceptRetryDelay{50};

} // namespace

std::optional<tcp::endpoint> parseEndpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    // make_address() reads only up to a NUL character.
    if (colon == std::string_view::npos || address.find('\0') != std::string_view::npos) {
        return std::nullopt;
    }
    error_code ipError;
    const auto ip = boost::asio::ip::make_address(std::string(address.substr(0, colon)), ipError);
    const std::string_view portText = address.substr(colon + 1);
    const char *const end = portText.data() + portText.size();
    std::uint16_t port = 0;
    const auto [parsedEnd, portError] = std::from_chars(portText.data(), end, port);
    if (ipError || portError != std::errc() || parsedEnd != end) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

tcp::endpoint tcpEndpoint(std::string_view address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        throw boost::system::system_error(make_error_code(boost::system::errc::invalid_argument),
                                          std::string(address));
    }
    return *endpoint;
}

void setUpSocket(tcp::socket &socket)
{
    error_code ignored; // A broken socket reports its error at its next use.
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const auto set = [&socket](int option, int value) {
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
    };
    // An unresponsive peer is detected within about 3 s, the platform's limit for lost contact.
    set(TCP_KEEPIDLE, 1);
    set(TCP_KEEPINTVL, 1);
    set(TCP_KEEPCNT, 2);
    constexpr int userTimeoutMillis = 3000;
    set(TCP_USER_TIMEOUT, userTimeoutMillis);
}

namespace internal {

/// One caller's connection: parses requests, writes the answers in request order and detects that
/// the caller has disconnected.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(http_listener &listener, tcp::socket &&socket)
        : m_listener(listener)
        , m_socket(std::move(socket))
    { }

    void start()
    {
        m_idleSince = mono_clock::now();
        startIdleTimeout();
        read();
    }

    /// Writes the answer to the oldest request if it is ready.
    void flush()
    {
        if (m_isWriting || m_isClosed || m_pending.empty() || !m_pending.front()->m_isAnswered) {
            return;
        }
        runGuarded([this] { writeAnswer(); });
    }

    /// \returns whether no request is in flight or on its way here, as far as can be known: nothing
    /// of one has been received, also not by the kernel, and the connection has been idle since
    /// \a since. A connection that lingers closes by itself once its caller has the last answer.
    bool isIdleSince(time_point since)
    {
        error_code ignored; // A broken connection has no input.
        return m_pending.empty() && !m_isLingering && !m_parser && m_buffer.size() == 0
            && m_idleSince <= since && m_socket.available(ignored) == 0;
    }

    void close()
    {
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        m_listener.m_deadlines.remove(m_deadline);
        error_code ignored; // The connection is discarded in any case.
        m_socket.close(ignored);
        const auto pending = std::move(m_pending);
        m_pending.clear();
        m_listener.m_connections.erase(shared_from_this());
        for (const auto &exchange : pending) {
            notifyDisconnect(*exchange);
            exchange->m_onHeadOfLine = nullptr;
        }
    }

    bool isHeadOfLine(const http_exchange &exchange) const
    {
        return !m_pending.empty() && m_pending.front().get() == &exchange;
    }

private:
    using request_parser = http::request_parser<http::string_body>;

    /// Runs a handler of this connection. An exception closes it.
    template <typename Handler>
    void runGuarded(Handler &&handler)
    {
        if (!m_listener.m_guard.run("caller connection", std::forward<Handler>(handler))) {
            close();
        }
    }

    /// Runs an action that serves \a exchange. An exception ends only this request.
    template <typename Action>
    void runForRequest(http_exchange &exchange, Action &&action)
    {
        if (!m_listener.m_guard.run("request handler", std::forward<Action>(action))) {
            exchange.answer(plainAnswer(500));
        }
    }

    void notifyDisconnect(http_exchange &exchange)
    {
        const auto action = std::move(exchange.m_onDisconnect);
        exchange.m_onDisconnect = nullptr;
        if (!exchange.m_isAnswered && action) {
            m_listener.m_guard.run("request handler", action);
        }
    }

    void read()
    {
        if (m_isReading || m_isClosed || m_buffer.size() >= maxUnparsedBytes) {
            return;
        }
        m_isReading = true;
        m_socket.async_read_some(m_buffer.prepare(readChunkBytes),
                                 [self = shared_from_this()](error_code error, std::size_t count) {
                                     self->m_isReading = false;
                                     self->runGuarded([&] { self->handleRead(error, count); });
                                 });
    }

    void handleRead(error_code error, std::size_t count)
    {
        if (m_isClosed) {
            return;
        }
        if (error) {
            close();
            return;
        }
        if (m_isLingering) {
            read(); // The data is discarded: the last answer has been written.
            return;
        }
        m_buffer.commit(count);
        parseInput();
        read();
    }

    /// Parses what has been read. Input at which the parser throws, such as a trailer with an
    /// oversized field, is malformed; the requests before it are still answered.
    void parseInput()
    {
        if (!m_listener.m_guard.run("request parser", [this] { parse(); })) {
            rejectAndClose(400);
        }
    }

    void parse()
    {
        while (!m_isParsingStopped && !m_isClosed && m_buffer.size() > 0
               && m_pending.size() < maxPipelinedRequests) {
            if (!m_parser) {
                startParser();
            }
            error_code error;
            const std::size_t used = m_parser->put(m_buffer.data(), error);
            m_buffer.consume(used);
            if (error == http::error::need_more || (!error && !m_parser->is_done())) {
                handleHeader();
                if (used == 0 || m_buffer.size() == 0) {
                    return;
                }
                continue;
            }
            if (error) {
                rejectMalformed(error);
                return;
            }
            dispatchRequest();
        }
    }

    void startParser()
    {
        const caller_limits limits = m_listener.m_limits();
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        m_parser->body_limit(limits.bodyBytes);
        m_isHeaderHandled = false;
        startTimeout(limits.headerTimeout);
    }

    /// Once a request's header is complete: switches to the idle timeout and sends 100 Continue if
    /// the caller expects it.
    void handleHeader()
    {
        if (m_isHeaderHandled || !m_parser->is_header_done() || m_parser->is_done()) {
            return;
        }
        m_isHeaderHandled = true;
        startIdleTimeout();
        if (m_parser->get()[http::field::expect].empty() || m_isWriting || !m_pending.empty()) {
            return;
        }
        static const std::string text = "HTTP/1.1 100 Continue\r\n\r\n";
        boost::asio::async_write(m_socket, boost::asio::buffer(text),
                                 [self = shared_from_this()](error_code, std::size_t) {});
    }

    void dispatchRequest()
    {
        auto exchange = std::make_shared<http_exchange>(weak_from_this(), m_parser->release(),
                                                        mono_clock::now());
        m_parser.reset();
        m_listener.m_deadlines.remove(m_deadline);
        m_pending.push_back(exchange);
        const bool isMalformed = exchange->m_request.count(http::field::host) != 1;
        if (isMalformed || !exchange->m_request.keep_alive() || m_listener.isDraining()) {
            stopParsing(); // Before answer(), so that the answer closes the connection.
        }
        if (isMalformed) {
            exchange->answer(plainAnswer(400));
            return;
        }
        runForRequest(*exchange, [&] { m_listener.m_serve(exchange); });
    }

    void rejectMalformed(error_code error)
    {
        unsigned status = 400;
        if (error == http::error::header_limit) {
            status = 431;
        } else if (error == http::error::body_limit) {
            status = 413;
        }
        rejectAndClose(status);
    }

    /// Parses no further requests. The answer to the last one that was parsed closes the
    /// connection; the caller sends those behind it again.
    void stopParsing()
    {
        m_isParsingStopped = true;
        m_parser.reset();
        // A timeout of a partial request must not cut off the requests before it.
        m_listener.m_deadlines.remove(m_deadline);
    }

    void rejectAndClose(unsigned status)
    {
        stopParsing();
        auto exchange =
            std::make_shared<http_exchange>(weak_from_this(), http_request(), mono_clock::now());
        m_pending.push_back(exchange);
        exchange->answer(plainAnswer(status));
    }

    void writeAnswer()
    {
        m_isWriting = true;
        http_exchange &exchange = *m_pending.front();
        http_answer &answer = exchange.m_answer;
        const bool noBody = exchange.m_request.method() == http::verb::head
            || answer.result() == http::status::no_content
            || answer.result() == http::status::not_modified;
        if (answer.result() != http::status::no_content) {
            answer.set(http::field::content_length, std::to_string(answer.body().size()));
        }
        if (m_listener.isDraining() && !m_isParsingStopped) {
            stopParsing();
        }
        // Requests behind this one may be in progress at targets, so only the last answer closes.
        m_closeAfterWrite = m_isParsingStopped && m_pending.size() == 1;
        if (m_closeAfterWrite) {
            answer.set(http::field::connection, "close");
        }
        m_head = headText(answer);
        const std::array<boost::asio::const_buffer, 2> buffers{
            boost::asio::buffer(m_head),
            noBody ? boost::asio::const_buffer() : boost::asio::buffer(answer.body())};
        boost::asio::async_write(m_socket, buffers,
                                 [self = shared_from_this()](error_code error, std::size_t) {
                                     self->runGuarded([&] { self->handleWritten(error); });
                                 });
    }

    void handleWritten(error_code error)
    {
        m_isWriting = false;
        if (m_isClosed) {
            return;
        }
        if (error) {
            close();
            return;
        }
        m_pending.pop_front();
        if (m_closeAfterWrite) {
            linger();
            return;
        }
        if (!m_pending.empty() && m_pending.front()->m_onHeadOfLine) {
            const auto exchange = m_pending.front();
            const auto action = std::move(exchange->m_onHeadOfLine);
            exchange->m_onHeadOfLine = nullptr;
            runForRequest(*exchange, action);
        }
        if (m_pending.empty()) {
            m_idleSince = mono_clock::now();
            startIdleTimeout();
        }
        parseInput();
        read();
        flush();
    }

    /// Shuts down the sending side and discards further input until the caller closes or a timeout.
    void linger()
    {
        m_isParsingStopped = true;
        m_isLingering = true;
        const auto pending = std::move(m_pending);
        m_pending.clear();
        for (const auto &exchange : pending) {
            notifyDisconnect(*exchange);
        }
        error_code ignored; // If the peer has disconnected, the read below fails and closes.
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        m_buffer.consume(m_buffer.size());
        startTimeout(lingerTimeout);
        read();
    }

    void startIdleTimeout() { startTimeout(m_listener.m_limits().idleTimeout); }

    void startTimeout(duration span)
    {
        m_listener.m_deadlines.remove(m_deadline);
        m_deadline =
            m_listener.m_deadlines.add(mono_clock::now() + span, [weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->m_deadline = 0;
                    self->runGuarded([&] { self->handleTimeout(); });
                }
            });
    }

    void handleTimeout()
    {
        if (m_parser && !m_isParsingStopped) {
            rejectAndClose(408);
        } else {
            close();
        }
    }

    http_listener &m_listener;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    std::deque<std::shared_ptr<http_exchange>> m_pending;
    std::string m_head;
    time_point m_idleSince{}; ///< since when no request is in flight, if there is none
    deadline_queue::deadline_id m_deadline = 0;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isHeaderHandled = false;
    bool m_isParsingStopped = false; ///< no further requests are parsed
    bool m_closeAfterWrite = false;
    bool m_isLingering = false;
    bool m_isClosed = false;
};

} // namespace internal

http_exchange::http_exchange(std::weak_ptr<internal::caller_connection> connection,
                             http_request &&request, time_point arrivedAt)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_arrivedAt(arrivedAt)
{ }

void http_exchange::answer(http_answer &&answer)
{
    if (m_isAnswered) {
        return;
    }
    m_isAnswered = true;
    m_onDisconnect = nullptr;
    m_answer = std::move(answer);
    if (const auto connection = m_connection.lock()) {
        connection->flush();
    }
}

void http_exchange::onHeadOfLine(std::function<void()> action)
{
    const auto connection = m_connection.lock();
    if (connection && !connection->isHeadOfLine(*this)) {
        m_onHeadOfLine = std::move(action);
    } else if (connection) {
        action();
    }
}

http_listener::http_listener(boost::asio::io_context &loop, deadline_queue &deadlines,
                             const handler_guard &guard, const std::string &address,
                             limits_source limits, handler serve)
    : m_loop(loop)
    , m_deadlines(deadlines)
    , m_guard(guard)
    , m_acceptor(loop, tcpEndpoint(address), true)
    , m_limits(std::move(limits))
    , m_serve(std::move(serve))
{
    accept();
}

http_listener::~http_listener()
{
    const auto connections = m_connections;
    for (const auto &connection : connections) {
        connection->close();
    }
}

void http_listener::stopAccepting()
{
    boost::system::error_code error;
    m_acceptor.non_blocking(true, error);
    // Closing the socket resets the connections that wait to be accepted, with their requests.
    while (!error) {
        tcp::socket socket(m_loop);
        m_acceptor.accept(socket, error);
        if (!error) {
            addConnection(std::move(socket));
        }
    }
    m_acceptor.close(error);
}

std::size_t http_listener::closeIdle(time_point since)
{
    std::size_t count = 0;
    const auto connections = m_connections;
    for (const auto &connection : connections) {
        if (connection->isIdleSince(since)) {
            connection->close();
            ++count;
        }
    }
    return count;
}

void http_listener::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            m_deadlines.add(mono_clock::now() + acceptRetryDelay, [this] { accept(); });
            return;
        }
        addConnection(std::move(socket));
        accept();
    });
}

void http_listener::addConnection(tcp::socket &&socket)
{
    m_guard.run("accept", [&] {
        setUpSocket(socket);
        auto connection = std::make_shared<internal::caller_connection>(*this, std::move(socket));
        m_connections.insert(connection);
        connection->start();
    });
}

} // namespace damaskward
