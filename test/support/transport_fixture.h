/// \file
/// \brief Event loops, listeners and scripted targets over real sockets, for tests.

#pragma once

#include "src/Proxy/http_listener.h"
#include "src/Proxy/outgoing_pool.h"
#include "src/Proxy/request_router.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <unistd.h>

#include <atomic>
#include <fstream>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace damaskward {
namespace testing {

namespace asio = boost::asio;
using asio::ip::tcp;

/// An event loop on its own thread.
class loop_thread
{
public:
    loop_thread()
        : m_guard(asio::make_work_guard(loop))
        , guard([this](std::string_view, std::string_view) { ++failures; })
        , deadlines(loop, guard)
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
    std::atomic<int> failures{0}; ///< handlers that ended with an exception
    handler_guard guard;
    deadline_queue deadlines;

private:
    std::thread m_thread;
};

inline int freePort()
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

/// Answers each request with its method, target and body. `/slow` is answered after 100 ms,
/// `/wait/N` after N ms,
/// `/never` never, and the handler of `/throw` throws.
class echo_server
{
public:
    explicit echo_server(caller_limits limits = {})
        : address("127.0.0.1:" + std::to_string(freePort()))
    {
        m_loop.call([&] {
            m_listener = std::make_unique<http_listener>(
                m_loop.loop, m_loop.deadlines, m_loop.guard, address, [limits] { return limits; },
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
        if (target == "/throw") {
            throw std::runtime_error("test");
        }
        http_answer answer = plainAnswer(200);
        answer.body() = std::string(exchange->request().method_string()) + " " + target + " "
            + *exchange->body();
        const std::string waitPrefix = "/wait/";
        const int waitMillis = target == "/slow" ? 100
            : target.compare(0, waitPrefix.size(), waitPrefix) == 0
            ? std::atoi(target.c_str() + waitPrefix.size())
            : 0;
        if (waitMillis > 0) {
            m_loop.deadlines.add(
                mono_clock::now() + milliseconds(waitMillis),
                [exchange, answer]() mutable { exchange->answer(std::move(answer)); });
            return;
        }
        exchange->answer(std::move(answer));
    }

    loop_thread m_loop;
    std::unique_ptr<http_listener> m_listener;
};

/// A target that sends scripted answers, each once it has received a request's header. It serves
/// its connections concurrently.
class scripted_target
{
public:
    struct answer
    {
        std::string text;
        std::string endless{}; ///< repeated after the text until the caller closes the connection
        std::string late{}; ///< sent 30 ms after the text
    };
    /// \returns the answer to a request, given the numbers of its connection and of the request,
    /// counted over all connections from 1
    using script = std::function<answer(int connection, int request)>;

    scripted_target(script answers, bool closesAfterAnswer)
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
        , m_script(std::move(answers))
        , m_closesAfterAnswer(closesAfterAnswer)
        , m_thread([this] { run(); })
    { }
    /// \param answers one for each request, counted over all connections; the last one is repeated
    /// \param closesAfterAnswer whether to close the connection after each answer
    scripted_target(std::vector<std::string> answers, bool closesAfterAnswer)
        : scripted_target(
            [answers = std::move(answers)](int, int request) {
                const auto index = static_cast<std::size_t>(request) - 1;
                return answer{answers[std::min(index, answers.size() - 1)], {}};
            },
            closesAfterAnswer)
    { }
    ~scripted_target()
    {
        m_stopping = true;
        boost::system::error_code ignored;
        tcp::socket wake(m_context);
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (const auto &socket : m_sockets) {
                socket->shutdown(tcp::socket::shutdown_both, ignored);
            }
        }
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    std::atomic<int> connections{0};
    std::atomic<int> requests{0};

private:
    void run()
    {
        while (!m_stopping) {
            auto socket = std::make_shared<tcp::socket>(m_context);
            m_acceptor.accept(*socket);
            if (m_stopping) {
                return;
            }
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_sockets.push_back(socket);
            m_threads.emplace_back(
                [this, socket, connection = ++connections] { serve(*socket, connection); });
        }
    }

    void serve(tcp::socket &socket, int connection)
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
            const answer next = m_script(connection, ++requests);
            asio::write(socket, asio::buffer(next.text), error);
            if (!next.late.empty()) {
                std::this_thread::sleep_for(milliseconds(30));
                asio::write(socket, asio::buffer(next.late), error);
            }
            while (!next.endless.empty() && !error && !m_stopping) {
                asio::write(socket, asio::buffer(next.endless), error);
            }
            if (m_closesAfterAnswer) {
                socket.shutdown(tcp::socket::shutdown_both, error);
                socket.close(error);
                return;
            }
        }
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    script m_script;
    bool m_closesAfterAnswer;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex; ///< guards the members below
    std::vector<std::shared_ptr<tcp::socket>> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_thread;
};

inline std::string okAnswer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// A target's statement that it has not run the request \a id, or any request if \a id is empty.
inline std::string refusal(const std::string &id)
{
    return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
        + (id.empty() ? std::string() : "Id: " + id + "\r\n") + "\r\n";
}

/// A listener whose requests are routed to one target, which owns all keys of a sharded service.
/// Requests to `/once/` must not run twice.
class routed_listener
{
public:
    explicit routed_listener(const std::string &targetAddress, std::string targetName = "t",
                             caller_limits limits = {})
        : address("127.0.0.1:" + std::to_string(freePort()))
        , m_targetName(std::move(targetName))
        , m_limits(limits)
    {
        m_loop.call([&] { start(targetAddress); });
    }
    ~routed_listener()
    {
        m_loop.call([this] {
            m_listener.reset();
            m_router.reset();
            m_pool->closeIdleTo(m_targetName);
            m_pool.reset();
        });
    }

    /// Sends a request with the id 7. \returns the answer
    std::string post(const std::string &fields = {}, const std::string &body = "x")
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(tcpEndpoint(address));
        asio::write(socket,
                    asio::buffer("POST /once/ HTTP/1.1\r\nHost: a\r\nId: 7\r\nKey: 5\r\n" + fields
                                 + "Connection: close\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n" + body));
        std::string received;
        boost::system::error_code ended;
        asio::read(socket, asio::dynamic_buffer(received), ended);
        return received;
    }

    std::string address;

private:
    void start(const std::string &targetAddress)
    {
        auto config = std::make_shared<deployment>();
        config->version = 1;
        route r;
        r.name = "once";
        r.host = "a";
        r.prefix = "/once/";
        r.kind = request_kind::NonIdempotent;
        r.timeout = milliseconds(1500);
        r.objective = milliseconds(500);
        r.maxAttempts = 1;
        r.services = {{service_id("ledger"), 1}};
        config->routes.push_back(r);
        config->services[service_id("ledger")].keyed = true;
        config->indexRoutes();

        target_record target;
        target.name = m_targetName;
        target.service = service_id("ledger");
        target.dataCenter = data_center_id("near");
        target.address = targetAddress;
        target.slots = 4;
        m_targets.applyRegistry({target}, mono_clock::now());

        header_names names;
        names.requestId = "Id";
        names.remainingTime = "Left";
        names.apiKey = "Api-Key";
        names.team = "Team";
        names.expectedTarget = "Expected";
        names.targetProof = "Proof";
        names.load = "Load";
        names.notRun = "Not-Run";
        names.remainingWarmup = "Warmup";
        names.shardKey = "Key";
        names.retryAfter = "Retry-After";
        names.decodeLoad = [](std::string_view) { return std::optional<load_report>(); };
        m_pool = std::make_unique<outgoing_pool>(m_loop.loop, m_loop.deadlines, m_loop.guard, "Id");
        m_router = std::make_unique<request_router>(
            m_loop.deadlines, m_loop.guard, *m_pool, m_targets, m_tokens, names, m_log, m_metrics,
            [] {}, m_rollouts);
        m_router->setRetryLimits(1.0, 10.0);
        m_router->setDeployment(config);
        range_owner owner;
        owner.keys = {0, keyCount - 1};
        owner.target = m_targetName;
        range_map owners;
        owners.owners.push_back(owner);
        m_router->setOwners(service_id("ledger"), owners);
        m_listener = std::make_unique<http_listener>(
            m_loop.loop, m_loop.deadlines, m_loop.guard, address, [this] { return m_limits; },
            [this](std::shared_ptr<http_exchange> exchange) {
                m_router->serve(std::move(exchange));
            });
    }

    std::string m_targetName;
    caller_limits m_limits;
    loop_thread m_loop;
    target_pool m_targets{data_center_id("near")};
    rate_limiter m_tokens{"vm-1", [](std::string_view) { return std::optional<fleet_limit>(); },
                          [] { return 1.0; }};
    request_log m_log{"vm-1", -1};
    metrics m_metrics;
    std::unique_ptr<outgoing_pool> m_pool;
    rollout_share m_rollouts{"vm", false, false};
    std::unique_ptr<request_router> m_router;
    std::unique_ptr<http_listener> m_listener;
};

/// \returns the memory of this process that is resident, in MiB.
inline std::size_t residentMegabytes()
{
    std::size_t total = 0;
    std::size_t resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) >> 20U;
}

} // namespace testing
} // namespace damaskward
