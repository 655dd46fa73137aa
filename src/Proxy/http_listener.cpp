#include "http_listener.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <spdlog/fmt/fmt.h>

#include <malloc.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <optional>
#include <utility>

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
/// How long a request waits for memory before it is refused. Incomplete requests that have stalled
/// give way after half of this time.
constexpr milliseconds maxMemoryWait{2000};
/// How often a request that waits for memory tries again.
constexpr milliseconds memoryRetryInterval{50};
/// Retry-After of a request that is refused for lack of memory: the time in which stalled requests
/// give way, and a part that spreads the callers over time.
constexpr milliseconds refusalRetryAfter{500};
constexpr milliseconds refusalRetryJitter{500};
/// An answer that has not been written for this long gives way when memory is short.
constexpr milliseconds slowWriteTime{1000};
/// Memory of a parsed header field beside its name and value.
constexpr std::size_t fieldOverheadBytes = 128;
/// Delay after a failed accept, for example when no file descriptors are left.
constexpr milliseconds acceptRetryDelay{50};

/// \returns an estimate of the memory of \a fields.
std::size_t memoryOf(const http::fields &fields)
{
    std::size_t bytes = 0;
    for (const auto &field : fields) {
        bytes += field.name_string().size() + field.value().size() + fieldOverheadBytes;
    }
    return bytes;
}

/// \returns the memory of \a body. A large one has pages of its own, of which those that are not
/// written to take none; a small one shares pages with other blocks.
std::size_t memoryOf(const std::string &body)
{
    return body.capacity() <= smallBodyBytes ? body.capacity() : body.size();
}

} // namespace

namespace internal {

/// One caller's connection: parses requests, writes the answers in request order and detects that
/// the caller has disconnected.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(http_listener &listener, tcp::socket &&socket)
        : m_listener(listener)
        , m_socket(std::move(socket))
        , m_inputHold(listener.m_account)
    {
        error_code ignored; // A broken socket reports its error at its next use.
        m_socket.non_blocking(true, ignored);
    }

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
    /// \a since, with all answers acknowledged. A connection that lingers closes by itself once its
    /// caller has the last answer.
    bool isIdleSince(time_point since)
    {
        error_code ignored; // A broken connection has no input.
        return m_pending.empty() && !m_isLingering && !m_parser && m_buffer.size() == 0
            && m_idleSince <= since && m_socket.available(ignored) == 0
            && !sendStatus(m_socket).hasOutstandingData;
    }

    void close()
    {
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        m_listener.m_deadlines.remove(m_deadline);
        m_listener.m_deadlines.remove(m_peerCheck);
        dropInput();
        error_code ignored; // The connection is discarded in any case.
        m_socket.close(ignored);
        const auto pending = takePending();
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

    /// \returns since when the connection has been idle, or the latest time if it is not.
    time_point idleSince() const
    {
        return m_pending.empty() && !m_isLingering && !m_parser ? m_idleSince : time_point::max();
    }
    /// \returns since when an answer is being written, or the latest time if none is.
    time_point writingSince() const { return m_isWriting ? m_writingSince : time_point::max(); }
    /// \returns since when the caller has not read the answer that is being written, or the last
    /// one of a connection that lingers; the latest time if there is none.
    time_point deliveringSince() const
    {
        return m_isWriting || m_isLingering ? m_writingSince : time_point::max();
    }

    /// Refuses the incomplete request, which gives way to others.
    void yieldMemory()
    {
        m_listener.m_account->countRefusal();
        runGuarded([this] {
            if (m_isWaitingForMemory) {
                refuseForMemory();
            } else {
                rejectAndClose(408);
            }
        });
    }

    /// Tries to read on, after a wait for memory.
    void resumeReading(time_point now)
    {
        if (m_isClosed || !m_isWaitingForMemory) {
            return;
        }
        runGuarded([&] {
            if (now >= m_memoryDeadline) {
                m_listener.m_account->countRefusal();
                refuseForMemory();
            } else {
                receive();
            }
        });
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

    /// Waits for input. No buffer is held meanwhile, since most connections are idle.
    void read()
    {
        if (m_isReading || m_isClosed || m_isWaitingForMemory || m_buffer.size() >= maxUnparsedBytes
            || (!m_isLingering && m_discardedBytes >= maxUnparsedBytes)) {
            return;
        }
        m_isReading = true;
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            self->m_isReading = false;
            self->runGuarded([&] { self->handleReadable(error); });
        });
    }

    void handleReadable(error_code error)
    {
        if (m_isClosed) {
            return;
        }
        if (error) {
            close();
        } else if (m_isParsingStopped) {
            discardInput();
        } else {
            receive();
        }
    }

    /// Reads input behind the last request that is parsed.
    void discardInput()
    {
        std::array<char, readChunkBytes> unused; // NOLINT: only written to
        error_code error;
        const std::size_t count = m_socket.read_some(boost::asio::buffer(unused), error);
        if (error && error != boost::asio::error::would_block) {
            close();
            return;
        }
        m_discardedBytes += count;
        read();
    }

    /// Reads and parses what has arrived, or waits until there is memory for it.
    void receive()
    {
        if (!reserveInput()) {
            waitForMemory();
            return;
        }
        if (m_isParsingStopped) { // It has given way to an answer meanwhile.
            m_inputHold.reset();
            read();
            return;
        }
        m_isWaitingForMemory = false;
        m_memoryDeadline = time_point{};
        m_listener.m_incoming.recordResumed(m_requestId, mono_clock::now());
        error_code error;
        const std::size_t count = m_socket.read_some(m_buffer.prepare(readChunkBytes), error);
        if (error && error != boost::asio::error::would_block) {
            close();
            return;
        }
        m_buffer.commit(count);
        parseInput();
        read();
    }

    /// \returns the size of the body that is being read, as far as it has been parsed.
    std::size_t parsedBodyBytes() { return m_parser ? m_parser->get().body().size() : 0; }

    static held_kind kindOfBody(std::size_t bytes)
    {
        return bytes > smallBodyBytes ? held_kind::LargeBody : held_kind::SmallRequest;
    }

    /// Reserves memory for the next bytes, if necessary that of other requests.
    bool reserveInput()
    {
        // The bytes are in the buffer and in the body while they are parsed. A buffer with input
        // that is not parsed is copied when it grows.
        const std::size_t wanted = 2 * readChunkBytes + 2 * m_buffer.capacity();
        const held_kind kind = kindOfBody(parsedBodyBytes() + readChunkBytes);
        while (!m_inputHold.tryGrow(kind, wanted)) {
            if (!m_listener.reclaimFor(m_requestId)) {
                return false;
            }
        }
        if (kind == held_kind::LargeBody && m_listener.m_account->takeTrimAdvice()) {
            ::malloc_trim(0);
        }
        return true;
    }

    void waitForMemory()
    {
        if (m_memoryDeadline == time_point{}) {
            m_memoryDeadline = mono_clock::now() + maxMemoryWait;
        }
        m_isWaitingForMemory = true;
        m_listener.m_incoming.recordWaiting(m_requestId);
        m_listener.addWaiting(shared_from_this());
    }

    /// Counts what the connection holds after its input has been parsed.
    void recordInput()
    {
        if (m_isClosed || m_isParsingStopped) {
            return;
        }
        if (m_buffer.size() == 0) {
            m_buffer.shrink_to_fit();
        }
        const std::size_t body = m_parser ? memoryOf(m_parser->get().body()) : 0;
        const std::size_t held = m_buffer.capacity() + m_headBytes + body;
        m_inputHold.set(kindOfBody(parsedBodyBytes()), held);
        m_listener.m_incoming.recordHeld(m_requestId, held, mono_clock::now());
    }

    /// Discards the input that has not been dispatched.
    void dropInput()
    {
        m_parser.reset();
        m_buffer.consume(m_buffer.size());
        m_buffer.shrink_to_fit();
        m_headBytes = 0;
        m_isWaitingForMemory = false;
        m_listener.m_readers.erase(m_requestId);
        m_listener.m_incoming.remove(m_requestId);
        m_inputHold.reset();
    }

    /// Parses what has been read. Input at which the parser throws, such as a trailer with an
    /// oversized field, is malformed; the requests before it are still answered.
    void parseInput()
    {
        if (!m_listener.m_guard.run("request parser", [this] { parse(); })) {
            rejectAndClose(400);
        }
        recordInput();
    }

    void parse()
    {
        while (!m_isParsingStopped && !m_isClosed && m_buffer.size() > 0
               && m_pending.size() < maxPipelinedRequests) {
            if (!m_parser) {
                startParser();
            }
            growBody();
            const bool isHeader = !m_parser->is_header_done();
            error_code error;
            const std::size_t used = m_parser->put(m_buffer.data(), error);
            if (isHeader) {
                countHead(used);
            }
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

    /// Makes room in a chunked body whose size is not known. A string that doubles is held three
    /// times for a moment. Above smallBodyBytes the limit on bodies is reserved at once, with what
    /// the buffer may hold behind the last legal byte: pages that are not written to take no
    /// memory.
    void growBody()
    {
        if (!m_parser->is_header_done() || !m_parser->chunked()) {
            return;
        }
        std::string &body = m_parser->get().body();
        const std::size_t needed = body.size() + m_buffer.size();
        if (needed > body.capacity()) {
            body.reserve(needed > smallBodyBytes
                             ? std::max(needed, m_bodyLimit + maxUnparsedBytes + readChunkBytes)
                             : 2 * needed);
        }
    }

    /// Estimates the memory of the header fields, after \a used bytes of the buffer were parsed.
    void countHead(std::size_t used)
    {
        if (m_parser->is_header_done()) {
            m_headBytes = memoryOf(m_parser->get());
            return;
        }
        const char *const begin = static_cast<const char *>(m_buffer.data().data());
        m_headBytes += used
            + fieldOverheadBytes * static_cast<std::size_t>(std::count(begin, begin + used, '\n'));
    }

    void startParser()
    {
        const caller_limits limits = m_listener.m_limits();
        m_headBytes = 0;
        m_bodyLimit = limits.bodyBytes;
        m_requestId = m_listener.m_incoming.add(mono_clock::now());
        m_listener.m_readers[m_requestId] = weak_from_this();
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
        const auto length = m_parser->content_length();
        if (length && *length > smallBodyBytes
            && *length > m_listener.m_account->bounds().largeBodyBytes) {
            m_listener.m_account->countRefusal();
            refuseForMemory();
            return;
        }
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
                                                        mono_clock::now(), m_listener.m_account);
        m_parser.reset();
        endIncoming();
        m_listener.m_deadlines.remove(m_deadline);
        addPending(exchange);
        const bool isMalformed = exchange->m_request.count(http::field::host) != 1;
        if (isMalformed || !exchange->m_request.keep_alive() || m_listener.isDraining()) {
            stopParsing(); // Before answer(), so that the answer closes the connection.
        }
        if (isMalformed) {
            exchange->answer(plainAnswer(400));
            return;
        }
        if (m_listener.m_pendingCount > m_listener.m_account->bounds().requestsInFlight
            || !m_listener.m_account->settle()) {
            m_listener.m_account->countRefusal();
            stopParsing();
            exchange->answer(refusal());
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
        dropInput();
        // A timeout of a partial request must not cut off the requests before it.
        m_listener.m_deadlines.remove(m_deadline);
    }

    void rejectAndClose(unsigned status) { answerAndClose(plainAnswer(status)); }

    /// Refuses the incomplete request: there is no memory for it.
    void refuseForMemory() { answerAndClose(refusal()); }

    void answerAndClose(http_answer &&answer)
    {
        stopParsing();
        auto exchange = std::make_shared<http_exchange>(weak_from_this(), http_request(),
                                                        mono_clock::now(), m_listener.m_account);
        addPending(exchange);
        exchange->answer(std::move(answer));
        read(); // Reading may have paused.
    }

    static http_answer refusal()
    {
        http_answer answer = plainAnswer(503);
        const double jitter = static_cast<double>(std::rand()) / RAND_MAX;
        const double after = static_cast<double>(refusalRetryAfter.count())
            + jitter * static_cast<double>(refusalRetryJitter.count());
        constexpr double millisPerSecond = 1000.0;
        answer.set(http::field::retry_after, fmt::format("{:.3f}", after / millisPerSecond));
        return answer;
    }

    /// The request that was being read is complete.
    void endIncoming()
    {
        m_listener.m_readers.erase(m_requestId);
        m_listener.m_incoming.remove(m_requestId);
        m_headBytes = 0;
        m_inputHold.set(held_kind::SmallRequest, m_buffer.capacity());
    }

    void addPending(const std::shared_ptr<http_exchange> &exchange)
    {
        m_pending.push_back(exchange);
        ++m_listener.m_pendingCount;
    }

    std::deque<std::shared_ptr<http_exchange>> takePending()
    {
        m_listener.m_pendingCount -= m_pending.size();
        return std::exchange(m_pending, {});
    }

    void writeAnswer()
    {
        m_isWriting = true;
        m_writingSince = mono_clock::now();
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
        schedulePeerCheck();
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
        --m_listener.m_pendingCount;
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

    /// Shuts down the sending side and discards further input until the caller closes the
    /// connection, or has been silent for a while after it has acknowledged all answers.
    void linger()
    {
        m_isParsingStopped = true;
        m_isLingering = true;
        const auto pending = takePending();
        for (const auto &exchange : pending) {
            notifyDisconnect(*exchange);
        }
        error_code ignored; // If the peer has disconnected, the read below fails and closes.
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        dropInput();
        startTimeout(lingerTimeout);
        read();
    }

    void schedulePeerCheck()
    {
        if (m_peerCheck != 0) {
            return;
        }
        m_peerCheck = m_listener.m_deadlines.add(
            mono_clock::now() + peer_silence::checkInterval, [weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->m_peerCheck = 0;
                    self->runGuarded([&] { self->checkPeer(); });
                }
            });
    }

    /// Ends the connection of a caller that has not acknowledged its answers for too long. Repeated
    /// until all of them are acknowledged.
    void checkPeer()
    {
        const send_status status = sendStatus(m_socket);
        if (m_silence.isLost(status, mono_clock::now())) {
            ++m_listener.m_lostCallers;
            abort();
        } else if (m_isWriting || status.hasOutstandingData) {
            schedulePeerCheck();
        }
    }

    /// Resets the connection: the kernel discards what the caller has not acknowledged.
    void abort()
    {
        error_code ignored; // The connection is discarded in any case.
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        close();
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
        } else if (sendStatus(m_socket).hasOutstandingData) {
            linger(); // The caller is still reading; a close could make it lose the answer.
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
    memory_hold m_inputHold; ///< of the incomplete request and of input that is not parsed
    incoming_requests::request_id m_requestId = 0; ///< of the incomplete request
    std::size_t m_headBytes = 0; ///< of the incomplete request, estimated
    std::size_t m_bodyLimit = 0; ///< of the incomplete request
    std::size_t m_discardedBytes = 0; ///< of input behind the last request that is parsed
    time_point m_idleSince{}; ///< since when no request is in flight, if there is none
    time_point m_writingSince{};
    time_point m_memoryDeadline{}; ///< set while the connection waits for memory
    deadline_queue::deadline_id m_deadline = 0;
    deadline_queue::deadline_id m_peerCheck = 0; ///< set while answers may be unacknowledged
    peer_silence m_silence;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isWaitingForMemory = false; ///< input is left in the kernel until there is memory
    bool m_isHeaderHandled = false;
    bool m_isParsingStopped = false; ///< no further requests are parsed
    bool m_closeAfterWrite = false;
    bool m_isLingering = false;
    bool m_isClosed = false;
};

} // namespace internal

http_exchange::http_exchange(std::weak_ptr<internal::caller_connection> connection,
                             http_request &&request, time_point arrivedAt,
                             std::shared_ptr<memory_account> account)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_arrivedAt(arrivedAt)
    , m_headHold(account)
    , m_answerHold(account)
    , m_account(std::move(account))
{
    struct held_body
    {
        std::string text;
        memory_hold hold;
    };
    const std::size_t bytes = memoryOf(m_request.body());
    auto held =
        std::make_shared<held_body>(held_body{std::move(m_request.body()), memory_hold(m_account)});
    held->hold.set(bytes > smallBodyBytes ? held_kind::LargeBody : held_kind::SmallRequest, bytes);
    m_body = request_body(held, &held->text);
    m_request.body().clear();
    m_headHold.set(held_kind::SmallRequest, memoryOf(m_request));
}

void http_exchange::answer(http_answer &&answer)
{
    if (m_isAnswered) {
        return;
    }
    m_isAnswered = true;
    m_onDisconnect = nullptr;
    m_body = std::make_shared<const std::string>(); // Its memory may be needed at once.
    if (const auto connection = m_connection.lock()) {
        m_answer = std::move(answer);
        m_answerHold.set(held_kind::WaitingAnswer, m_answer.body().size());
        m_account->settle();
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
                             limits_source limits, handler serve,
                             std::shared_ptr<memory_account> account)
    : m_loop(loop)
    , m_deadlines(deadlines)
    , m_guard(guard)
    , m_acceptor(loop, tcpEndpoint(address), true)
    , m_limits(std::move(limits))
    , m_serve(std::move(serve))
    , m_account(account ? std::move(account) : std::make_shared<memory_account>())
{
    m_account->setReclaimer([this] { return reclaim(); });
    accept();
}

http_listener::~http_listener()
{
    const auto connections = m_connections;
    for (const auto &connection : connections) {
        connection->close();
    }
    m_account->setReclaimer({});
    m_deadlines.remove(m_memoryRetryId);
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

bool http_listener::reclaimFor(incoming_requests::request_id id)
{
    return refuseIncoming(m_incoming.victimFor(id, mono_clock::now()));
}

/// Takes memory from the incomplete request that has made no progress for the longest time, or else
/// from the caller who takes the longest to read an answer.
bool http_listener::reclaim()
{
    if (refuseIncoming(m_incoming.victim())) {
        return true;
    }
    const auto slowest = std::min_element(
        m_connections.begin(), m_connections.end(),
        [](const auto &a, const auto &b) { return a->writingSince() < b->writingSince(); });
    if (slowest == m_connections.end()
        || mono_clock::now() - slowWriteTime < (*slowest)->writingSince()) {
        return false;
    }
    const auto connection = (*slowest)->shared_from_this();
    m_account->countRefusal();
    connection->close();
    return true;
}

bool http_listener::refuseIncoming(incoming_requests::request_id id)
{
    const auto it = m_readers.find(id);
    const auto connection = it == m_readers.end() ? nullptr : it->second.lock();
    if (!connection) {
        return false;
    }
    connection->yieldMemory();
    return true;
}

void http_listener::addWaiting(const std::shared_ptr<internal::caller_connection> &connection)
{
    m_waiting.push_back(connection);
    if (m_memoryRetryId == 0) {
        m_memoryRetryId = m_deadlines.add(mono_clock::now() + memoryRetryInterval, [this] {
            m_memoryRetryId = 0;
            resumeWaiting();
        });
    }
}

void http_listener::resumeWaiting()
{
    const time_point now = mono_clock::now();
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto &weak : waiting) {
        if (const auto connection = weak.lock()) {
            connection->resumeReading(now);
        }
    }
}

bool http_listener::closeLongestIdle()
{
    const auto longest = std::min_element(
        m_connections.begin(), m_connections.end(),
        [](const auto &a, const auto &b) { return a->idleSince() < b->idleSince(); });
    if (longest == m_connections.end() || !(*longest)->isIdleSince(mono_clock::now())) {
        return false;
    }
    const auto connection = (*longest)->shared_from_this();
    connection->close();
    return true;
}

/// Closes the connection whose caller has been reading an answer for the longest time.
bool http_listener::closeSlowestReader()
{
    const auto slowest = std::min_element(
        m_connections.begin(), m_connections.end(),
        [](const auto &a, const auto &b) { return a->deliveringSince() < b->deliveringSince(); });
    if (slowest == m_connections.end()
        || mono_clock::now() - slowWriteTime < (*slowest)->deliveringSince()) {
        return false;
    }
    const auto connection = (*slowest)->shared_from_this();
    connection->close();
    return true;
}

bool http_listener::closeLongestStalled()
{
    const auto it = m_readers.find(m_incoming.longestStalled(mono_clock::now()));
    const auto connection = it == m_readers.end() ? nullptr : it->second.lock();
    if (connection) {
        connection->close();
    }
    return connection != nullptr;
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
        if (m_connections.size() >= m_account->bounds().callerConnections && !closeLongestIdle()
            && !closeLongestStalled() && !closeSlowestReader()) {
            m_account->countRefusal();
            return; // Closes the socket: nothing has been read from it.
        }
        setUpSocket(socket);
        auto connection = std::make_shared<internal::caller_connection>(*this, std::move(socket));
        m_connections.insert(connection);
        connection->start();
    });
}

} // namespace damaskward
