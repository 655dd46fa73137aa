#include "outgoing_pool.h"

#include "answer_syntax.h"
#include "status_code.h"
#include "tcp_endpoint.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <optional>

namespace damaskward {
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t readChunkBytes = 32768;
/// Limits the time that one call with a large body takes from the others on the event loop.
constexpr std::size_t writeChunkBytes = 65536;
constexpr std::uint32_t maxAnswerHeaderBytes = 65536;
/// Interim and stray answers skipped per call: a few times what a faulty peer repeats.
constexpr int maxSkippedAnswers = 16;
/// A reachable peer accepts a connection within a few round trips.
constexpr milliseconds connectTimeout{300};
/// How long an idle connection is kept if its peer states no `Keep-Alive: timeout`.
constexpr milliseconds defaultIdleTimeout{4000};
/// An idle connection is closed this long before its peer would close it, so that no call is sent
/// while the peer closes.
constexpr milliseconds idleTimeoutMargin{1000};
/// No peer drops a connection that has been idle for less than this.
constexpr milliseconds maxFreshIdleTime{1500};

/// \returns the seconds of `timeout=N` in a Keep-Alive field, or 0.
int keepAliveSeconds(boost::beast::string_view value)
{
    constexpr std::string_view key = "timeout=";
    const std::string_view text(value.data(), value.size());
    const std::size_t at = text.find(key);
    if (at == std::string_view::npos) {
        return 0;
    }
    constexpr int maxSeconds = 3600;
    return std::clamp(std::atoi(std::string(text.substr(at + key.size())).c_str()), 0, maxSeconds);
}

} // namespace

namespace internal {

/// One connection of the pool, with at most one call in flight.
class outgoing_connection : public std::enable_shared_from_this<outgoing_connection>
{
public:
    outgoing_connection(outgoing_pool &pool, std::string peer)
        : m_pool(pool)
        , m_peer(std::move(peer))
        , m_socket(pool.m_loop)
        , m_hold(pool.m_account)
    {
        ++pool.m_openCount;
    }

    void start(std::uint64_t callId, outgoing_call &&call, outgoing_pool::callback done)
    {
        m_callId = callId;
        m_call = std::move(call);
        m_callback = std::move(done);
        m_writtenBytes = 0;
        m_isReused = m_isConnected;
        m_skippedAnswers = 0;
        m_sentAt = {};
        m_deadline = m_pool.m_deadlines.add(m_call.deadline, [weak = weak_from_this(), callId] {
            const auto self = weak.lock();
            if (self && self->m_callId == callId) {
                self->m_deadline = 0;
                self->fail(self->m_sentAt != time_point{} ? call_failure::TimedOut
                                                          : call_failure::Unreachable);
            }
        });
        if (mono_clock::now() >= m_call.deadline) {
            postFailure(call_failure::Unreachable);
        } else if (m_isConnected) {
            startWriting();
        } else {
            connect();
        }
    }

    bool cancel(std::uint64_t callId)
    {
        if (!carries(callId)) {
            return true; // Another call has replaced it.
        }
        m_callback = nullptr;
        abort();
        return m_sentAt != time_point{};
    }

    /// \returns whether the call is in flight on this connection.
    bool carries(std::uint64_t callId) const { return m_callback && m_callId == callId; }
    bool maySent(std::uint64_t callId) const
    {
        return !carries(callId) || m_sentAt != time_point{};
    }

    bool isUsable(bool freshOnly, time_point now)
    {
        return !m_isClosed && now < m_idleUntil
            && (!freshOnly || now < m_idleSince + maxFreshIdleTime) && !hasUnreadInput();
    }

    void close()
    {
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        --m_pool.m_openCount;
        setHeldBytes(0);
        m_pool.m_deadlines.remove(m_deadline);
        m_pool.m_deadlines.remove(m_connectDeadline);
        m_pool.m_deadlines.remove(m_idleDeadline);
        m_pool.m_deadlines.remove(m_peerCheck);
        error_code ignored; // The connection is discarded in any case.
        m_socket.close(ignored);
        const auto it = m_pool.m_idle.find(m_peer);
        if (it != m_pool.m_idle.end()) {
            auto &list = it->second;
            list.erase(std::remove(list.begin(), list.end(), shared_from_this()), list.end());
        }
    }

    /// Resets the connection and discards unsent data (SO_LINGER of 0 s). After a plain close the
    /// kernel keeps retransmitting, and an abandoned call would still arrive when a broken network
    /// link recovers.
    void abort()
    {
        error_code ignored; // The connection is discarded in any case.
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        close();
    }

    void stopIdleTimer() { m_pool.m_deadlines.remove(m_idleDeadline); }

    std::size_t heldBytes() const { return m_heldBytes; }
    time_point idleSince() const { return m_idleSince; }

    void fail(call_failure failure)
    {
        const auto done = std::move(m_callback);
        m_callback = nullptr;
        abort();
        if (done) {
            finishCall(done, {failure, {}, m_sentAt});
        }
    }

private:
    using answer_parser = http::response_parser<http::string_body>;

    /// Runs a handler of this connection. An exception fails the call in flight.
    template <typename Handler>
    void runGuarded(Handler &&handler)
    {
        if (!m_pool.m_guard.run("outgoing connection", std::forward<Handler>(handler))) {
            fail(call_failure::InvalidAnswer);
        }
    }

    /// Passes a result to the caller, whose exceptions are not failures of this connection.
    void finishCall(const outgoing_pool::callback &done, call_result &&result)
    {
        m_pool.m_guard.run("call result", [&] { done(std::move(result)); });
    }

    /// \returns whether the peer has sent anything or closed the connection since the last read.
    /// The bytes belong to no later call.
    bool hasUnreadInput()
    {
        char byte = 0;
        const ssize_t count =
            ::recv(m_socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
        return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void connect()
    {
        const auto endpoint = parseEndpoint(m_call.address);
        if (!endpoint) {
            postFailure(call_failure::Refused);
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
        m_socket.async_connect(*endpoint, [self = shared_from_this()](error_code error) {
            self->runGuarded([&] { self->handleConnect(error); });
        });
    }

    void handleConnect(error_code error)
    {
        if (m_isClosed) {
            return;
        }
        m_pool.m_deadlines.remove(m_connectDeadline);
        if (error) {
            fail(call_failure::Refused);
            return;
        }
        setUpSocket(m_socket);
        error_code ignored; // A broken socket reports its error at its next use.
        m_socket.non_blocking(true, ignored);
        if (mono_clock::now() >= m_call.deadline) {
            fail(call_failure::Unreachable);
            return;
        }
        m_isConnected = true;
        startWriting();
        read();
    }

    void startWriting()
    {
        m_sentAt = mono_clock::now();
        m_silence = {};
        schedulePeerCheck();
        write();
    }

    /// Schedules a check of whether the peer still answers, unless the call ends before the check
    /// could show that it does not.
    void schedulePeerCheck()
    {
        const time_point now = mono_clock::now();
        if (m_call.deadline < now + peer_silence::limit) {
            return;
        }
        m_peerCheck =
            m_pool.m_deadlines.add(now + peer_silence::checkInterval, [weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->m_peerCheck = 0;
                    self->runGuarded([&] { self->checkPeer(); });
                }
            });
    }

    void checkPeer()
    {
        const send_status status = sendStatus(m_socket);
        if (m_silence.isLost(status, mono_clock::now())) {
            handleReadError(boost::asio::error::timed_out);
        } else if (!isWritten() || status.hasOutstandingData) {
            schedulePeerCheck(); // Later, keep-alive probes detect the loss of the peer.
        }
    }

    std::size_t bodyBytes() const { return m_call.body ? m_call.body->size() : 0; }
    bool isWritten() const { return m_writtenBytes == m_call.head.size() + bodyBytes(); }

    /// \returns the next part to write of the call's head and body.
    std::array<boost::asio::const_buffer, 2> unwrittenPart() const
    {
        const std::size_t writtenOfHead = std::min(m_writtenBytes, m_call.head.size());
        const auto head = boost::asio::buffer(m_call.head) + writtenOfHead;
        const auto body =
            (m_call.body ? boost::asio::buffer(*m_call.body) : boost::asio::const_buffer())
            + (m_writtenBytes - writtenOfHead);
        return {boost::asio::buffer(head, writeChunkBytes),
                boost::asio::buffer(body, writeChunkBytes)};
    }

    /// Writes the next part. Not a composed operation, whose error could become known only after
    /// the next read, see \ref hasPeerFinished().
    void write()
    {
        error_code error;
        m_writtenBytes += m_socket.write_some(unwrittenPart(), error);
        if (error && error != boost::asio::error::would_block) {
            m_writeError = error; // The peer's early answer may still be readable.
        } else if (!isWritten()) {
            m_socket.async_wait(tcp::socket::wait_write,
                                [self = shared_from_this()](error_code waitError) {
                                    self->runGuarded([&] { self->handleWritable(waitError); });
                                });
        }
    }

    void handleWritable(error_code error)
    {
        if (!m_isClosed && !error) {
            write();
        }
    }

    /// \returns whether the peer has ended its side of the stream (FIN), so that all it has sent
    /// has been received. The end of the stream that a read reports does not say so: after a reset,
    /// the first operation of either direction receives the error, and later reads an end of the
    /// stream.
    bool hasPeerFinished()
    {
        tcp_info info{};
        socklen_t infoBytes = sizeof info;
        if (::getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &infoBytes) == 0
            && info.tcpi_state == TCP_CLOSE_WAIT) {
            return true;
        }
        int error = m_writeError.value();
        socklen_t errorBytes = sizeof error;
        if (error == 0) {
            ::getsockopt(m_socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &errorBytes);
        }
        return error == EPIPE; // The error of a reset that follows a FIN; others are ECONNRESET.
    }

    void read()
    {
        // No buffer is held meanwhile: most connections are idle or wait for their answers.
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            self->runGuarded([&] { self->handleReadable(error); });
        });
    }

    void handleReadable(error_code error)
    {
        if (m_isClosed) {
            return;
        }
        std::size_t count = 0;
        if (!error) {
            count = m_socket.read_some(m_buffer.prepare(readChunkBytes), error);
        }
        if (error == boost::asio::error::would_block) {
            read();
            return;
        }
        handleRead(error, count);
    }

    void handleRead(error_code error, std::size_t count)
    {
        m_buffer.commit(count);
        if (!m_callback) {
            close(); // Data or end of stream without a call in flight.
            return;
        }
        if (!error || m_buffer.size() > 0) {
            parse();
        }
        if (m_isClosed) {
            return;
        }
        if (error) {
            handleReadError(error);
            return;
        }
        // A string reserves up to twice its size. An idle connection holds no answer.
        setHeldBytes(!m_callback ? 0
                                 : m_buffer.capacity()
                             + (m_parser ? m_parser->get().body().capacity() : 0));
        m_pool.limitHeldBytes();
        if (!m_isClosed) {
            read();
        }
    }

    void parse()
    {
        while (m_callback && m_buffer.size() > 0) {
            if (!m_parser) {
                startParser();
            }
            const bool hadHead = m_parser->is_header_done();
            error_code error;
            const std::size_t used = m_parser->put(m_buffer.data(), error);
            const auto *const bytes = static_cast<const char *>(m_buffer.data().data());
            const bool isPartValid = isValid({bytes, used}, hadHead);
            m_buffer.consume(used);
            if (!isPartValid) {
                fail(call_failure::InvalidAnswer);
                return;
            }
            if (error == http::error::need_more || (!error && !m_parser->is_done())) {
                if (used != 0 && m_buffer.size() != 0) {
                    continue;
                }
                // The parser limits the header and the body, but not a chunk header or a trailer.
                if (m_buffer.size() > maxAnswerHeaderBytes) {
                    fail(call_failure::InvalidAnswer);
                }
                return;
            }
            if (error) {
                fail(call_failure::InvalidAnswer);
                return;
            }
            handleAnswer(m_parser->release());
        }
    }

    void startParser()
    {
        m_parser.emplace();
        // When eager, Boost 1.74 reads on past a Content-Length above the limit.
        m_parser->eager(false);
        m_parser->header_limit(maxAnswerHeaderBytes);
        m_parser->body_limit(m_pool.m_maxAnswerBytes);
        m_parser->skip(m_call.isHeadRequest);
    }

    /// Makes the checks that the parser does not make.
    /// \param parsed what the parser has just taken
    /// \param hadHead whether the head was complete before
    /// \returns whether the answer is valid as far as it has been parsed
    bool isValid(std::string_view parsed, bool hadHead)
    {
        // The parser takes whole fields of a head, and a trailer at once with the last chunk.
        const bool hasTrailer = hadHead && m_parser->chunked() && m_parser->is_done();
        if ((!hadHead || hasTrailer) && hasFoldedLine(parsed)) {
            return false;
        }
        if (hadHead || !m_parser->is_header_done()) {
            return true;
        }
        return statusClass() != status_class::Invalid && hasKnownTransferCoding(m_parser->get());
    }

    /// \returns the class of the answer whose header has been parsed.
    status_class statusClass() { return classifyStatus(m_parser->get().result_int()); }

    void handleReadError(error_code error)
    {
        if (!m_parser) {
            fail(call_failure::Lost);
            return;
        }
        error_code parseError;
        if (error == boost::asio::error::eof && hasPeerFinished()) {
            m_parser->put_eof(parseError);
            if (!parseError && m_parser->is_done()) {
                m_endsWithConnection = true;
                handleAnswer(m_parser->release());
                if (m_callback) {
                    fail(call_failure::Lost); // It was not the answer to this call.
                }
                return;
            }
        }
        fail(call_failure::InvalidAnswer);
    }

    void handleAnswer(http_answer &&answer)
    {
        m_parser.reset();
        const bool isInterim = classifyStatus(answer.result_int()) == status_class::Interim;
        if (isInterim || isStray(answer)) {
            m_hasStrayAnswer = m_hasStrayAnswer || !isInterim;
            if (++m_skippedAnswers > maxSkippedAnswers) {
                fail(call_failure::InvalidAnswer);
            }
            return;
        }
        const bool keep = isWritten() && !m_hasStrayAnswer && !m_endsWithConnection
            && answer.keep_alive() && m_buffer.size() == 0;
        const int stated = keepAliveSeconds(answer[http::field::keep_alive]);
        const auto done = std::move(m_callback);
        m_callback = nullptr;
        m_pool.m_deadlines.remove(m_deadline);
        m_pool.m_deadlines.remove(m_peerCheck);
        if (keep) {
            becomeIdle(stated > 0 ? seconds(stated) - idleTimeoutMargin : defaultIdleTimeout);
        } else {
            close();
        }
        finishCall(done, {call_failure::None, std::move(answer), m_sentAt});
    }

    /// \returns whether \a answer is a duplicate, or a late answer to an earlier call. On a reused
    /// connection that includes one without an id.
    bool isStray(const http_answer &answer) const
    {
        const auto id = fieldOf(answer, m_pool.m_idField);
        return !m_call.expectedAnswerId.empty()
            && (id.empty() ? m_isReused : id != m_call.expectedAnswerId);
    }

    void becomeIdle(duration span)
    {
        m_idleSince = mono_clock::now();
        m_idleUntil = m_idleSince + span;
        m_call = {};
        m_buffer.shrink_to_fit();
        m_pool.m_idle[m_peer].push_back(shared_from_this());
        m_idleDeadline = m_pool.m_deadlines.add(m_idleUntil, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->m_idleDeadline = 0;
                self->close();
            }
        });
    }

    void setHeldBytes(std::size_t bytes)
    {
        m_pool.m_heldBytes = m_pool.m_heldBytes - m_heldBytes + bytes;
        m_heldBytes = bytes;
        m_hold.set(held_kind::Answer, bytes);
        if (bytes == 0) {
            m_pool.m_receiving.erase(this);
        } else {
            m_pool.m_receiving.insert(this);
        }
    }

    void postFailure(call_failure failure)
    {
        boost::asio::post(m_pool.m_loop,
                          [self = shared_from_this(), failure] { self->fail(failure); });
    }

    outgoing_pool &m_pool;
    std::string m_peer;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<answer_parser> m_parser;
    std::uint64_t m_callId = 0;
    outgoing_call m_call;
    outgoing_pool::callback m_callback; ///< empty while idle
    deadline_queue::deadline_id m_deadline = 0;
    deadline_queue::deadline_id m_connectDeadline = 0;
    deadline_queue::deadline_id m_idleDeadline = 0;
    deadline_queue::deadline_id m_peerCheck = 0; ///< set while a call may be unacknowledged
    peer_silence m_silence;
    std::size_t m_writtenBytes = 0; ///< of the present call's head and body
    error_code m_writeError; ///< of the first write that has failed
    time_point m_sentAt{}; ///< of the present call, empty until it is sent
    time_point m_idleSince{};
    time_point m_idleUntil{};
    int m_skippedAnswers = 0; ///< interim and stray answers since the call was sent
    memory_hold m_hold; ///< counts m_heldBytes
    std::size_t m_heldBytes = 0; ///< received of an answer that is not complete
    bool m_isConnected = false;
    bool m_isReused = false; ///< it carried another call before the present one
    bool m_hasStrayAnswer = false; ///< received an answer that belongs to no present call
    bool m_endsWithConnection = false; ///< the end of the connection delimits the answer's body
    bool m_isClosed = false;
};

} // namespace internal

bool call_handle::cancel()
{
    const auto connection = m_connection.lock();
    m_connection.reset();
    return !connection || connection->cancel(m_call);
}

bool call_handle::isOpen() const
{
    const auto connection = m_connection.lock();
    return connection && connection->carries(m_call);
}

bool call_handle::maySent() const
{
    const auto connection = m_connection.lock();
    return !connection || connection->maySent(m_call);
}

outgoing_pool::outgoing_pool(boost::asio::io_context &loop, deadline_queue &deadlines,
                             const handler_guard &guard, std::string idField,
                             std::size_t maxHeldBytes, std::shared_ptr<memory_account> account,
                             std::uint64_t maxAnswerBytes)
    : m_loop(loop)
    , m_deadlines(deadlines)
    , m_guard(guard)
    , m_idField(std::move(idField))
    , m_maxHeldBytes(maxHeldBytes)
    , m_maxAnswerBytes(maxAnswerBytes)
    , m_account(account ? std::move(account) : std::make_shared<memory_account>())
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
    // The most recently used connection is the least likely to have been dropped by its peer.
    if (list.empty() || !list.back()->isUsable(freshOnly, now)) {
        return nullptr;
    }
    connection_ptr connection = list.back();
    list.pop_back();
    connection->stopIdleTimer();
    return connection;
}

call_handle outgoing_pool::send(outgoing_call &&call, callback done)
{
    connection_ptr connection =
        call.needsNewConnection ? nullptr : takeIdle(call.connectionKey, call.freshOnly);
    if (!connection) {
        limitIdle();
        connection = std::make_shared<internal::outgoing_connection>(*this, call.connectionKey);
    }
    const std::uint64_t callId = ++m_lastCallId;
    call_handle handle(connection, callId);
    connection->start(callId, std::move(call), std::move(done));
    return handle;
}

/// Closes the connection that has been idle for the longest time if too many are open.
void outgoing_pool::limitIdle()
{
    if (m_openCount < m_account->bounds().requestsInFlight) {
        return;
    }
    connection_ptr longest;
    for (const auto &[peer, list] : m_idle) {
        // Each list begins with the connection that became idle first.
        if (!list.empty() && (!longest || list.front()->idleSince() < longest->idleSince())) {
            longest = list.front();
        }
    }
    if (longest) {
        longest->close();
    }
}

/// Ends the largest incomplete answer if all together hold too much memory.
void outgoing_pool::limitHeldBytes()
{
    if (m_heldBytes <= m_maxHeldBytes && (m_account->settle() || m_receiving.empty())) {
        return;
    }
    const auto largest =
        std::max_element(m_receiving.begin(), m_receiving.end(), [](const auto *a, const auto *b) {
            return a->heldBytes() < b->heldBytes();
        });
    const auto connection = (*largest)->shared_from_this();
    connection->fail(call_failure::InvalidAnswer);
}

void outgoing_pool::closeIdleTo(const std::string &peer)
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
