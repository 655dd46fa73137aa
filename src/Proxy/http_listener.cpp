#include "http_listener.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <deque>
#include <optional>

namespace damaskward {
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Requests of one connection under way at once; later ones wait unread.
constexpr std::size_t mostPipelined = 16;
/// Bytes read at a time, and the most that wait for the parser.
constexpr std::size_t readBytes = 16384;
constexpr std::size_t mostUnparsedBytes = 65536;
/// How long an answered connection is drained before it is closed, so that the answer is not
/// lost to a reset.
constexpr milliseconds lingerTime{1000};
/// Pause after a failed accept (no descriptors left).
constexpr milliseconds acceptPause{50};

} // namespace

tcp::endpoint tcpEndpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    error_code error;
    const auto ip = boost::asio::ip::make_address(std::string(address.substr(0, colon)), error);
    if (error || colon == std::string_view::npos) {
        throw boost::system::system_error(make_error_code(boost::system::errc::invalid_argument),
                                          std::string(address));
    }
    return {ip,
            static_cast<unsigned short>(
                std::strtoul(std::string(address.substr(colon + 1)).c_str(), nullptr, 10))};
}

void setUpSocket(tcp::socket &socket)
{
    error_code ignored; // A socket that has just died fails at its next use.
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const auto set = [&socket](int option, int value) {
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
    };
    // A silent peer is found within about three seconds, the platform's bound on contact.
    set(TCP_KEEPIDLE, 1);
    set(TCP_KEEPINTVL, 1);
    set(TCP_KEEPCNT, 2);
    constexpr int userTimeoutMillis = 3000;
    set(TCP_USER_TIMEOUT, userTimeoutMillis);
}

namespace internal {

/// One caller's connection: parses requests, keeps answers in order, notices when the caller
/// leaves.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(http_listener &listener, tcp::socket &&socket)
        : m_listener(listener)
        , m_socket(std::move(socket))
    { }

    void start()
    {
        armIdle();
        read();
    }

    /// Writes the answers that are due.
    void flush()
    {
        if (m_writing || m_closed || m_pending.empty() || !m_pending.front()->m_answered) {
            return;
        }
        m_writing = true;
        http_exchange &exchange = *m_pending.front();
        http_answer &answer = exchange.m_answer;
        const bool noBody = exchange.m_request.method() == http::verb::head
            || answer.result() == http::status::no_content
            || answer.result() == http::status::not_modified;
        if (answer.result() != http::status::no_content) {
            answer.set(http::field::content_length, std::to_string(answer.body().size()));
        }
        m_closeAfter = m_closeAfter || m_listener.draining() || !exchange.m_request.keep_alive()
            || (m_stopped && m_pending.size() == 1);
        if (m_closeAfter) {
            answer.set(http::field::connection, "close");
        }
        m_head = headText(answer);
        const std::array<boost::asio::const_buffer, 2> buffers{
            boost::asio::buffer(m_head),
            noBody ? boost::asio::const_buffer() : boost::asio::buffer(answer.body())};
        boost::asio::async_write(
            m_socket, buffers,
            [self = shared_from_this()](error_code error, std::size_t) { self->written(error); });
    }

    bool idle() const { return m_pending.empty() && !m_parser && m_buffer.size() == 0; }

    void close()
    {
        if (m_closed) {
            return;
        }
        m_closed = true;
        m_listener.m_deadlines.remove(m_deadline);
        error_code ignored; // The connection is given up in any case.
        m_socket.close(ignored);
        const auto pending = std::move(m_pending);
        m_pending.clear();
        for (const auto &exchange : pending) {
            if (!exchange->m_answered && exchange->m_whenGone) {
                exchange->m_whenGone();
            }
            exchange->m_whenGone = nullptr;
            exchange->m_whenFirst = nullptr;
        }
        m_listener.m_connections.erase(shared_from_this());
    }

    bool isFirst(const http_exchange &exchange) const
    {
        return !m_pending.empty() && m_pending.front().get() == &exchange;
    }

private:
    using request_parser = http::request_parser<http::string_body>;

    void read()
    {
        if (m_reading || m_closed || m_buffer.size() >= mostUnparsedBytes) {
            return;
        }
        m_reading = true;
        m_socket.async_read_some(m_buffer.prepare(readBytes),
                                 [self = shared_from_this()](error_code error, std::size_t count) {
                                     self->m_reading = false;
                                     self->received(error, count);
                                 });
    }

    void received(error_code error, std::size_t count)
    {
        if (m_closed) {
            return;
        }
        if (error) {
            close();
            return;
        }
        if (m_lingering) {
            read(); // Discarded: the answer that closes the connection is on its way.
            return;
        }
        m_buffer.commit(count);
        parse();
        read();
    }

    void parse()
    {
        while (!m_stopped && !m_closed && m_buffer.size() > 0 && m_pending.size() < mostPipelined) {
            if (!m_parser) {
                startParser();
            }
            error_code error;
            const std::size_t used = m_parser->put(m_buffer.data(), error);
            m_buffer.consume(used);
            if (error == http::error::need_more || (!error && !m_parser->is_done())) {
                sendContinue();
                if (used == 0 || m_buffer.size() == 0) {
                    return;
                }
                continue;
            }
            if (error) {
                malformed(error);
                return;
            }
            accept();
        }
    }

    void startParser()
    {
        const caller_limits limits = m_listener.m_limits();
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        m_parser->body_limit(limits.bodyBytes);
        m_continued = false;
        armDeadline(limits.headerTimeout);
    }

    void sendContinue()
    {
        if (m_continued || !m_parser->is_header_done() || m_parser->is_done()) {
            return;
        }
        m_continued = true;
        armIdle();
        if (m_parser->get()[http::field::expect].empty() || m_writing || !m_pending.empty()) {
            return;
        }
        static const std::string text = "HTTP/1.1 100 Continue\r\n\r\n";
        boost::asio::async_write(m_socket, boost::asio::buffer(text),
                                 [self = shared_from_this()](error_code, std::size_t) {});
    }

    void accept()
    {
        auto exchange = std::make_shared<http_exchange>(weak_from_this(), m_parser->release(),
                                                        mono_clock::now());
        m_parser.reset();
        m_listener.m_deadlines.remove(m_deadline);
        m_pending.push_back(exchange);
        if (!exchange->m_request.keep_alive()) {
            m_stopped = true;
        }
        if (exchange->m_request.count(http::field::host) != 1) {
            m_stopped = true; // Before the answer, which then closes the connection.
            exchange->answer(plainAnswer(400));
            return;
        }
        m_listener.m_serve(exchange);
    }

    void malformed(error_code error)
    {
        unsigned status = 400;
        if (error == http::error::header_limit) {
            status = 431;
        } else if (error == http::error::body_limit) {
            status = 413;
        }
        refuseAndClose(status);
    }

    void refuseAndClose(unsigned status)
    {
        m_stopped = true;
        m_parser.reset();
        auto exchange =
            std::make_shared<http_exchange>(weak_from_this(), http_request(), mono_clock::now());
        m_pending.push_back(exchange);
        exchange->answer(plainAnswer(status));
    }

    void written(error_code error)
    {
        m_writing = false;
        if (m_closed) {
            return;
        }
        if (error) {
            close();
            return;
        }
        m_pending.pop_front();
        if (m_closeAfter) {
            linger();
            return;
        }
        if (!m_pending.empty() && m_pending.front()->m_whenFirst) {
            const auto action = std::move(m_pending.front()->m_whenFirst);
            m_pending.front()->m_whenFirst = nullptr;
            action();
        }
        if (m_pending.empty()) {
            armIdle();
        }
        parse();
        read();
        flush();
    }

    /// Ends the sending side and discards what still comes in.
    void linger()
    {
        m_stopped = true;
        m_lingering = true;
        const auto pending = std::move(m_pending);
        m_pending.clear();
        for (const auto &exchange : pending) {
            if (!exchange->m_answered && exchange->m_whenGone) {
                exchange->m_whenGone();
            }
        }
        error_code ignored; // A peer that has gone already ends the reading below.
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        m_buffer.consume(m_buffer.size());
        armDeadline(lingerTime);
        read();
    }

    void armIdle() { armDeadline(m_listener.m_limits().idleTimeout); }

    void armDeadline(duration span)
    {
        m_listener.m_deadlines.remove(m_deadline);
        m_deadline =
            m_listener.m_deadlines.add(mono_clock::now() + span, [weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->m_deadline = 0;
                    self->timedOut();
                }
            });
    }

    void timedOut()
    {
        if (m_parser && !m_stopped) {
            refuseAndClose(408);
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
    deadline_queue::deadline_id m_deadline = 0;
    bool m_reading = false;
    bool m_writing = false;
    bool m_continued = false;
    bool m_stopped = false; ///< nothing more is parsed
    bool m_closeAfter = false;
    bool m_lingering = false;
    bool m_closed = false;
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
    if (m_answered) {
        return;
    }
    m_answered = true;
    m_whenGone = nullptr;
    m_answer = std::move(answer);
    if (const auto connection = m_connection.lock()) {
        connection->flush();
    }
}

void http_exchange::whenFirst(std::function<void()> action)
{
    const auto connection = m_connection.lock();
    if (connection && !connection->isFirst(*this)) {
        m_whenFirst = std::move(action);
    } else if (connection) {
        action();
    }
}

http_listener::http_listener(boost::asio::io_context &loop, deadline_queue &deadlines,
                             const std::string &address, limits_source limits, handler serve)
    : m_loop(loop)
    , m_deadlines(deadlines)
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
    boost::system::error_code ignored; // Closed already.
    m_acceptor.close(ignored);
}

void http_listener::closeIdle()
{
    const auto connections = m_connections;
    for (const auto &connection : connections) {
        if (connection->idle()) {
            connection->close();
        }
    }
}

void http_listener::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            m_deadlines.add(mono_clock::now() + acceptPause, [this] { accept(); });
            return;
        }
        setUpSocket(socket);
        auto connection = std::make_shared<internal::caller_connection>(*this, std::move(socket));
        m_connections.insert(connection);
        connection->start();
        accept();
    });
}

} // namespace damaskward
