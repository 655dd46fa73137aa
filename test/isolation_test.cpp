// Failure isolation: an exception ends only the call, request, connection or message that it
// concerns, never the event loop with everything else on it.

#include "platform/registry_decoder.h"
#include "src/Node/peer_socket.h"
#include "support/transport_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <stdexcept>

namespace damaskward {
namespace testing {
namespace {

/// More bytes than the parser's containers accept for one field.
constexpr std::size_t oversizedBytes = 70000;

/// Calls to one address, on an event loop of their own.
class caller
{
public:
    caller()
    {
        m_loop.call([this] {
            m_pool =
                std::make_unique<outgoing_pool>(m_loop.loop, m_loop.deadlines, m_loop.guard, "Id");
        });
    }
    ~caller()
    {
        m_loop.call([this] {
            for (const std::string &address : m_addresses) {
                m_pool->closeIdleTo(address);
            }
            m_pool.reset();
        });
    }

    /// Sends a call with the id 1 and waits for its result.
    call_result call(const std::string &address)
    {
        std::atomic<bool> done{false};
        call_result last;
        send(address, [&](call_result &&result) {
            last = std::move(result);
            done = true;
        });
        while (!done) {
            std::this_thread::yield();
        }
        return last;
    }

    void send(const std::string &address, const outgoing_pool::callback &done)
    {
        m_loop.call([&] {
            m_addresses.insert(address);
            outgoing_call call;
            call.connectionKey = address;
            call.address = address;
            call.head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
            call.expectedAnswerId = "1";
            call.deadline = mono_clock::now() + seconds(5);
            m_pool->send(std::move(call), done);
        });
    }

    int failureCount() const { return m_loop.failures; }

private:
    loop_thread m_loop;
    std::set<std::string> m_addresses; ///< called so far
    std::unique_ptr<outgoing_pool> m_pool;
};

class isolation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(isolation_test);
    CPPUNIT_TEST(oversizedPartOfAnAnswerFailsOneCall);
    CPPUNIT_TEST(oversizedPartOfARequestClosesOneConnection);
    CPPUNIT_TEST(requestsBeforeAMalformedOneAreAnswered);
    CPPUNIT_TEST(failedRequestHandlerIsAnswered500);
    CPPUNIT_TEST(failedCallResultLeavesOtherCalls);
    CPPUNIT_TEST(failedDeadlineLeavesTheOthers);
    CPPUNIT_TEST(failedMessageHandlerLeavesOtherMessages);
    CPPUNIT_TEST(unsendableRequestIsRefused);
    CPPUNIT_TEST(oddRegistryEntriesNeverThrow);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an answer that ends the process: a trailer of 70,000 bytes made the parser
    // throw, and all requests in flight were cut off.
    void oversizedPartOfAnAnswerFailsOneCall()
    {
        const std::string oversized(oversizedBytes, 'a');
        const std::string chunked =
            "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::vector<std::string> answers = {
            "HTTP/1.1 200 OK\r\nX: " + oversized + "\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 " + oversized + "\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\n" + oversized + ": x\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 100 Continue\r\nX: " + oversized + "\r\n\r\n" + okAnswer("1", "a"),
            chunked + oversized + "\r\n",
            chunked + "5;x=" + oversized + "\r\nhello\r\n0\r\n\r\n",
            chunked + "5\r\nhello\r\n0\r\nX: " + oversized + "\r\n\r\n",
            chunked + "5\r\nhello\r\n0\r\n" + oversized + ": x\r\n\r\n"};
        scripted_target sound({okAnswer("1", "sound")}, false);
        for (const std::string &text : answers) {
            scripted_target faulty({text}, false);
            caller client;
            const call_result result = client.call(faulty.address());
            // A long chunk extension is valid and may be accepted.
            const bool isAccepted =
                result.failure == call_failure::None && result.answer.body() == "hello";
            CPPUNIT_ASSERT_MESSAGE(text.substr(0, 80),
                                   isAccepted || result.failure == call_failure::InvalidAnswer);
            CPPUNIT_ASSERT_EQUAL(std::string("sound"), client.call(sound.address()).answer.body());
        }
    }

    // Guards against a request that ends the process, by a trailer that makes the parser throw.
    void oversizedPartOfARequestClosesOneConnection()
    {
        const std::string oversized(oversizedBytes, 'a');
        const std::string chunked =
            "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::vector<std::string> requests = {
            "GET /a HTTP/1.1\r\nHost: a\r\nX: " + oversized + "\r\n\r\n",
            "GET /" + oversized + " HTTP/1.1\r\nHost: a\r\n\r\n",
            "GET /a HTTP/1.1\r\nHost: a\r\n" + oversized + ": x\r\n\r\n",
            chunked + "5;x=" + oversized + "\r\nhello\r\n0\r\n\r\n",
            chunked + "5\r\nhello\r\n0\r\nX: " + oversized + "\r\n\r\n",
            chunked + "5\r\nhello\r\n0\r\n" + oversized + ": x\r\n\r\n"};
        caller_limits limits;
        limits.headerBytes = 1U << 20U; // A limit that operators may set; the parser's are lower.
        for (const std::string &text : requests) {
            echo_server server(limits);
            std::string answerToOther;
            std::thread other([&] {
                answerToOther = server.sendAndReceive("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
            });
            while (server.served == 0) {
                std::this_thread::yield();
            }
            server.sendAndReceive(text);
            other.join();
            CPPUNIT_ASSERT(answerToOther.find("GET /slow") != std::string::npos);
            CPPUNIT_ASSERT(
                server.sendAndReceive("GET /b HTTP/1.1\r\nHost: a\r\n\r\n").find("GET /b")
                != std::string::npos);
        }
    }

    // Guards against the loss of requests that were sent before one at which the parser throws.
    void requestsBeforeAMalformedOneAreAnswered()
    {
        echo_server server;
        const std::string received = server.sendAndReceive(
            "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
            "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: "
            + std::string(oversizedBytes, 'a') + "\r\n\r\n");
        CPPUNIT_ASSERT(received.find("GET /slow") != std::string::npos);
        CPPUNIT_ASSERT(received.find("HTTP/1.1 400") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, server.served.load());
    }

    // Guards against a request that ends the process by an exception in what serves it.
    void failedRequestHandlerIsAnswered500()
    {
        echo_server server;
        const std::string received = server.sendAndReceive("GET /throw HTTP/1.1\r\nHost: a\r\n\r\n"
                                                           "GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(received.find("HTTP/1.1 500") == 0);
        CPPUNIT_ASSERT(received.find("GET /b") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, server.loop().failures.load());
    }

    // Guards against an answer, such as one of the store, that ends the process by an exception in
    // what processes it.
    void failedCallResultLeavesOtherCalls()
    {
        scripted_target target({okAnswer("1", "a")}, false);
        caller client;
        client.send(target.address(), [](call_result &&) { throw std::length_error("test"); });
        CPPUNIT_ASSERT(client.call(target.address()).failure == call_failure::None);
        while (client.failureCount() == 0) {
            std::this_thread::yield();
        }
        CPPUNIT_ASSERT_EQUAL(1, client.failureCount());
    }

    // Guards against a deadline that ends the process, or stops all later deadlines.
    void failedDeadlineLeavesTheOthers()
    {
        loop_thread loop;
        std::atomic<int> expired{0};
        loop.call([&] {
            const time_point now = mono_clock::now();
            loop.deadlines.add(now, [] { throw std::runtime_error("test"); });
            loop.deadlines.add(now, [&] { ++expired; });
            loop.deadlines.add(now + milliseconds(5), [&] { ++expired; });
        });
        while (expired < 2) {
            std::this_thread::yield();
        }
        CPPUNIT_ASSERT_EQUAL(1, loop.failures.load());
    }

    // Guards against a message of another VM that ends the process, or stops the receipt of others.
    void failedMessageHandlerLeavesOtherMessages()
    {
        loop_thread loop;
        std::unique_ptr<peer_socket> socket;
        const auto port = static_cast<std::uint16_t>(freePort());
        std::atomic<int> received{0};
        loop.call([&] {
            socket = std::make_unique<peer_socket>(loop.loop, loop.guard, "127.0.0.1", port,
                                                   [&](peer_message &&, const std::string &) {
                                                       if (++received == 1) {
                                                           throw std::runtime_error("test");
                                                       }
                                                   });
            socket->send("127.0.0.1", owner_query{"vm-1"});
            socket->sendBytes("127.0.0.1", std::string("\xff\xff\xff"));
            socket->send("127.0.0.1", owner_query{"vm-1"});
        });
        while (received < 2) {
            std::this_thread::yield();
        }
        std::uint64_t malformedCount = 0;
        loop.call([&] {
            malformedCount = socket->counts().malformedCount;
            socket.reset();
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, malformedCount);
        CPPUNIT_ASSERT_EQUAL(1, loop.failures.load());
    }

    // Guards against a request that waits for its deadline although it cannot be sent.
    void unsendableRequestIsRefused()
    {
        scripted_target target({okAnswer("7", "a")}, false);
        routed_listener router(target.address(), std::string(oversizedBytes, 'n'));
        const time_point start = mono_clock::now();
        CPPUNIT_ASSERT(router.post().find("HTTP/1.1 503") == 0);
        CPPUNIT_ASSERT(mono_clock::now() < start + milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(0, target.requests.load());
    }

    // Guards against a row of the store that ends the process.
    void oddRegistryEntriesNeverThrow()
    {
        const std::string valid =
            R"({"address":"10.0.0.1:80","born":1,"info":{"service":"s","zone":"z","slots":1},)"
            R"("status":{"state":"ready","sequence":1}})";
        CPPUNIT_ASSERT(std::holds_alternative<target_record>(platform::decodeTarget("t", valid)));
        for (std::size_t at = 0; at < valid.size(); ++at) {
            for (const char *replacement : {"", "\xff", "9e999", "null", "[]", "\\ud800", "-"}) {
                std::string text = valid;
                text.replace(at, 1, replacement);
                platform::decodeTarget("t", text);
                platform::decodeTarget(text, valid);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(isolation_test, "isolation");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("isolation");

} // namespace
} // namespace testing
} // namespace damaskward
