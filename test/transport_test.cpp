// HTTP over real sockets: callers' connections (http_listener) and calls to targets
// (outgoing_pool).

#include "src/Proxy/http_listener.h"
#include "src/Proxy/outgoing_pool.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

namespace damaskward {
namespace testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// An event loop on its own thread.
class loop_thread
{
public:
    loop_thread()
        : m_guard(asio::make_work_guard(loop))
        , deadlines(loop)
        , m_thread([this] { loop.run(); })
    { }
    ~loop_thread()
    {
        loop.stop();
        m_thread.join();
    }
    /// Runs \a action on the loop and waits for it.
    void call(const std::function<void()> &action)
    {
        std::atomic<bool> done{false};
        asio::post(loop, [&] {
            action();
            done = true;
        });
        while (!done) {
            std::this_thread::yield();
        }
    }

    asio::io_context loop;

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;

public:
    deadline_queue deadlines;

private:
    std::thread m_thread;
};

int freePort()
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

/// Answers each request with its method, target and body. `/slow` is answered after 100 ms,
/// `/never` never.
class echo_server
{
public:
    explicit echo_server(caller_limits limits = {})
        : address("127.0.0.1:" + std::to_string(freePort()))
    {
        m_loop.call([&] {
            m_listener = std::make_unique<http_listener>(
                m_loop.loop, m_loop.deadlines, address, [limits] { return limits; },
                [this](const std::shared_ptr<http_exchange> &exchange) { serve(exchange); });
        });
    }
    ~echo_server()
    {
        m_loop.call([&] { m_listener.reset(); });
    }

    /// Sends \a text on a new connection.
    /// \returns the data received until the server closes it or sends nothing for 400 ms.
    std::string sendAndReceive(const std::string &text)
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(tcpEndpoint(address));
        asio::write(socket, asio::buffer(text));
        std::string received;
        boost::system::error_code error;
        socket.native_non_blocking(false);
        timeval wait{0, 400000};
        ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
        char buffer[65536];
        while (true) {
            const auto count = ::recv(socket.native_handle(), buffer, sizeof buffer, 0);
            if (count <= 0) {
                isClosed = count == 0;
                return received;
            }
            received.append(buffer, static_cast<std::size_t>(count));
        }
    }

    std::string address;
    bool isClosed = false; ///< whether the server closed the last connection
    std::atomic<int> served{0};
    std::atomic<int> disconnects{0};
    http_listener &listener() { return *m_listener; }
    loop_thread &loop() { return m_loop; }

private:
    void serve(const std::shared_ptr<http_exchange> &exchange)
    {
        ++served;
        const std::string target(exchange->request().target());
        if (target == "/never") {
            exchange->onDisconnect([this, exchange] { ++disconnects; });
            return;
        }
        http_answer answer = plainAnswer(200);
        answer.body() = std::string(exchange->request().method_string()) + " " + target + " "
            + exchange->request().body();
        if (target == "/slow") {
            m_loop.deadlines.add(
                mono_clock::now() + milliseconds(100),
                [exchange, answer]() mutable { exchange->answer(std::move(answer)); });
            return;
        }
        exchange->answer(std::move(answer));
    }

    loop_thread m_loop;
    std::unique_ptr<http_listener> m_listener;
};

/// A target that sends a fixed answer once it has received a request's header.
class scripted_target
{
public:
    /// \param answers one for each request, counted over all connections; the last one is repeated
    /// \param closesAfterAnswer whether to close the connection after each answer
    scripted_target(std::vector<std::string> answers, bool closesAfterAnswer)
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
        , m_answers(std::move(answers))
        , m_closesAfterAnswer(closesAfterAnswer)
        , m_thread([this] { run(); })
    { }
    ~scripted_target()
    {
        m_stopping = true;
        boost::system::error_code ignored;
        tcp::socket wake(m_context);
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    std::atomic<int> connections{0};

private:
    void run()
    {
        while (!m_stopping) {
            tcp::socket socket(m_context);
            m_acceptor.accept(socket);
            if (m_stopping) {
                return;
            }
            ++connections;
            serve(socket);
        }
    }

    void serve(tcp::socket &socket)
    {
        boost::system::error_code error;
        std::string request;
        char buffer[4096];
        while (!m_stopping) {
            const std::size_t count = socket.read_some(asio::buffer(buffer), error);
            if (error) {
                return;
            }
            request.append(buffer, count);
            if (request.find("\r\n\r\n") == std::string::npos) {
                continue;
            }
            request.clear();
            const std::string &answer = m_answers[std::min(m_nextAnswer++, m_answers.size() - 1)];
            asio::write(socket, asio::buffer(answer), error);
            if (m_closesAfterAnswer) {
                return;
            }
        }
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::vector<std::string> m_answers;
    std::size_t m_nextAnswer = 0;
    bool m_closesAfterAnswer;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

std::string okAnswer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

class transport_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(transport_test);
    CPPUNIT_TEST(pipelinedAnswersKeepTheirOrder);
    CPPUNIT_TEST(bodiesByLengthAndInChunks);
    CPPUNIT_TEST(smuggledRequestsAreRefused);
    CPPUNIT_TEST(limitsAreEnforced);
    CPPUNIT_TEST(slowHeaderTimesOut);
    CPPUNIT_TEST(drainingClosesAfterTheAnswer);
    CPPUNIT_TEST(stoppedListenerFinishesRequestsInFlight);
    CPPUNIT_TEST(callerDisconnectIsDetected);
    CPPUNIT_TEST(connectionsAreReused);
    CPPUNIT_TEST(strayAnswerIsSkipped);
    CPPUNIT_TEST(truncatedAnswerIsInvalid);
    CPPUNIT_TEST(unframedAnswerEndsWithItsConnection);
    CPPUNIT_TEST(nonHttpAnswerIsInvalid);
    CPPUNIT_TEST(closeWithoutAnswerIsLost);
    CPPUNIT_TEST(refusedConnectionSentNothing);
    CPPUNIT_TEST(unresponsiveTargetTimesOut);
    CPPUNIT_TEST(callPastItsDeadlineIsNotSent);
    CPPUNIT_TEST_SUITE_END();

    static int count(const std::string &text, const std::string &part)
    {
        int occurrences = 0;
        for (std::size_t at = text.find(part); at != std::string::npos;
             at = text.find(part, at + 1)) {
            ++occurrences;
        }
        return occurrences;
    }

    void pipelinedAnswersKeepTheirOrder()
    {
        echo_server server;
        const std::string received = server.sendAndReceive("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
                                                           "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                                                           "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
        const std::size_t first = received.find("GET /slow");
        const std::size_t second = received.find("GET /2");
        const std::size_t third = received.find("GET /3");
        CPPUNIT_ASSERT(first < second && second < third && third != std::string::npos);
    }

    void bodiesByLengthAndInChunks()
    {
        echo_server server;
        const std::string received = server.sendAndReceive(
            "POST /l HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
            "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(received.find("POST /l hello") != std::string::npos);
        CPPUNIT_ASSERT(received.find("POST /c abcde") != std::string::npos);
    }

    /// Request smuggling: two parsers may disagree about where these messages end. Each is refused,
    /// and the data behind it is not parsed.
    void smuggledRequestsAreRefused()
    {
        const std::vector<std::string> cases = {
            ("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: "
             "chunked\r\n\r\n"
             "0\r\n\r\nGET /inner HTTP/1.1\r\nHost: a\r\n\r\n"),
            "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\nabcd",
            "GET /x HTTP/1.1\nHost: a\n\nGET /inner HTTP/1.1\r\nHost: a\r\n\r\n",
            "GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            "GET /x HTTP/1.1\r\n\r\n",
            "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -4\r\n\r\nabcd",
            "\x16\x03\x01\x02 not http\r\n\r\n"};
        for (const std::string &text : cases) {
            echo_server server;
            const std::string received = server.sendAndReceive(text);
            CPPUNIT_ASSERT_MESSAGE(text + received, received.find("HTTP/1.1 400") == 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, count(received, "inner"));
            CPPUNIT_ASSERT_MESSAGE(text, server.isClosed);
        }
    }

    void limitsAreEnforced()
    {
        caller_limits limits;
        limits.headerBytes = 500;
        limits.bodyBytes = 100;
        echo_server server(limits);
        const std::string big(1000, 'x');
        CPPUNIT_ASSERT(server.sendAndReceive("GET /a HTTP/1.1\r\nHost: a\r\nX: " + big + "\r\n\r\n")
                           .find("HTTP/1.1 431")
                       == 0);
        CPPUNIT_ASSERT(
            server
                .sendAndReceive("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n" + big)
                .find("HTTP/1.1 413")
            == 0);
        CPPUNIT_ASSERT_EQUAL(0, server.served.load());
    }

    void slowHeaderTimesOut()
    {
        caller_limits limits;
        limits.headerTimeout = milliseconds(100);
        echo_server server(limits);
        CPPUNIT_ASSERT(server.sendAndReceive("GET /a HTTP/1.1\r\nHo").find("HTTP/1.1 408") == 0);
    }

    void drainingClosesAfterTheAnswer()
    {
        echo_server server;
        server.loop().call([&] { server.listener().drain(); });
        const std::string received = server.sendAndReceive("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(received.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(received.find("GET /a") != std::string::npos);
        CPPUNIT_ASSERT(server.isClosed);
    }

    /// On a planned shutdown, requests in flight are answered and new connections are refused.
    void stoppedListenerFinishesRequestsInFlight()
    {
        echo_server server;
        std::string received;
        std::thread caller(
            [&] { received = server.sendAndReceive("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"); });
        while (server.served == 0) {
            std::this_thread::yield();
        }
        server.loop().call([&] {
            server.listener().drain();
            server.listener().stopAccepting();
        });
        asio::io_context context;
        tcp::socket secondCaller(context);
        boost::system::error_code error;
        secondCaller.connect(tcpEndpoint(server.address), error);
        CPPUNIT_ASSERT(error == asio::error::connection_refused);
        caller.join();
        CPPUNIT_ASSERT(received.find("GET /slow") != std::string::npos);
    }

    void callerDisconnectIsDetected()
    {
        echo_server server;
        server.sendAndReceive("GET /never HTTP/1.1\r\nHost: a\r\n\r\n");
        for (int i = 0; i < 1000 && server.disconnects == 0; ++i) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        CPPUNIT_ASSERT_EQUAL(1, server.disconnects.load());
    }

    /// Makes \a calls sequential calls with the ids 1, 2, ... \returns the last result.
    static call_result sendCalls(const std::string &address, int calls,
                                 milliseconds timeout = milliseconds(2000))
    {
        loop_thread loop;
        std::unique_ptr<outgoing_pool> pool;
        loop.call([&] { pool = std::make_unique<outgoing_pool>(loop.loop, loop.deadlines, "Id"); });
        call_result last;
        for (int i = 1; i <= calls; ++i) {
            std::atomic<bool> done{false};
            loop.call([&] {
                outgoing_call call;
                call.connectionKey = "t";
                call.address = address;
                call.head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
                call.expectedAnswerId = std::to_string(i);
                call.deadline = mono_clock::now() + timeout;
                pool->send(std::move(call), [&](call_result &&result) {
                    last = std::move(result);
                    done = true;
                });
            });
            while (!done) {
                std::this_thread::yield();
            }
        }
        loop.call([&] { pool->closeIdleTo("t"); });
        loop.call([&] { pool.reset(); });
        return last;
    }

    void connectionsAreReused()
    {
        scripted_target target({okAnswer("1", "a"), okAnswer("2", "b"), okAnswer("3", "c")}, false);
        const call_result result = sendCalls(target.address(), 3);
        CPPUNIT_ASSERT(result.failure == call_failure::None);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), result.answer.body());
        CPPUNIT_ASSERT_EQUAL(1, target.connections.load());
    }

    /// The target sends an answer with another id before the expected one.
    void strayAnswerIsSkipped()
    {
        scripted_target target({okAnswer("9", "wrong") + okAnswer("1", "right")}, false);
        const call_result result = sendCalls(target.address(), 1);
        CPPUNIT_ASSERT(result.failure == call_failure::None);
        CPPUNIT_ASSERT_EQUAL(std::string("right"), result.answer.body());
    }

    void truncatedAnswerIsInvalid()
    {
        scripted_target target({"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nabc"}, true);
        CPPUNIT_ASSERT(sendCalls(target.address(), 1).failure == call_failure::InvalidAnswer);
    }

    void unframedAnswerEndsWithItsConnection()
    {
        scripted_target target({"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc"}, true);
        const call_result result = sendCalls(target.address(), 1);
        CPPUNIT_ASSERT(result.failure == call_failure::None);
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), result.answer.body());
    }

    void nonHttpAnswerIsInvalid()
    {
        scripted_target target({"\x01\x02 no http at all\r\n\r\n"}, false);
        CPPUNIT_ASSERT(sendCalls(target.address(), 1).failure == call_failure::InvalidAnswer);
    }

    void closeWithoutAnswerIsLost()
    {
        scripted_target target({""}, true);
        const call_failure failure = sendCalls(target.address(), 1).failure;
        CPPUNIT_ASSERT(failure == call_failure::Lost);
        CPPUNIT_ASSERT(!neverSent(failure));
        CPPUNIT_ASSERT_EQUAL(1, target.connections.load()); // The pool must not retry.
    }

    void refusedConnectionSentNothing()
    {
        const std::string address = "127.0.0.1:" + std::to_string(freePort());
        CPPUNIT_ASSERT(neverSent(sendCalls(address, 1).failure));
    }

    void unresponsiveTargetTimesOut()
    {
        scripted_target target({""}, false);
        CPPUNIT_ASSERT(sendCalls(target.address(), 1, milliseconds(150)).failure
                       == call_failure::TimedOut);
    }

    /// A call that comes to its connection after the deadline must not be sent: a grant that was
    /// sent late would outlast the time at which its sender takes it for expired.
    void callPastItsDeadlineIsNotSent()
    {
        scripted_target target({okAnswer("1", "a"), okAnswer("2", "b")}, false);
        loop_thread loop;
        std::unique_ptr<outgoing_pool> pool;
        loop.call([&] { pool = std::make_unique<outgoing_pool>(loop.loop, loop.deadlines, "Id"); });
        call_result last;
        // The second call finds an idle connection.
        for (const milliseconds timeout : {milliseconds(2000), milliseconds(-1)}) {
            std::atomic<bool> done{false};
            loop.call([&] {
                outgoing_call call;
                call.connectionKey = "t";
                call.address = target.address();
                call.head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
                call.deadline = mono_clock::now() + timeout;
                pool->send(std::move(call), [&](call_result &&result) {
                    last = std::move(result);
                    done = true;
                });
            });
            while (!done) {
                std::this_thread::yield();
            }
        }
        loop.call([&] { pool->closeIdleTo("t"); });
        loop.call([&] { pool.reset(); });
        CPPUNIT_ASSERT(neverSent(last.failure));
        CPPUNIT_ASSERT(last.sentAt == time_point{});
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(transport_test, "transport");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("transport");

} // namespace
} // namespace testing
} // namespace damaskward
