#include "outgoing_pool.h"

#include "http_listener.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <optional>

namespace damaskward {
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t readBytes = 32768;
/// Bytes of an answer at most: above what the platform's tables and targets send.
constexpr std::uint64_t mostAnswerBytes = 16U << 20U;
constexpr std::uint32_t mostAnswerHeadBytes = 65536;
/// A connection is opened within a few round trips or not at all.
constexpr milliseconds connectTimeout{300};
/// How long an idle connection is kept when its peer does not say.
constexpr milliseconds idleTime{4000};
/// Retired this much before the peer closes it, so that no call crosses the close.
constexpr milliseconds idleMargin{1000};
/// A connection idle for less than this is not yet forgotten by any peer.
constexpr milliseconds freshTime{1500};

/// \returns the seconds of `timeout=N` in a Keep-Alive field, or 0.
int keepAliveSeconds(boost::beast::string_view value)
{
    constexpr std::string_view key = "timeout=";
    const std::string_view text(value.data(), value.size());
    const std::size_t at = text.find(key);
    if (at == std::string_view::npos) {
        return 0;
    }
    constexpr int most = 3600;
    return std::clamp(std::atoi(std::string(text.substr(at + key.size())).c_str()), 0, most);
}

} // namespace

namespace internal {

/// One connection of the pool, with at most one call at a time.
class outgoing_connection : public std::enable_shared_from_this<outgoing_connection>
{
public:
    outgoing_connection(outgoing_pool &pool, std::string peer)
        : m_pool(pool)
        , m_peer(std::move(peer))
        , m_socket(pool.m_loop)
    { }

    void begin(std::uint64_t number, outgoing_call &&call, outgoing_pool::callback done)
    {
        m_number = number;
        m_call = std::move(call);
        m_done = std::move(done);
        m_written = false;
        m_deadline = m_pool.m_deadlines.add(m_call.deadline, [weak = weak_from_this(), number] {
            const auto self = weak.lock();
            if (self && self->m_number == number) {
                self->m_deadline = 0;
                self->fail(self->m_connected ? call_failure::TimedOut : call_failure::Unreachable);
            }
        });
        if (m_connected) {
            write();
        } else {
            connect();
        }
    }

    void cancel(std::uint64_t number)
    {
        if (m_done && m_number == number) {
            m_done = nullptr;
            abort();
        }
    }

    bool usable(bool freshOnly, time_point now) const
    {
        return !m_closed && now < m_idleUntil && (!freshOnly || now < m_idleSince + freshTime);
    }

    void close()
    {
        if (m_closed) {
            return;
        }
        m_closed = true;
        m_pool.m_deadlines.remove(m_deadline);
        m_pool.m_deadlines.remove(m_connectDeadline);
        m_pool.m_deadlines.remove(m_idleDeadline);
        error_code ignored; // The connection is given up in any case.
        m_socket.close(ignored);
        const auto it = m_pool.m_idle.find(m_peer);
        if (it != m_pool.m_idle.end()) {
            auto &list = it->second;
            list.erase(std::remove(list.begin(), list.end(), shared_from_this()), list.end());
        }
    }

    /// Closes the connection and drops what it has not delivered. After a plain close the system
    /// goes on sending, and a call given up long ago would arrive when a cut link heals.
    void abort()
    {
        error_code ignored; // The connection is given up in any case.
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        close();
    }

    void leaveIdle() { m_pool.m_deadlines.remove(m_idleDeadline); }

private:
    using answer_parser = http::response_parser<http::string_body>;

    void connect()
    {
        tcp::endpoint endpoint;
        try {
            endpoint = tcpEndpoint(m_call.address);
        } catch (const boost::system::system_error &) {
            failSoon(call_failure::Refused);
            return;
        }
        ++m_pool.m_opened;
        m_connectDeadline =
            m_pool.m_deadlines.add(mono_clock::now() + connectTimeout, [weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->m_connectDeadline = 0;
                    self->fail(call_failure::Unreachable);
                }
            });
        m_socket.async_connect(
            endpoint, [self = shared_from_this()](error_code error) { self->connected(error); });
    }

    void connected(error_code error)
    {
        if (m_closed) {
            return;
        }
        m_pool.m_deadlines.remove(m_connectDeadline);
        if (error) {
            fail(call_failure::Refused);
            return;
        }
        setUpSocket(m_socket);
        m_connected = true;
        write();
        read();
    }

    void write()
    {
        const std::array<boost::asio::const_buffer, 2> buffers{boost::asio::buffer(m_call.head),
                                                               boost::asio::buffer(m_call.body)};
        boost::asio::async_write(
            m_socket, buffers,
            [self = shared_from_this(), number = m_number](error_code error, std::size_t) {
                if (self->m_number != number || self->m_closed) {
                    return;
                }
                self->m_written = !error;
                // After an error, an early answer may still be there to be read.
            });
    }

    void read()
    {
        m_socket.async_read_some(m_buffer.prepare(readBytes),
                                 [self = shared_from_this()](error_code error, std::size_t count) {
                                     self->received(error, count);
                                 });
    }

    void received(error_code error, std::size_t count)
    {
        if (m_closed) {
            return;
        }
        m_buffer.commit(count);
        if (!m_done) {
            close(); // Bytes or an end while idle belong to no call.
            return;
        }
        if (!error || m_buffer.size() > 0) {
            parse();
        }
        if (m_closed) {
            return;
        }
        if (error) {
            ended(error);
        } else {
            read();
        }
    }

    void parse()
    {
        while (m_done && m_buffer.size() > 0) {
            if (!m_parser) {
                startParser();
            }
            error_code error;
            const std::size_t used = m_parser->put(m_buffer.data(), error);
            m_buffer.consume(used);
            if (error == http::error::need_more || (!error && !m_parser->is_done())) {
                if (used == 0 || m_buffer.size() == 0) {
                    return;
                }
                continue;
            }
            if (error) {
                fail(call_failure::Broken);
                return;
            }
            completed(m_parser->release());
        }
    }

    void startParser()
    {
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->header_limit(mostAnswerHeadBytes);
        m_parser->body_limit(mostAnswerBytes);
        m_parser->skip(m_call.headOnly);
    }

    void ended(error_code error)
    {
        if (!m_parser) {
            fail(call_failure::Lost);
            return;
        }
        error_code parseError;
        if (error == boost::asio::error::eof) {
            m_parser->put_eof(parseError);
            if (!parseError && m_parser->is_done()) {
                m_unframed = true;
                completed(m_parser->release());
                return;
            }
        }
        fail(call_failure::Broken);
    }

    void completed(http_answer &&answer)
    {
        m_parser.reset();
        constexpr unsigned firstFinalStatus = 200;
        if (answer.result_int() < firstFinalStatus) {
            return;
        }
        const auto id = fieldOf(answer, m_pool.m_idField);
        if (!m_call.answerId.empty() && !id.empty() && id != m_call.answerId) {
            m_stray = true; // An extra or late answer to an earlier call.
            return;
        }
        const bool keep =
            m_written && !m_stray && !m_unframed && answer.keep_alive() && m_buffer.size() == 0;
        const int stated = keepAliveSeconds(answer[http::field::keep_alive]);
        const auto done = std::move(m_done);
        m_done = nullptr;
        m_pool.m_deadlines.remove(m_deadline);
        if (keep) {
            becomeIdle(stated > 0 ? seconds(stated) - idleMargin : idleTime);
        } else {
            close();
        }
        done({call_failure::None, std::move(answer)});
    }

    void becomeIdle(duration span)
    {
        m_idleSince = mono_clock::now();
        m_idleUntil = m_idleSince + span;
        m_call = {};
        m_pool.m_idle[m_peer].push_back(shared_from_this());
        m_idleDeadline = m_pool.m_deadlines.add(m_idleUntil, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->m_idleDeadline = 0;
                self->close();
            }
        });
    }

    void fail(call_failure failure)
    {
        const auto done = std::move(m_done);
        m_done = nullptr;
        abort();
        if (done) {
            done({failure, {}});
        }
    }

    void failSoon(call_failure failure)
    {
        boost::asio::post(m_pool.m_loop,
                          [self = shared_from_this(), failure] { self->fail(failure); });
    }

    outgoing_pool &m_pool;
    std::string m_peer;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<answer_parser> m_parser;
    std::uint64_t m_number = 0;
    outgoing_call m_call;
    outgoing_pool::callback m_done; ///< empty while idle
    deadline_queue::deadline_id m_deadline = 0;
    deadline_queue::deadline_id m_connectDeadline = 0;
    deadline_queue::deadline_id m_idleDeadline = 0;
    time_point m_idleSince{};
    time_point m_idleUntil{};
    bool m_connected = false;
    bool m_written = false;
    bool m_stray = false; ///< an answer with another call's id was read
    bool m_unframed = false; ///< the answer ended with the connection
    bool m_closed = false;
};

} // namespace internal

void call_handle::cancel()
{
    if (const auto connection = m_connection.lock()) {
        connection->cancel(m_call);
    }
    m_connection.reset();
}

outgoing_pool::outgoing_pool(boost::asio::io_context &loop, deadline_queue &deadlines,
                             std::string idField)
    : m_loop(loop)
    , m_deadlines(deadlines)
    , m_idField(std::move(idField))
{ }

outgoing_pool::~outgoing_pool() = default;

outgoing_pool::connection_ptr outgoing_pool::takeIdle(const std::string &peer, bool freshOnly)
{
    const auto it = m_idle.find(peer);
    if (it == m_idle.end()) {
        return nullptr;
    }
    const time_point now = mono_clock::now();
    auto &list = it->second;
    // The one used last is the one least likely to be forgotten by its peer.
    if (list.empty() || !list.back()->usable(freshOnly, now)) {
        return nullptr;
    }
    connection_ptr connection = list.back();
    list.pop_back();
    connection->leaveIdle();
    return connection;
}

call_handle outgoing_pool::send(outgoing_call &&call, callback done)
{
    connection_ptr connection = takeIdle(call.peer, call.freshOnly);
    if (!connection) {
        connection = std::make_shared<internal::outgoing_connection>(*this, call.peer);
    }
    const std::uint64_t number = ++m_lastCall;
    call_handle handle(connection, number);
    connection->begin(number, std::move(call), std::move(done));
    return handle;
}

void outgoing_pool::forget(const std::string &peer)
{
    const auto it = m_idle.find(peer);
    if (it == m_idle.end()) {
        return;
    }
    const auto list = it->second;
    for (const auto &connection : list) {
        connection->close();
    }
}

} // namespace damaskward
