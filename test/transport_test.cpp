// HTTP over real sockets: callers' connections (http_listener) and calls to targets
// (outgoing_pool).

#include "platform/store_client.h"
#include "src/Node/node.h"
#include "support/transport_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <linux/filter.h>
#include <sys/socket.h>

#include <future>

namespace damaskward {
namespace testing {
namespace {

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
    CPPUNIT_TEST(answerThatEndsInItsHeadIsInvalid);
    CPPUNIT_TEST(unframedAnswerEndsWithItsConnection);
    CPPUNIT_TEST(nonHttpAnswerIsInvalid);
    CPPUNIT_TEST(closeWithoutAnswerIsLost);
    CPPUNIT_TEST(refusedConnectionSentNothing);
    CPPUNIT_TEST(unresponsiveTargetTimesOut);
    CPPUNIT_TEST(oddStoreRowLeavesTheOthers);
    CPPUNIT_TEST(answerWithoutIdIsSkippedOnAKeptConnection);
    CPPUNIT_TEST(strayAnswerUpToTheEndIsLost);
    CPPUNIT_TEST(repeatedRefusalIsNotTheAnswerToARetry);
    CPPUNIT_TEST(unprovenRefusalIsNotForwarded);
    CPPUNIT_TEST(hugeRemainingTimeIsBounded);
    CPPUNIT_TEST(bytesOnIdleConnectionCloseIt);
    CPPUNIT_TEST(unreadBytesAreNotTheNextAnswer);
    CPPUNIT_TEST(endlessHeaderIsInvalid);
    CPPUNIT_TEST(endlessBodyIsInvalid);
    CPPUNIT_TEST(oversizedBodyIsInvalid);
    CPPUNIT_TEST(oversizedRequestBodyIsRefused);
    CPPUNIT_TEST(endlessChunkHeaderIsInvalid);
    CPPUNIT_TEST(endlessTrailerIsInvalid);
    CPPUNIT_TEST(endlessInterimAnswersAreInvalid);
    CPPUNIT_TEST(endlessStrayAnswersAreInvalid);
    CPPUNIT_TEST(endlessBodiesTogetherStayBounded);
    CPPUNIT_TEST(endlessAnswersFitASmallVm);
    CPPUNIT_TEST(idleConnectionsHoldNoAnswer);
    CPPUNIT_TEST(callersEndlessChunkHeaderTimesOut);
    CPPUNIT_TEST(callPastItsDeadlineIsNotSent);
    CPPUNIT_TEST(slowReaderGetsItsAnswer);
    CPPUNIT_TEST(slowReaderOfAClosedConnectionGetsItsAnswer);
    CPPUNIT_TEST(slowTargetGetsTheWholeRequest);
    CPPUNIT_TEST(lostCallerIsDetectedWhileItsAnswerIsWritten);
    CPPUNIT_TEST(lostTargetIsDetectedWhileTheRequestIsWritten);
    CPPUNIT_TEST(slowReaderIsNotLost);
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

    /// A body that no buffers of the kernel hold.
    static constexpr std::size_t largeBodyBytes = 8U << 20U;
    /// A caller's time budget on the users' platform within which it may begin to read.
    static constexpr milliseconds readingPause{3800};
    /// Time in which a lost peer is noticed: the platform's limit for lost contact, one interval of
    /// the checks, and as much again for a busy machine.
    static constexpr milliseconds lossBound{6000};

    static caller_limits largeBodies()
    {
        caller_limits limits;
        limits.bodyBytes = 2 * largeBodyBytes;
        return limits;
    }

    /// Makes the kernel of \a socket drop all that it receives from now on, as if the network had
    /// failed: nothing is acknowledged.
    static void dropInput(tcp::socket &socket)
    {
        sock_filter dropAll[] = {{BPF_RET | BPF_K, 0, 0, 0}};
        const sock_fprog program{1, dropAll};
        CPPUNIT_ASSERT_EQUAL(0,
                             ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER,
                                          &program, sizeof program));
    }

    static void connectWithSmallWindow(tcp::socket &socket, const std::string &address)
    {
        socket.open(tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(4096));
        socket.connect(tcpEndpoint(address));
    }

    static std::string post(const std::string &fields, std::size_t bodyBytes)
    {
        return "POST /x HTTP/1.1\r\nHost: a\r\n" + fields + "Content-Length: "
            + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
    }

    static std::size_t readAll(tcp::socket &socket)
    {
        std::string received;
        boost::system::error_code ended;
        asio::read(socket, asio::dynamic_buffer(received), ended);
        return ended == asio::error::eof ? received.size() : 0;
    }

    static std::size_t connectionsOf(echo_server &server)
    {
        std::size_t count = 0;
        server.loop().call([&] { count = server.listener().connectionCount(); });
        return count;
    }

    // Guards against the reset of a caller that begins to read late, with its answer.
    void slowReaderGetsItsAnswer()
    {
        echo_server server(largeBodies());
        asio::io_context context;
        tcp::socket caller(context);
        connectWithSmallWindow(caller, server.address);
        asio::write(caller, asio::buffer(post("Connection: close\r\n", largeBodyBytes)));
        std::this_thread::sleep_for(readingPause);
        CPPUNIT_ASSERT(readAll(caller) > largeBodyBytes);
    }

    // Guards against a close while the kernel still holds the last answer: input that arrives after
    // it makes the kernel send a reset, and the caller loses the answer.
    void slowReaderOfAClosedConnectionGetsItsAnswer()
    {
        constexpr std::size_t bodyBytes = 200000;
        echo_server server(largeBodies());
        asio::io_context context;
        tcp::socket caller(context);
        connectWithSmallWindow(caller, server.address);
        asio::write(caller, asio::buffer(post("Connection: close\r\n", bodyBytes)));
        std::this_thread::sleep_for(milliseconds(1500));
        asio::write(caller, asio::buffer(std::string("GET")));
        std::this_thread::sleep_for(milliseconds(300));
        CPPUNIT_ASSERT(readAll(caller) > bodyBytes);
    }

    /// A call with a large body to a target that has not begun to read it.
    struct large_upload
    {
        large_upload()
            : pool(loop.loop, loop.deadlines, loop.guard, "Id")
        {
            tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
            acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
            outgoing_call call;
            call.connectionKey = "t";
            call.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
            call.head = "POST /x HTTP/1.1\r\nHost: t\r\nContent-Length: "
                + std::to_string(largeBodyBytes) + "\r\n\r\n";
            call.body = std::make_shared<const std::string>(largeBodyBytes, 'x');
            call.expectedAnswerId = "7";
            call.deadline = mono_clock::now() + seconds(20);
            loop.call([&] {
                pool.send(std::move(call),
                          [this](call_result &&r) { result.set_value(std::move(r)); });
            });
            acceptor.accept(target);
        }

        std::promise<call_result> result;
        asio::io_context context;
        tcp::socket target{context};
        loop_thread loop;
        outgoing_pool pool;
    };

    // Guards against the reset of an upload whose target begins to read late.
    void slowTargetGetsTheWholeRequest()
    {
        large_upload upload;
        std::this_thread::sleep_for(readingPause);
        std::string received;
        boost::system::error_code error;
        asio::read(upload.target, asio::dynamic_buffer(received),
                   asio::transfer_at_least(largeBodyBytes), error);
        CPPUNIT_ASSERT(!error);
        asio::write(upload.target, asio::buffer(okAnswer("7", "done")), error);
        CPPUNIT_ASSERT(upload.result.get_future().get().failure == call_failure::None);
    }

    // Guards against an answer that is held for minutes for a caller that is gone: keep-alive
    // probes rest while data is outstanding.
    void lostCallerIsDetectedWhileItsAnswerIsWritten()
    {
        for (const milliseconds readingStops : {milliseconds(0), milliseconds(600)}) {
            echo_server server(largeBodies());
            asio::io_context context;
            tcp::socket caller(context);
            connectWithSmallWindow(caller, server.address);
            asio::write(caller, asio::buffer(post("", largeBodyBytes)));
            while (server.served == 0) {
                std::this_thread::yield(); // The rest of the request may be on its way.
            }
            std::this_thread::sleep_for(readingStops);
            dropInput(caller);
            const time_point until = mono_clock::now() + lossBound;
            while (connectionsOf(server) != 0 && mono_clock::now() < until) {
                std::this_thread::sleep_for(milliseconds(20));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), connectionsOf(server));
        }
    }

    // Guards against a call that waits for its deadline although its target is gone.
    void lostTargetIsDetectedWhileTheRequestIsWritten()
    {
        large_upload upload;
        dropInput(upload.target);
        auto result = upload.result.get_future();
        CPPUNIT_ASSERT(result.wait_for(lossBound) == std::future_status::ready);
        CPPUNIT_ASSERT(result.get().failure == call_failure::Lost);
    }

    // Guards against a verdict from one lost packet, and from silence before any data was sent.
    void slowReaderIsNotLost()
    {
        const time_point start = mono_clock::now();
        const auto at = [start](int millis) { return start + milliseconds(millis); };
        peer_silence closedWindow;
        // The kernel's interval has grown to 6 s; the answer to one probe was lost.
        CPPUNIT_ASSERT(!closedWindow.isLost({true, 0, 1, at(-6000)}, at(0)));
        CPPUNIT_ASSERT(!closedWindow.isLost({true, 0, 1, at(-6000)}, at(5900)));
        CPPUNIT_ASSERT(!closedWindow.isLost({true, 0, 0, at(6000)}, at(6100)));
        CPPUNIT_ASSERT(!closedWindow.isLost({true, 0, 2, at(6000)}, at(6600)));
        CPPUNIT_ASSERT(closedWindow.isLost({true, 0, 2, at(6000)}, at(9700)));
        peer_silence idle;
        CPPUNIT_ASSERT(!idle.isLost({true, 1, 0, at(-10000)}, at(0)));
        CPPUNIT_ASSERT(!idle.isLost({true, 1, 0, at(1000)}, at(3500)));
        CPPUNIT_ASSERT(idle.isLost({true, 1, 0, at(1000)}, at(4000)));
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
        loop.call([&] {
            pool = std::make_unique<outgoing_pool>(loop.loop, loop.deadlines, loop.guard, "Id");
        });
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

    // Guards against an answer whose head ends early and is taken for a whole one, on a new and on
    // a reused connection.
    void answerThatEndsInItsHeadIsInvalid()
    {
        const std::string head =
            "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nContent-Type: a/b\r\n\r\n";
        for (std::size_t length = 1; length < head.size(); ++length) {
            scripted_target target({head.substr(0, length)}, true);
            CPPUNIT_ASSERT(sendCalls(target.address(), 1).failure == call_failure::InvalidAnswer);
        }
        const std::string second = "HTTP/1.1 200 OK\r\nId: 2\r\nProof: p\r\n\r\n";
        for (std::size_t length = 1; length < second.size(); ++length) {
            const std::string cut = second.substr(0, length);
            scripted_target target(
                [cut](int, int request) {
                    return scripted_target::answer{request == 1 ? okAnswer("1", "a") : cut, {}};
                },
                false);
            const call_result result = sendCalls(target.address(), 2, milliseconds(40));
            CPPUNIT_ASSERT(result.failure != call_failure::None);
        }
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

    /// One row that cannot be read must not hide the other rows of a table.
    void oddStoreRowLeavesTheOthers()
    {
        const std::string body =
            R"({"ver":9,"hasMore":false,"rows":[)"
            R"({"key":"a","ver":1,"value":"QQ=="},{"key":"b","ver":2},)"
            R"({"key":"c","ver":3,"value":7},{"key":"d","ver":1e300,"value":"QQ=="},)"
            R"({"key":"e","ver":4,"value":"***"},{"key":5,"ver":5,"value":"QQ=="},[1],null,)"
            R"({"key":"z","ver":6,"value":"Qg=="}]})";
        scripted_target target({"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                                + "\r\n\r\n" + body},
                               false);
        loop_thread loop;
        std::unique_ptr<outgoing_pool> pool;
        std::unique_ptr<platform::store_client> store;
        std::atomic<bool> done{false};
        row_result result;
        loop.call([&] {
            pool = std::make_unique<outgoing_pool>(loop.loop, loop.deadlines, loop.guard, "Id");
            store = std::make_unique<platform::store_client>(*pool, target.address());
            store->read("servers", "", [&](row_result &&r) {
                result = std::move(r);
                done = true;
            });
        });
        while (!done) {
            std::this_thread::yield();
        }
        loop.call([&] {
            pool->closeIdleTo("store");
            pool.reset();
        });
        CPPUNIT_ASSERT(std::holds_alternative<row_set>(result));
        std::map<std::string, std::string> values;
        for (const table_row &row : std::get<row_set>(result).rows) {
            CPPUNIT_ASSERT(!row.deleted);
            values[row.name] = row.value;
        }
        CPPUNIT_ASSERT_EQUAL(std::string("A"), values["a"]);
        CPPUNIT_ASSERT_EQUAL(std::string("B"), values["z"]);
        CPPUNIT_ASSERT_EQUAL(std::string(), values["b"]);
    }

    /// A kept connection may carry a late refusal without an id, which belongs to no call.
    void answerWithoutIdIsSkippedOnAKeptConnection()
    {
        scripted_target target({okAnswer("1", "a"), refusal("") + okAnswer("2", "b")}, false);
        const call_result result = sendCalls(target.address(), 2);
        CPPUNIT_ASSERT(result.failure == call_failure::None);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), result.answer.body());
        CPPUNIT_ASSERT_EQUAL(1, target.connections.load());

        scripted_target firstAnswer({refusal("")}, false); // Can only be the answer to its call.
        CPPUNIT_ASSERT_EQUAL(503U, sendCalls(firstAnswer.address(), 1).answer.result_int());
    }

    /// A stray answer whose end is that of the connection must not leave its call waiting.
    void strayAnswerUpToTheEndIsLost()
    {
        scripted_target target({"HTTP/1.1 200 OK\r\nId: 9\r\n\r\nabc"}, true);
        CPPUNIT_ASSERT(sendCalls(target.address(), 1).failure == call_failure::Lost);
    }

    /// A target that repeats its refusal of a request must not be taken to refuse the retry, which
    /// has the same id and may run.
    void repeatedRefusalIsNotTheAnswerToARetry()
    {
        std::atomic<int> executions{0};
        scripted_target target(
            [&](int, int request) {
                if (request == 1) {
                    return scripted_target::answer{refusal("7"), {}};
                }
                ++executions;
                return scripted_target::answer{
                    "HTTP/1.1 200 OK\r\nId: 7\r\nProof: p\r\nContent-Length: 4\r\n\r\ndone",
                    {},
                    {}};
            },
            false);
        scripted_target repeating(
            [&](int connection, int request) {
                if (request == 1) {
                    return scripted_target::answer{refusal("7"), {}};
                }
                ++executions;
                return scripted_target::answer{
                    (connection == 1 ? refusal("7") : std::string())
                        + "HTTP/1.1 200 OK\r\nId: 7\r\nProof: p\r\nContent-Length: 4\r\n\r\ndone",
                    {},
                    {}};
            },
            false);
        for (scripted_target *each : {&target, &repeating}) {
            executions = 0;
            routed_listener listener(each->address());
            const std::string answer = listener.post();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, std::size_t{0}, answer.find("HTTP/1.1 200"));
            CPPUNIT_ASSERT_EQUAL(1, executions.load());
        }
    }

    /// A status that promises that a request has not run is forwarded only if its target says so.
    void unprovenRefusalIsNotForwarded()
    {
        for (const std::string status : {"408", "429", "503"}) {
            for (const std::string proof : {"", "Proof: p\r\n"}) {
                std::string text = "HTTP/1.1 ";
                text.append(status).append(" No\r\nId: 7\r\n").append(proof);
                scripted_target target({text.append("Content-Length: 0\r\n\r\n")}, false);
                routed_listener listener(target.address());
                const std::string answer = listener.post();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, std::size_t{0}, answer.find("HTTP/1.1 502"));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, std::string::npos, answer.find("Proof"));
                CPPUNIT_ASSERT_EQUAL(1, target.requests.load());
            }
        }
    }

    /// A caller's remaining time must not overflow the time point of its deadline.
    void hugeRemainingTimeIsBounded()
    {
        scripted_target target(
            {"HTTP/1.1 200 OK\r\nId: 7\r\nProof: p\r\nContent-Length: 0\r\n\r\n"}, false);
        routed_listener listener(target.address());
        for (const std::string left : {"9223372036854775807", "99999999999999999999"}) {
            const std::string answer = listener.post("Left: " + left + "\r\n");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, std::size_t{0}, answer.find("HTTP/1.1 200"));
        }
    }

    /// Bytes that no call asked for end their connection, also if they come after the answer.
    void bytesOnIdleConnectionCloseIt()
    {
        scripted_target target(
            [](int, int request) {
                const std::string id = std::to_string(request);
                return scripted_target::answer{okAnswer(id, "a") + refusal(id), {}};
            },
            false);
        const call_result result = sendCalls(target.address(), 3);
        CPPUNIT_ASSERT(result.failure == call_failure::None);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), result.answer.body());
        CPPUNIT_ASSERT_EQUAL(3, target.connections.load());
    }

    /// Bytes that arrive while the VM is frozen must not become the answer to the next call, which
    /// here expects no id, like a grant of keys.
    void unreadBytesAreNotTheNextAnswer()
    {
        scripted_target target(
            [](int connection, int) {
                return connection == 1
                    ? scripted_target::answer{okAnswer("", "first"), {}, okAnswer("", "late")}
                    : scripted_target::answer{okAnswer("", "second"), {}};
            },
            false);
        loop_thread loop;
        std::unique_ptr<outgoing_pool> pool;
        std::atomic<bool> done{false};
        std::string body;
        const auto makeCall = [&] {
            outgoing_call call;
            call.connectionKey = "t";
            call.address = target.address();
            call.head = "POST / HTTP/1.1\r\nHost: a\r\n\r\n";
            call.deadline = mono_clock::now() + seconds(2);
            return call;
        };
        loop.call([&] {
            pool = std::make_unique<outgoing_pool>(loop.loop, loop.deadlines, loop.guard, "Id");
            pool->send(makeCall(), [&](call_result &&) {
                std::this_thread::sleep_for(milliseconds(200)); // The event loop is not running.
                pool->send(makeCall(), [&](call_result &&result) {
                    body = result.answer.body();
                    done = true;
                });
            });
        });
        while (!done) {
            std::this_thread::yield();
        }
        loop.call([&] {
            pool->closeIdleTo("t");
            pool.reset();
        });
        CPPUNIT_ASSERT_EQUAL(std::string("second"), body);
    }

    /// Calls a target that sends \a text and then \a endless without end, and expects the call to
    /// fail as invalid long before its deadline.
    static void expectInvalid(const std::string &text, const std::string &endless)
    {
        scripted_target target(
            [&](int, int) {
                return scripted_target::answer{text, endless};
            },
            false);
        const std::size_t before = residentMegabytes();
        const call_failure failure = sendCalls(target.address(), 1, milliseconds(3000)).failure;
        CPPUNIT_ASSERT_MESSAGE(text, failure == call_failure::InvalidAnswer);
        constexpr std::size_t maxGrowth = 64;
        CPPUNIT_ASSERT(residentMegabytes() < before + maxGrowth);
    }

    void endlessHeaderIsInvalid()
    {
        expectInvalid("HTTP/1.1 200 OK\r\nId: 1\r\nX: ", std::string(1000, 'x'));
        expectInvalid("HTTP/1.1 200 ", std::string(1000, 'x'));
        expectInvalid("HTTP/1.1 200 OK\r\n", "X: y\r\n");
        expectInvalid("", "x");
    }

    void endlessBodyIsInvalid()
    {
        const std::string filler(100000, 'x');
        expectInvalid("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", filler);
        expectInvalid("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                      "186a0\r\n" + filler + "\r\n");
    }

    /// The limit of an answer's body applies before memory is reserved for it, also if the first of
    /// the body arrives together with the header.
    void oversizedBodyIsInvalid()
    {
        const std::string header = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: ";
        const std::string filler(100000, 'x');
        expectInvalid(header + "99999999999\r\n\r\n", filler);
        expectInvalid(header + "99999999999\r\n\r\nx", filler);
        expectInvalid(header + "200000000\r\n\r\nx", filler);
    }

    /// The same for the body of a caller's request.
    void oversizedRequestBodyIsRefused()
    {
        caller_limits limits;
        limits.bodyBytes = 100;
        for (const std::string length : {"101", "99999999999"}) {
            for (const std::size_t sent : {std::size_t{0}, std::size_t{1}, std::size_t{50000}}) {
                echo_server server(limits);
                const std::string received =
                    server.sendAndReceive("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " + length
                                          + "\r\n\r\n" + std::string(sent, 'x'));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(received, std::size_t{0},
                                             received.find("HTTP/1.1 413"));
                CPPUNIT_ASSERT_EQUAL(0, server.served.load());
            }
        }
    }

    void endlessChunkHeaderIsInvalid()
    {
        expectInvalid("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;a=",
                      std::string(100000, 'x'));
    }

    void endlessTrailerIsInvalid()
    {
        expectInvalid("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                      std::string("X: ") + std::string(100000, 'x') + "\r\n");
    }

    void endlessInterimAnswersAreInvalid() { expectInvalid("", "HTTP/1.1 100 Continue\r\n\r\n"); }

    void endlessStrayAnswersAreInvalid() { expectInvalid("", okAnswer("9", "stray")); }

    /// Many targets that send bodies without end must not use up the memory of the VM.
    void endlessBodiesTogetherStayBounded()
    {
        constexpr int calls = 30;
        constexpr std::size_t maxGrowth = 160; // The process may use 260 MB.
        callEndlessAnswers(calls, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
                           outgoing_pool::defaultMaxHeldBytes, maxGrowth);
    }

    // Guards against a small VM that is killed for its memory, with the requests of all callers, by
    // targets that send bytes without end.
    void endlessAnswersFitASmallVm()
    {
        vm_capacity capacity;
        capacity.memoryBytes = 160U << 20U;
        constexpr int calls = 128;
        constexpr std::size_t maxGrowth = 120; // The rest of the VM's memory is for all else.
        for (const char *begin :
             {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nX: ",
              "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n"}) {
            callEndlessAnswers(calls, begin, memoryBoundsOf(capacity).answerBytes, maxGrowth);
        }
    }

    // Guards against idle connections that count as incomplete answers: many of them would end the
    // answers that are being received.
    void idleConnectionsHoldNoAnswer()
    {
        scripted_target target({okAnswer("1", "a")}, false);
        loop_thread loop;
        std::unique_ptr<outgoing_pool> pool;
        std::atomic<bool> done{false};
        loop.call([&] {
            pool = std::make_unique<outgoing_pool>(loop.loop, loop.deadlines, loop.guard, "Id");
            outgoing_call call;
            call.connectionKey = "t";
            call.address = target.address();
            call.head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
            call.deadline = mono_clock::now() + seconds(5);
            pool->send(std::move(call), [&](call_result &&) { done = true; });
        });
        while (!done) {
            std::this_thread::yield();
        }
        std::size_t heldBytes = 0;
        loop.call([&] {
            heldBytes = pool->heldBytes();
            pool->closeIdleTo("t");
            pool.reset();
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, heldBytes);
    }

    /// Makes \a calls calls at once, whose answers go on without end after \a begin, and checks
    /// that each is invalid. \param maxGrowth limit on the growth of this process, in MiB
    static void callEndlessAnswers(int calls, const std::string &begin, std::size_t maxHeldBytes,
                                   std::size_t maxGrowth)
    {
        scripted_target target(
            [&](int, int) {
                return scripted_target::answer{begin, std::string(100000, 'x')};
            },
            false);
        loop_thread loop;
        std::unique_ptr<outgoing_pool> pool;
        std::atomic<int> failed{0};
        std::atomic<int> invalid{0};
        const std::size_t before = residentMegabytes();
        std::size_t highest = before;
        loop.call([&] {
            pool = std::make_unique<outgoing_pool>(loop.loop, loop.deadlines, loop.guard, "Id",
                                                   maxHeldBytes);
            for (int i = 0; i < calls; ++i) {
                outgoing_call call;
                call.connectionKey = "t";
                call.address = target.address();
                call.head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
                call.expectedAnswerId = "1";
                call.deadline = mono_clock::now() + seconds(20);
                pool->send(std::move(call), [&](call_result &&result) {
                    invalid += result.failure == call_failure::InvalidAnswer ? 1 : 0;
                    ++failed;
                });
            }
        });
        while (failed < calls) {
            highest = std::max(highest, residentMegabytes());
            std::this_thread::sleep_for(milliseconds(1));
        }
        loop.call([&] { pool.reset(); });
        CPPUNIT_ASSERT_EQUAL(calls, invalid.load());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(highest - before), highest < before + maxGrowth);
    }

    /// The listener stops reading a chunk header without end, and its idle timeout applies.
    void callersEndlessChunkHeaderTimesOut()
    {
        caller_limits limits;
        limits.idleTimeout = milliseconds(200);
        echo_server server(limits);
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(tcpEndpoint(server.address));
        std::atomic<bool> isClosed{false};
        std::thread sender([&] {
            boost::system::error_code error;
            asio::write(socket,
                        asio::buffer(std::string("POST /a HTTP/1.1\r\nHost: a\r\n"
                                                 "Transfer-Encoding: chunked\r\n\r\n1;a=")),
                        error);
            const std::string filler(100000, 'x');
            while (!error) {
                asio::write(socket, asio::buffer(filler), error);
            }
            isClosed = true;
        });
        const std::size_t before = residentMegabytes();
        std::size_t highest = before;
        const time_point end = mono_clock::now() + seconds(5);
        while (!isClosed && mono_clock::now() < end) {
            highest = std::max(highest, residentMegabytes());
            std::this_thread::sleep_for(milliseconds(1));
        }
        const bool closedInTime = isClosed;
        boost::system::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_both, ignored);
        sender.join();
        CPPUNIT_ASSERT(closedInTime);
        constexpr std::size_t maxGrowth = 32;
        CPPUNIT_ASSERT(highest < before + maxGrowth);
        CPPUNIT_ASSERT_EQUAL(0, server.served.load());
    }

    /// A call that comes to its connection after the deadline must not be sent: a grant that was
    /// sent late would outlast the time at which its sender takes it for expired.
    void callPastItsDeadlineIsNotSent()
    {
        scripted_target target({okAnswer("1", "a"), okAnswer("2", "b")}, false);
        loop_thread loop;
        std::unique_ptr<outgoing_pool> pool;
        loop.call([&] {
            pool = std::make_unique<outgoing_pool>(loop.loop, loop.deadlines, loop.guard, "Id");
        });
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
