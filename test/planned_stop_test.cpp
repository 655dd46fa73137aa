// A planned stop of a VM at its callers' connections: every request that has been received is
// answered, or not begun.

#include "support/transport_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>

namespace damaskward {
namespace testing {
namespace {

std::string get(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

/// A caller's connection that waits for its answers without a limit of its own.
class caller_socket
{
public:
    /// \param receiveBytes size of its receive buffer, 0 for the kernel's choice
    explicit caller_socket(const std::string &address, int receiveBytes = 0)
        : m_socket(m_context, tcp::v4())
    {
        if (receiveBytes != 0) {
            m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBytes));
        }
        m_socket.connect(tcpEndpoint(address));
    }

    void send(const std::string &text) { asio::write(m_socket, asio::buffer(text)); }
    /// \returns all further data until the server closes or resets the connection.
    std::string receiveAll()
    {
        std::string received;
        boost::system::error_code ended;
        asio::read(m_socket, asio::dynamic_buffer(received), ended);
        return received;
    }
    /// Reads until \a text has been received.
    void receiveUntil(const std::string &text)
    {
        std::string received;
        asio::read_until(m_socket, asio::dynamic_buffer(received), text);
    }

private:
    asio::io_context m_context;
    tcp::socket m_socket;
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

class planned_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(planned_stop_test);
    CPPUNIT_TEST(pipelinedRequestsInFlightAreAnswered);
    CPPUNIT_TEST(keptConnectionsWithUnreadRequestsAreServed);
    CPPUNIT_TEST(connectionsNotYetAcceptedAreServed);
    CPPUNIT_TEST(newConnectionGetsTimeForItsRequest);
    CPPUNIT_TEST(lingeringConnectionKeepsItsAnswer);
    CPPUNIT_TEST(connectionWithAnUnreadAnswerIsNotIdle);
    CPPUNIT_TEST(malformedRequestWaitsForTheOneBeforeIt);
    CPPUNIT_TEST(partialRequestBehindOneInFlightIsNotBegun);
    CPPUNIT_TEST(requestsBegunAreAnsweredInAnyStop);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int connectionCount = 20;

    static void waitForServed(const echo_server &server, int count)
    {
        while (server.served < count) {
            std::this_thread::yield();
        }
    }

    // Guards against a request that a target works on and whose connection ends with the answer
    // before it.
    void pipelinedRequestsInFlightAreAnswered()
    {
        echo_server server;
        caller_socket caller(server.address);
        caller.send(get("/wait/50") + get("/wait/200"));
        waitForServed(server, 2);
        server.loop().call([&] { server.listener().drain(); });
        const std::string received = caller.receiveAll();
        const std::size_t second = received.find("GET /wait/200");
        CPPUNIT_ASSERT(contains(received, "GET /wait/50") && second != std::string::npos);
        // Only the last answer closes, so that its caller waits for it.
        CPPUNIT_ASSERT(received.find("Connection: close") > received.find("GET /wait/50"));
    }

    // Guards against the reset of a connection whose whole request waits in the kernel, because the
    // event loop is late.
    void keptConnectionsWithUnreadRequestsAreServed()
    {
        echo_server server;
        std::vector<std::unique_ptr<caller_socket>> callers;
        for (int i = 0; i < connectionCount; ++i) {
            callers.push_back(std::make_unique<caller_socket>(server.address));
            callers.back()->send(get("/first"));
            callers.back()->receiveUntil("GET /first ");
        }
        server.loop().call([&] {
            server.listener().drain();
            for (const auto &caller : callers) {
                caller->send(get("/second"));
            }
            server.listener().stopAccepting();
            server.listener().closeIdle(mono_clock::now());
        });
        for (const auto &caller : callers) {
            CPPUNIT_ASSERT(contains(caller->receiveAll(), "GET /second "));
        }
    }

    // Guards against the reset of connections that the kernel has established and the VM has not
    // yet accepted.
    void connectionsNotYetAcceptedAreServed()
    {
        echo_server server;
        std::vector<std::unique_ptr<caller_socket>> callers;
        server.loop().call([&] {
            server.listener().drain();
            for (int i = 0; i < connectionCount; ++i) {
                callers.push_back(std::make_unique<caller_socket>(server.address));
                callers.back()->send(get("/first"));
            }
            server.listener().stopAccepting();
            server.listener().closeIdle(mono_clock::now() - milliseconds(200));
        });
        for (const auto &caller : callers) {
            CPPUNIT_ASSERT(contains(caller->receiveAll(), "GET /first "));
        }
    }

    // Guards against the reset of a connection whose first request is on its way.
    void newConnectionGetsTimeForItsRequest()
    {
        echo_server server;
        std::unique_ptr<caller_socket> caller;
        server.loop().call([&] {
            server.listener().drain();
            caller = std::make_unique<caller_socket>(server.address);
            server.listener().stopAccepting();
            server.listener().closeIdle(mono_clock::now() - milliseconds(200));
        });
        caller->send(get("/first"));
        CPPUNIT_ASSERT(contains(caller->receiveAll(), "GET /first "));
    }

    // Guards against a reset that makes a caller lose an answer which has been written.
    void lingeringConnectionKeepsItsAnswer()
    {
        echo_server server;
        caller_socket caller(server.address);
        server.loop().call([&] { server.listener().drain(); });
        caller.send(get("/first"));
        waitForServed(server, 1);
        std::this_thread::sleep_for(milliseconds(50)); // The answer has been written.
        server.loop().call([&] {
            caller.send(get("/second"));
            server.listener().closeIdle(mono_clock::now());
        });
        CPPUNIT_ASSERT(contains(caller.receiveAll(), "GET /first "));
        CPPUNIT_ASSERT_EQUAL(1, server.served.load());
    }

    // Guards against the close of a kept connection whose caller has not read its answer yet: input
    // that arrives after it makes the kernel send a reset, and the caller loses the answer.
    void connectionWithAnUnreadAnswerIsNotIdle()
    {
        const std::string body(100000, 'x');
        constexpr int receiveBytes = 4096;
        echo_server server;
        caller_socket caller(server.address, receiveBytes);
        caller.send("POST /first HTTP/1.1\r\nHost: a\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n" + body);
        waitForServed(server, 1);
        std::this_thread::sleep_for(milliseconds(50)); // The answer is in the kernel.
        server.loop().call([&] {
            server.listener().drain();
            server.listener().stopAccepting();
            server.listener().closeIdle(mono_clock::now());
        });
        caller.send(get("/second"));
        std::this_thread::sleep_for(milliseconds(50));
        const std::string received = caller.receiveAll();
        CPPUNIT_ASSERT(contains(received, "POST /first " + body));
        CPPUNIT_ASSERT(contains(received, "GET /second "));
    }

    // Guards against the header timeout of a refused request, which closed the connection while
    // the request before it was in progress.
    void malformedRequestWaitsForTheOneBeforeIt()
    {
        caller_limits limits;
        limits.headerTimeout = milliseconds(50);
        echo_server server(limits);
        caller_socket caller(server.address);
        caller.send(get("/wait/200") + "no request\r\n\r\n");
        const std::string received = caller.receiveAll();
        CPPUNIT_ASSERT(contains(received, "GET /wait/200"));
        CPPUNIT_ASSERT(contains(received, "HTTP/1.1 400"));
    }

    // What has not been received completely is not begun, and its timeout does not cut off the
    // request before it.
    void partialRequestBehindOneInFlightIsNotBegun()
    {
        caller_limits limits;
        limits.headerTimeout = milliseconds(300);
        echo_server server(limits);
        caller_socket caller(server.address);
        caller.send(get("/wait/50") + get("/wait/500") + "GET /third HT");
        waitForServed(server, 2);
        server.loop().call([&] { server.listener().drain(); });
        const std::string received = caller.receiveAll();
        CPPUNIT_ASSERT(contains(received, "GET /wait/500"));
        CPPUNIT_ASSERT_EQUAL(2, server.served.load());
    }

    // Seeded stops under load: callers pipeline requests on kept and new connections until they
    // are closed. Each request that was begun is answered. DAMASKWARD_SEEDS sets the number of
    // seeds.
    void requestsBegunAreAnsweredInAnyStop()
    {
        const char *const text = std::getenv("DAMASKWARD_SEEDS");
        const int seeds = text ? std::atoi(text) : 40;
        int total = 0;
        for (int seed = 1; seed <= seeds; ++seed) {
            total += runStop(static_cast<unsigned>(seed));
        }
        std::cerr << total << " requests answered in " << seeds << " stops\n";
    }

    /// \returns the number of requests that were begun.
    static int runStop(unsigned seed)
    {
        std::mt19937 random(seed);
        const auto draw = [&random](int least, int most) {
            return std::uniform_int_distribution<int>(least, most)(random);
        };
        echo_server server;
        std::atomic<int> answered{0};
        std::vector<std::thread> callers;
        const int callerCount = draw(4, 40);
        for (int i = 0; i < callerCount; ++i) {
            std::vector<int> burst(static_cast<std::size_t>(draw(1, 4)));
            std::generate(burst.begin(), burst.end(), [&] { return draw(1, 60); });
            const milliseconds pause(draw(0, 40));
            callers.emplace_back([&server, &answered, burst, pause] {
                runCaller(server.address, burst, pause, answered);
            });
        }
        std::this_thread::sleep_for(milliseconds(draw(20, 120)));
        server.loop().call([&] { server.listener().drain(); });
        std::this_thread::sleep_for(milliseconds(draw(0, 60)));
        // The event loop is late, as on a VM with little processor time.
        const milliseconds late(draw(0, 100));
        for (bool isOpen = true; isOpen;) {
            server.loop().call([&] {
                std::this_thread::sleep_for(late);
                server.listener().stopAccepting();
                server.listener().closeIdle(mono_clock::now() - milliseconds(20));
                isOpen = server.listener().connectionCount() > 0;
            });
            std::this_thread::sleep_for(milliseconds(10));
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), server.served.load(),
                                     answered.load());
        return answered;
    }

    /// Sends bursts of requests on one connection after the other until no more is accepted.
    /// \param burst the times that the requests of a burst take, in milliseconds
    static void runCaller(const std::string &address, const std::vector<int> &burst,
                          milliseconds pause, std::atomic<int> &answered)
    {
        constexpr std::size_t burstsPerConnection = 3;
        std::string text;
        for (const int millis : burst) {
            text += get("/wait/" + std::to_string(millis));
        }
        while (true) {
            asio::io_context context;
            tcp::socket socket(context);
            boost::system::error_code error;
            socket.connect(tcpEndpoint(address), error);
            if (error) {
                return;
            }
            for (std::size_t i = 0; i < burstsPerConnection; ++i) {
                asio::write(socket, asio::buffer(text), error);
                std::this_thread::sleep_for(pause);
            }
            std::string received;
            error.clear();
            for (std::size_t i = 0; i < burst.size() * burstsPerConnection && !error; ++i) {
                const std::size_t end = asio::read_until(socket, asio::dynamic_buffer(received),
                                                         "HTTP/1.1 200 ", error);
                answered += error ? 0 : 1;
                received.erase(0, end);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(planned_stop_test, "planned_stop");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("planned_stop");

} // namespace
} // namespace testing
} // namespace damaskward
