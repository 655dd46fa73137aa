// The way of a request through the router, from a caller's connection to targets over real sockets.

#include "src/Proxy/request_router.h"
#include "src/Proxy/retry_after.h"

#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace damaskward {
namespace testing {
namespace {

namespace asio = boost::asio;

std::string freeAddress()
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// A load report at which decoding fails with an exception.
constexpr const char *undecodableLoad = "undecodable";

header_names testNames()
{
    header_names names;
    names.requestId = "Id";
    names.remainingTime = "Remaining-Ms";
    names.apiKey = "Api-Key";
    names.team = "Team";
    names.expectedTarget = "Expected";
    names.targetProof = "Proof";
    names.load = "Load";
    names.notRun = "Not-Run";
    names.remainingWarmup = "Warmup";
    names.shardKey = "Key";
    names.draining = "Draining";
    names.retryAfter = "Retry-After";
    names.decodeLoad = [](std::string_view text) {
        if (text == undecodableLoad) {
            throw std::invalid_argument("load");
        }
        load_report load;
        load.slots = 2;
        const std::string numbers(text);
        return std::sscanf(numbers.c_str(), "%d,%d", &load.running, &load.waiting) == 2
            ? std::optional(load)
            : std::nullopt;
    };
    return names;
}

/// A router with a listener for callers, and targets that the tests script. All of them share one
/// event loop, which runs while a caller waits for its answer.
class router_fixture
{
public:
    /// Answers the requests to the target of the given name.
    using target_handler = std::function<void(std::shared_ptr<http_exchange>)>;

    router_fixture()
        : m_guard([this](std::string_view, std::string_view) { ++m_failures; })
        , m_deadlines(m_loop, m_guard)
        , m_pool(m_loop, m_deadlines, m_guard, "Id")
        , m_callers(m_loop, m_deadlines, m_guard, "Id")
        , m_tokens(
              "vm", [](std::string_view) { return std::nullopt; }, [] { return 1.0; })
        , m_log("vm", ::fileno(m_logFile.get()))
        , m_frontAddress(freeAddress())
        , targets(data_center_id("near"))
        , router(
              m_deadlines, m_guard, m_pool, targets, m_tokens, testNames(), m_log, m_metrics, [] {},
              rollouts)
        , m_front(
              m_loop, m_deadlines, m_guard, m_frontAddress, [] { return caller_limits{}; },
              [this](std::shared_ptr<http_exchange> exchange) {
                  router.serve(std::move(exchange));
              })
    {
        auto config = std::make_shared<deployment>();
        for (const char *name : {"plain", "keyed", "background", "once"}) {
            route r;
            r.name = name;
            r.host = name;
            r.prefix = "/";
            r.timeout = seconds(3);
            r.objective = seconds(1);
            r.maxAttempts = 3;
            // A less urgent route, and one whose requests run at most once.
            r.priority = r.name == "background" ? 2 : 0;
            r.kind = r.name == "once" ? request_kind::NonIdempotent : request_kind::Idempotent;
            const bool isKeyed = r.name == "keyed" || r.name == "once";
            r.services = {{service_id(isKeyed ? "keyed" : "plain"), 1}};
            config->routes.push_back(r);
            config->services[r.services[0].service].keyed = isKeyed;
        }
        config->indexRoutes();
        targets.setDeployment(*config, mono_clock::now());
        router.setDeployment(config);
        router.setRetryLimits(1.0, 100.0);
    }

    /// Starts a target and adds it to the registry, for a keyed service as the owner of all
    /// keys.
    void addTarget(const std::string &name, const std::string &service, target_handler serve)
    {
        target_record record;
        record.name = name;
        record.incarnation = 1;
        record.service = service_id(service);
        record.dataCenter = data_center_id("near");
        record.address = freeAddress();
        record.heartbeatCounter = 10;
        record.slots = 2;
        m_targetListeners.push_back(std::make_unique<http_listener>(
            m_loop, m_deadlines, m_guard, record.address, [] { return caller_limits{}; },
            [this, name, serve = std::move(serve)](std::shared_ptr<http_exchange> exchange) {
                arrivals[name].push_back(mono_clock::now());
                serve(std::move(exchange));
            }));
        records.push_back(record);
        targets.applyRegistry(records, mono_clock::now());
        if (service == "keyed") {
            setOwner(name);
        }
    }

    void setOwner(const std::string &target)
    {
        range_map owners;
        owners.owners = {{{0, keyCount - 1}, target, 1, 1, {}, milliseconds(0)}};
        router.setOwners(service_id("keyed"), owners);
    }

    /// Sends a request to \a service. \returns its answer
    /// \param fields further header fields, each with its line end
    http_answer request(const std::string &service, const std::string &method = "GET",
                        const std::string &fields = {})
    {
        std::optional<call_result> answered;
        begin(service, method, fields, answered);
        while (!answered) {
            m_loop.run_one();
        }
        CPPUNIT_ASSERT(answered->failure == call_failure::None);
        CPPUNIT_ASSERT_EQUAL(0, m_failures);
        return std::move(answered->answer);
    }

    /// Sends a request without waiting for its answer.
    /// \param answered set when it is answered; must outlive the request
    void begin(const std::string &service, const std::string &method, const std::string &fields,
               std::optional<call_result> &answered)
    {
        const std::string id = std::to_string(++m_lastId);
        outgoing_call call;
        call.connectionKey = "front";
        call.address = m_frontAddress;
        call.head = method + " / HTTP/1.1\r\nHost: " + service + "\r\nId: " + id
            + "\r\nKey: 7\r\nContent-Length: 0\r\n" + fields + "\r\n";
        call.expectedAnswerId = id;
        call.deadline = mono_clock::now() + seconds(5);
        m_callers.send(std::move(call),
                       [&](call_result &&result) { answered = std::move(result); });
    }

    void runFor(duration span) { m_loop.run_for(span); }
    void post(std::function<void()> action) { asio::post(m_loop, std::move(action)); }

    std::size_t arrivalCount(const std::string &target) { return arrivals[target].size(); }

    /// \returns the metrics as Prometheus reads them.
    std::string metricsText() const { return m_metrics.prometheus(); }
    /// \returns all log lines of the router.
    std::string logText()
    {
        m_log.flush();
        std::rewind(m_logFile.get());
        std::string text;
        std::array<char, 4096> part{};
        for (std::size_t n = 1; n > 0;) {
            n = std::fread(part.data(), 1, part.size(), m_logFile.get());
            text.append(part.data(), n);
        }
        return text;
    }

private:
    struct file_closer
    {
        void operator()(std::FILE *file) const { std::fclose(file); }
    };

    asio::io_context m_loop;
    int m_failures = 0; ///< handlers that ended with an exception
    handler_guard m_guard;
    deadline_queue m_deadlines;
    outgoing_pool m_pool;
    outgoing_pool m_callers;
    rate_limiter m_tokens;
    std::unique_ptr<std::FILE, file_closer> m_logFile{std::tmpfile()};
    request_log m_log;
    metrics m_metrics;
    std::string m_frontAddress;
    std::vector<std::unique_ptr<http_listener>> m_targetListeners;
    int m_lastId = 0;

public:
    target_pool targets;
    rollout_share rollouts{"vm", false, false};
    request_router router;
    std::vector<target_record> records; ///< the registry
    std::map<std::string, std::vector<time_point>> arrivals; ///< of requests, by target

private:
    http_listener m_front;
};

/// \returns an answer to \a exchange that a target has produced.
http_answer targetAnswer(const http_exchange &exchange, unsigned status)
{
    http_answer answer = plainAnswer(status);
    answer.set("Id", exchange.request()["Id"]);
    answer.set("Proof", "p");
    return answer;
}

void answerOk(const std::shared_ptr<http_exchange> &exchange)
{
    exchange->answer(targetAnswer(*exchange, 200));
}

void answerDraining(const std::shared_ptr<http_exchange> &exchange)
{
    http_answer answer = targetAnswer(*exchange, 200);
    answer.set("Draining", "1");
    exchange->answer(std::move(answer));
}

/// \returns a handler that turns the first request away and asks for a pause, then answers
/// all.
router_fixture::target_handler pauseFirst(const std::string &retryAfter)
{
    return [retryAfter, paused = false](const std::shared_ptr<http_exchange> &exchange) mutable {
        if (std::exchange(paused, true)) {
            answerOk(exchange);
            return;
        }
        http_answer answer = targetAnswer(*exchange, 503);
        answer.set("Not-Run", "1");
        answer.set("Retry-After", retryAfter);
        exchange->answer(std::move(answer));
    };
}

/// Grants capacity at the targets in the order given, and records what is returned.
class scripted_capacity : public capacity_source
{
public:
    /// \param grant the names of the targets to grant; without more, requests are refused, and an
    ///        empty name lets a request wait for good
    scripted_capacity(router_fixture &vm, std::vector<std::string> grant)
        : m_vm(vm)
        , m_grants(std::move(grant))
    {
        vm.router.setCapacitySource(*this);
    }

    bool usesRoom(const service_id &, bool) const override { return true; }
    std::uint64_t acquire(const capacity_query &query, callback done) override
    {
        const std::size_t index = queries.size();
        queries.push_back(query);
        const std::uint64_t number = queries.size();
        if (index < m_grants.size() && m_grants[index].empty()) {
            if (onWait) {
                m_vm.post(onWait);
            }
            return number;
        }
        m_vm.post([this, index, number, done = std::move(done)] {
            if (index < m_grants.size()) {
                done({number, m_grants[index], {}});
            } else {
                done({0, {}, milliseconds(400)});
            }
        });
        return number;
    }
    void release(const capacity_return &result) override { returns.push_back(result); }

    std::vector<capacity_query> queries;
    std::vector<capacity_return> returns;
    std::function<void()> onWait; ///< called after a request has begun to wait

private:
    router_fixture &m_vm;
    std::vector<std::string> m_grants;
};

double retryAfterOf(const http_answer &answer)
{
    return std::strtod(std::string(fieldOf(answer, "Retry-After")).c_str(), nullptr);
}

class router_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(router_test);
    CPPUNIT_TEST(answerOfDrainingTargetEndsNewWork);
    CPPUNIT_TEST(drainingOwnerServesItsKeysForTheGracePeriod);
    CPPUNIT_TEST(answerOfPreviousIncarnationDrainsNothing);
    CPPUNIT_TEST(targetThatAsksForAPauseGetsNothing);
    CPPUNIT_TEST(pauseEndsWithItsDeadline);
    CPPUNIT_TEST(refusalNamesTheShortestPause);
    CPPUNIT_TEST(pausedOwnerGetsNothing);
    CPPUNIT_TEST(requestWaitsForAShortPauseOfItsOwner);
    CPPUNIT_TEST(pausedOwnerGetsNothingWhileItDrains);
    CPPUNIT_TEST(malformedPausesAreIgnored);
    CPPUNIT_TEST(requestThatOutlivesTheGracePeriodIsRefused);
    CPPUNIT_TEST(requestThatWaitsForItsConnectionHasNotRun);
    CPPUNIT_TEST(urgentRequestsGetTheLastPlaces);
    CPPUNIT_TEST(infeasibleRequestsAreNotSent);
    CPPUNIT_TEST(droppedRequestIsRepeatedOnlyIfAllowed);
    CPPUNIT_TEST(longRequestIsNotBrokenOff);
    CPPUNIT_TEST(longRequestIsAnsweredAfterItsOwnerIsLost);
    CPPUNIT_TEST(lateAnswerIsTheTargets);
    CPPUNIT_TEST(onlyOwnerThatDroppedARequestGetsItAgain);
    CPPUNIT_TEST(failureOfOneSendLeavesTheOther);
    CPPUNIT_TEST(failedStepLeavesOpenSends);
    CPPUNIT_TEST(secondSendsAreCounted);
    CPPUNIT_TEST(logTellsOfOpenSends);
    CPPUNIT_TEST(requestGoesWhereCapacityIsGranted);
    CPPUNIT_TEST(rejectedRequestReturnsItsCapacity);
    CPPUNIT_TEST(requestWithoutCapacityIsRefused);
    CPPUNIT_TEST(unsentRequestReturnsItsCapacity);
    CPPUNIT_TEST(unansweredRequestReturnsItsCapacityAsSilent);
    CPPUNIT_TEST(waitingRequestIsWithdrawnAtItsDeadline);
    CPPUNIT_TEST(keyedRequestAsksForItsOwner);
    CPPUNIT_TEST(teamPriorityComesBeforeThatOfTheRoute);
    CPPUNIT_TEST_SUITE_END();

    // Guards against requests to a target that has announced its shutdown in an answer,
    // while the registry still lists it as ready.
    void answerOfDrainingTargetEndsNewWork()
    {
        router_fixture vm;
        vm.addTarget("a", "plain", answerDraining);
        CPPUNIT_ASSERT_EQUAL(200U, vm.request("plain").result_int());
        vm.addTarget("b", "plain", answerOk);
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT_EQUAL(200U, vm.request("plain").result_int());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vm.arrivalCount("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, vm.arrivalCount("b"));
    }

    // Guards against requests to an owner long after it has announced its shutdown in an
    // answer, and against refusals of requests for its keys right after the announcement.
    void drainingOwnerServesItsKeysForTheGracePeriod()
    {
        router_fixture vm;
        vm.addTarget("a", "keyed", answerDraining);
        CPPUNIT_ASSERT_EQUAL(200U, vm.request("keyed").result_int());
        CPPUNIT_ASSERT_EQUAL(200U, vm.request("keyed").result_int());
        vm.runFor(milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(503U, vm.request("keyed").result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, vm.arrivalCount("a"));
    }

    // Guards against draining a restarted target because of an answer of its previous
    // process.
    void answerOfPreviousIncarnationDrainsNothing()
    {
        router_fixture vm;
        vm.addTarget("a", "plain", [&vm](const std::shared_ptr<http_exchange> &exchange) {
            if (vm.arrivalCount("a") > 1) {
                answerOk(exchange);
                return;
            }
            vm.records[0].incarnation = 2;
            vm.targets.applyRegistry(vm.records, mono_clock::now());
            answerDraining(exchange);
        });
        CPPUNIT_ASSERT_EQUAL(200U, vm.request("plain").result_int());
        CPPUNIT_ASSERT_EQUAL(200U, vm.request("plain").result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, vm.arrivalCount("a"));
    }

    // Guards against requests to a target that has asked for none with Retry-After.
    void targetThatAsksForAPauseGetsNothing()
    {
        router_fixture vm;
        vm.addTarget("a", "plain", pauseFirst("60"));
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT_EQUAL(503U, vm.request("plain").result_int());
        }
        vm.addTarget("b", "plain", answerOk);
        CPPUNIT_ASSERT_EQUAL(200U, vm.request("plain").result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vm.arrivalCount("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vm.arrivalCount("b"));
    }

    // Guards against requests before the end of a pause, and against a target that gets
    // none after it.
    void pauseEndsWithItsDeadline()
    {
        router_fixture vm;
        vm.addTarget("a", "plain", pauseFirst("0.4"));
        CPPUNIT_ASSERT_EQUAL(503U, vm.request("plain").result_int());
        const time_point end = vm.targets.find("a")->pausedUntil;
        CPPUNIT_ASSERT(end >= vm.arrivals["a"][0] + milliseconds(400));
        while (mono_clock::now() < end) {
            const unsigned status = vm.request("plain").result_int();
            CPPUNIT_ASSERT(status == 503U || mono_clock::now() >= end);
            vm.runFor(milliseconds(20));
        }
        CPPUNIT_ASSERT_EQUAL(200U, vm.request("plain").result_int());
        CPPUNIT_ASSERT(vm.arrivals["a"][1] >= end);
    }

    // Guards against callers that return while all targets are still paused.
    void refusalNamesTheShortestPause()
    {
        router_fixture vm;
        vm.addTarget("a", "plain", pauseFirst("60"));
        vm.addTarget("b", "plain", pauseFirst("20"));
        for (int i = 0; i < 2; ++i) {
            const http_answer answer = vm.request("plain");
            CPPUNIT_ASSERT_EQUAL(503U, answer.result_int());
            CPPUNIT_ASSERT(retryAfterOf(answer) > 19.0 && retryAfterOf(answer) < 31.0);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vm.arrivalCount("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vm.arrivalCount("b"));
    }

    // Guards against requests to an owner that has asked for none, and against callers that
    // wait for a pause that outlasts their time.
    void pausedOwnerGetsNothing()
    {
        router_fixture vm;
        vm.addTarget("a", "keyed", pauseFirst("60"));
        const time_point before = mono_clock::now();
        for (int i = 0; i < 2; ++i) {
            const http_answer answer = vm.request("keyed");
            CPPUNIT_ASSERT_EQUAL(503U, answer.result_int());
            CPPUNIT_ASSERT(retryAfterOf(answer) > 59.0);
        }
        CPPUNIT_ASSERT(mono_clock::now() < before + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vm.arrivalCount("a"));
        // The keys move.
        vm.addTarget("b", "keyed", answerOk);
        CPPUNIT_ASSERT_EQUAL(200U, vm.request("keyed").result_int());
    }

    // Guards against retries at an owner before the end of a short pause, and against
    // refusals of requests that can be served after it.
    void requestWaitsForAShortPauseOfItsOwner()
    {
        router_fixture vm;
        vm.addTarget("a", "keyed", pauseFirst("0.2"));
        CPPUNIT_ASSERT_EQUAL(200U, vm.request("keyed").result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, vm.arrivalCount("a"));
        CPPUNIT_ASSERT(vm.arrivals["a"][1] >= vm.arrivals["a"][0] + milliseconds(200));
    }

    // Guards against requests to a draining owner during its grace period, although it has
    // asked for none.
    void pausedOwnerGetsNothingWhileItDrains()
    {
        router_fixture vm;
        vm.addTarget("a", "keyed", pauseFirst("60"));
        vm.targets.recordDrain(*vm.targets.find("a"), mono_clock::now());
        for (int i = 0; i < 2; ++i) {
            CPPUNIT_ASSERT_EQUAL(503U, vm.request("keyed").result_int());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vm.arrivalCount("a"));
    }

    // Guards against a target that gets no requests because of a malformed Retry-After.
    // Guards against requests that come late in a planned stop, and are cut off at its end
    // while their target works on them. Those that end in time are still served.
    void requestThatOutlivesTheGracePeriodIsRefused()
    {
        router_fixture f;
        f.addTarget("t", "plain", answerOk);
        f.router.setAnswersUntil(mono_clock::now() + milliseconds(1500));
        for (const char *method : {"GET", "POST"}) {
            // The route's timeout is 3 s.
            CPPUNIT_ASSERT_EQUAL(503U, f.request("plain", method).result_int());
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.arrivalCount("t"));
        }
        CPPUNIT_ASSERT_EQUAL(200U,
                             f.request("plain", "GET", "Remaining-Ms: 1000\r\n").result_int());
    }

    // Guards against a 504, which promises nothing, for a request of which no byte was
    // sent.
    void requestThatWaitsForItsConnectionHasNotRun()
    {
        router_fixture f;
        asio::io_context context;
        asio::ip::tcp::acceptor full(context);
        full.open(asio::ip::tcp::v4());
        full.bind({asio::ip::make_address("127.0.0.1"), 0});
        full.listen(0);
        // Connections beyond the backlog wait until their initiator gives up.
        std::vector<std::unique_ptr<asio::ip::tcp::socket>> waiting;
        for (int i = 0; i < 4; ++i) {
            waiting.push_back(std::make_unique<asio::ip::tcp::socket>(context));
            waiting.back()->async_connect(full.local_endpoint(), [](boost::system::error_code) {});
        }
        f.addTarget("t", "plain", answerOk);
        f.records.back().address = "127.0.0.1:" + std::to_string(full.local_endpoint().port());
        f.targets.applyRegistry(f.records, mono_clock::now());
        CPPUNIT_ASSERT_EQUAL(503U,
                             f.request("plain", "POST", "Remaining-Ms: 200\r\n").result_int());
    }

    // Guards against less urgent requests that are sent to full targets while urgent ones
    // arrive, and against a refusal after the queues have become shorter.
    void urgentRequestsGetTheLastPlaces()
    {
        router_fixture f;
        f.addTarget("t", "plain", answerOk);
        const load_report full{2, 8, 2, 1.0};
        target_pool::recordLoadReport(*f.targets.find("t"), full, mono_clock::now());
        CPPUNIT_ASSERT_EQUAL(200U, f.request("background").result_int());
        CPPUNIT_ASSERT_EQUAL(200U, f.request("plain").result_int());
        target_pool::recordLoadReport(*f.targets.find("t"), full, mono_clock::now());
        CPPUNIT_ASSERT_EQUAL(503U, f.request("background").result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.arrivalCount("t"));
        target_pool::recordLoadReport(*f.targets.find("t"), {2, 1, 2, 1.0}, mono_clock::now());
        CPPUNIT_ASSERT_EQUAL(200U, f.request("background").result_int());
    }

    // Guards against requests that are sent although the queues before them outlast their
    // time, and against refusals of those that can be answered.
    void infeasibleRequestsAreNotSent()
    {
        for (const char *service : {"plain", "keyed"}) {
            router_fixture f;
            f.addTarget("t", service, answerOk);
            target_pool::recordLoadReport(*f.targets.find("t"), {2, 40, 2, 1.0}, mono_clock::now());
            const char *limited = "Remaining-Ms: 900\r\n";
            const http_answer refusal = f.request(service, "GET", limited);
            CPPUNIT_ASSERT_EQUAL(503U, refusal.result_int());
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.arrivalCount("t"));
            CPPUNIT_ASSERT(retryAfterOf(refusal) > 0.0 && retryAfterOf(refusal) <= 0.3);
            target_pool::recordLoadReport(*f.targets.find("t"), {2, 4, 2, 1.0}, mono_clock::now());
            CPPUNIT_ASSERT_EQUAL(200U, f.request(service, "GET", limited).result_int());
        }
    }

    // A full target never answers a request that it cannot queue. Guards against callers that wait
    // for it until their deadline, and against a second run of a request that must run once.
    void droppedRequestIsRepeatedOnlyIfAllowed()
    {
        for (const char *route : {"keyed", "once"}) {
            const bool mayRepeat = route == std::string("keyed");
            router_fixture f;
            bool drops = false;
            std::shared_ptr<http_exchange> dropped;
            f.addTarget("t", "keyed", [&](const std::shared_ptr<http_exchange> &exchange) {
                if (std::exchange(drops, false)) {
                    dropped = exchange;
                } else {
                    answerOk(exchange);
                }
            });
            constexpr int measured = 250; // Enough to know the usual service time.
            for (int i = 0; i < measured; ++i) {
                CPPUNIT_ASSERT_EQUAL(200U, f.request("keyed").result_int());
            }
            drops = true;
            std::optional<call_result> answered;
            f.begin(route, "POST", "Remaining-Ms: 1500\r\n", answered);
            while (!dropped) {
                f.runFor(milliseconds(5));
            }
            for (int i = 0; i < 3; ++i) {
                CPPUNIT_ASSERT_EQUAL(200U, f.request("keyed").result_int());
            }
            while (!answered) {
                f.runFor(milliseconds(5));
            }
            CPPUNIT_ASSERT_EQUAL(mayRepeat ? 200U : 504U, answered->answer.result_int());
            CPPUNIT_ASSERT_EQUAL(std::size_t{measured + 4U + (mayRepeat ? 1U : 0U)},
                                 f.arrivalCount("t"));
        }
    }

    /// An owner of all keys that answers at once, but leaves requests with the field `Work` to the
    /// test.
    struct long_requests
    {
        std::vector<std::shared_ptr<http_exchange>> exchanges; ///< of requests with the field
        int brokenOff = 0;
        std::string load; ///< running and waiting requests that the owner reports, or empty

        explicit long_requests(router_fixture &f)
        {
            f.addTarget("t", "keyed", [this](const std::shared_ptr<http_exchange> &exchange) {
                if (exchange->request().count("Work") == 0) {
                    http_answer answer = targetAnswer(*exchange, 200);
                    answer.set("Load", load);
                    exchange->answer(std::move(answer));
                    return;
                }
                exchanges.push_back(exchange);
                exchange->onDisconnect([this] { ++brokenOff; });
            });
            constexpr int measured = 250; // Enough to know the usual service time.
            for (int i = 0; i < measured; ++i) {
                CPPUNIT_ASSERT_EQUAL(200U, f.request("keyed").result_int());
            }
        }
        /// Begins a long request, and has later ones overtake it.
        void begin(router_fixture &f, std::optional<call_result> &answered)
        {
            f.begin("keyed", "GET", "Remaining-Ms: 2500\r\nWork: long\r\n", answered);
            while (exchanges.empty()) {
                f.runFor(milliseconds(5));
            }
            for (int i = 0; i < 3; ++i) {
                CPPUNIT_ASSERT_EQUAL(200U, f.request("keyed").result_int());
            }
        }
    };

    // A long request on a target with several slots is overtaken by later ones. Guards against a
    // run that is broken off because its request seems to have been dropped.
    void longRequestIsNotBrokenOff()
    {
        router_fixture f;
        long_requests requests(f);
        std::optional<call_result> answered;
        requests.begin(f, answered);
        while (requests.exchanges.size() < 2 && !answered) {
            f.runFor(milliseconds(5));
        }
        CPPUNIT_ASSERT(!answered);
        CPPUNIT_ASSERT_EQUAL(0, requests.brokenOff);
        answerOk(requests.exchanges[0]);
        while (!answered) {
            f.runFor(milliseconds(5));
        }
        CPPUNIT_ASSERT_EQUAL(200U, answered->answer.result_int());
        while (requests.brokenOff == 0) {
            f.runFor(milliseconds(5)); // The other run is of no use now.
        }
    }

    // Guards against an answer of the VM's own while the first target is at work, because nothing
    // can be sent a second time.
    void longRequestIsAnsweredAfterItsOwnerIsLost()
    {
        router_fixture f;
        long_requests requests(f);
        std::optional<call_result> answered;
        requests.begin(f, answered);
        f.setOwner("gone");
        f.runFor(milliseconds(1600)); // Longer than a request waits for an owner.
        CPPUNIT_ASSERT(!answered);
        CPPUNIT_ASSERT_EQUAL(0, requests.brokenOff);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), requests.exchanges.size());
        answerOk(requests.exchanges[0]);
        while (!answered) {
            f.runFor(milliseconds(5));
        }
        CPPUNIT_ASSERT_EQUAL(200U, answered->answer.result_int());
    }

    // Guards against an answer to the first of two sends that no target has produced, or that was
    // changed on the way, and against a failure that ends the request while the other send is open.
    void lateAnswerIsTheTargets()
    {
        for (const char *field : {"Content-Encoding", "Not-Run", ""}) {
            router_fixture f;
            long_requests requests(f);
            std::optional<call_result> answered;
            requests.begin(f, answered);
            while (requests.exchanges.size() < 2) {
                f.runFor(milliseconds(5));
            }
            const bool isFailure = *field == '\0';
            http_answer answer = targetAnswer(*requests.exchanges[0], isFailure ? 500 : 200);
            if (!isFailure) {
                answer.set(field, "1");
            }
            requests.exchanges[0]->answer(std::move(answer));
            f.runFor(milliseconds(100));
            CPPUNIT_ASSERT(!answered);
            answerOk(requests.exchanges[1]);
            while (!answered) {
                f.runFor(milliseconds(5));
            }
            CPPUNIT_ASSERT_EQUAL(200U, answered->answer.result_int());
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), answered->answer.count("Content-Encoding"));
        }
    }

    // Guards against second runs of long requests that take the slots of the only target for their
    // keys. An owner that is idle without having answered has dropped the request.
    void onlyOwnerThatDroppedARequestGetsItAgain()
    {
        for (const char *load : {"0,0", "1,0", "2,0", "2,5"}) {
            const bool isIdle = load == std::string("0,0");
            router_fixture f;
            long_requests requests(f);
            requests.load = load;
            std::optional<call_result> answered;
            requests.begin(f, answered);
            f.runFor(milliseconds(1500)); // Several checks of the silence.
            CPPUNIT_ASSERT(!answered);
            CPPUNIT_ASSERT_EQUAL(std::size_t(isIdle ? 2 : 1), requests.exchanges.size());
            answerOk(requests.exchanges[0]);
            while (!answered) {
                f.runFor(milliseconds(5));
            }
            CPPUNIT_ASSERT_EQUAL(200U, answered->answer.result_int());
        }
    }

    // Guards against an error of one target that ends a request at which another one is at work,
    // and against a status that tells the caller meanwhile that its request does not run.
    void failureOfOneSendLeavesTheOther()
    {
        for (const unsigned status : {404U, 409U, 429U, 503U}) {
            for (const std::size_t failing : {0U, 1U}) {
                router_fixture f;
                long_requests requests(f);
                std::optional<call_result> answered;
                requests.begin(f, answered);
                while (requests.exchanges.size() < 2) {
                    f.runFor(milliseconds(5));
                }
                http_exchange &failed = *requests.exchanges[failing];
                failed.answer(targetAnswer(failed, status));
                f.runFor(milliseconds(100));
                CPPUNIT_ASSERT(!answered);
                CPPUNIT_ASSERT_EQUAL(0, requests.brokenOff);
                answerOk(requests.exchanges[1 - failing]);
                while (!answered) {
                    f.runFor(milliseconds(5));
                }
                CPPUNIT_ASSERT_EQUAL(200U, answered->answer.result_int());
            }
        }
    }

    // Guards against an exception in the handling of one answer that breaks off another send of the
    // request.
    void failedStepLeavesOpenSends()
    {
        for (const std::size_t failing : {0U, 1U}) {
            router_fixture f;
            long_requests requests(f);
            std::optional<call_result> answered;
            requests.begin(f, answered);
            while (requests.exchanges.size() < 2) {
                f.runFor(milliseconds(5));
            }
            http_answer answer = targetAnswer(*requests.exchanges[failing], 200);
            answer.set("Load", undecodableLoad);
            requests.exchanges[failing]->answer(std::move(answer));
            f.runFor(milliseconds(100));
            CPPUNIT_ASSERT(!answered);
            CPPUNIT_ASSERT_EQUAL(0, requests.brokenOff);
            answerOk(requests.exchanges[1 - failing]);
            while (!answered) {
                f.runFor(milliseconds(5));
            }
            CPPUNIT_ASSERT_EQUAL(200U, answered->answer.result_int());
        }
    }

    // Guards against verdicts on silent targets that cannot be checked against what came of them,
    // and against counters that Prometheus cannot read.
    void secondSendsAreCounted()
    {
        for (const bool isFirstAnswered : {false, true}) {
            router_fixture f;
            long_requests requests(f);
            std::optional<call_result> answered;
            requests.begin(f, answered);
            while (requests.exchanges.size() < 2) {
                f.runFor(milliseconds(5));
            }
            answerOk(requests.exchanges[isFirstAnswered ? 0 : 1]);
            while (!answered) {
                f.runFor(milliseconds(5));
            }
            const std::string text = f.metricsText();
            const auto isCounted = [&text](const char *outcome) {
                std::string line = "\ndamask_second_sends_";
                line.append(outcome).append("_total 1\n");
                return text.find(line) != std::string::npos;
            };
            CPPUNIT_ASSERT_EQUAL(isFirstAnswered, isCounted("lost"));
            CPPUNIT_ASSERT_EQUAL(!isFirstAnswered, isCounted("won"));
            std::istringstream lines(text);
            for (std::string line; std::getline(lines, line);) {
                const bool isSample = line[0] != '#' && line.find('{') == std::string::npos;
                const auto blanks = std::count(line.begin(), line.end(), ' ');
                CPPUNIT_ASSERT_MESSAGE(line, !isSample || blanks == 1);
            }
        }
    }

    // Guards against a line that does not tell whether the target was still at work, and under
    // which load.
    void logTellsOfOpenSends()
    {
        router_fixture f;
        std::shared_ptr<http_exchange> held;
        f.addTarget("t", "plain",
                    [&](std::shared_ptr<http_exchange> exchange) { held = std::move(exchange); });
        target_pool::recordLoadReport(*f.targets.find("t"), {2, 1, 2, 1.0}, mono_clock::now());
        CPPUNIT_ASSERT_EQUAL(504U, f.request("plain", "GET", "Remaining-Ms: 300\r\n").result_int());
        const std::string text = f.logText();
        const std::string line = text.substr(text.find(R"("event":"request")"));
        for (const char *part : {R"("reason":"deadline")", R"("open":1)", R"("left":)",
                                 R"("running":2,"queued":1,"slots":2)"}) {
            CPPUNIT_ASSERT_MESSAGE(line, line.find(part) != std::string::npos);
        }
    }

    void malformedPausesAreIgnored()
    {
        for (const char *text : {"", "-1", "soon", "1s", "1.2.3", ".", "inf", "nan", "1e3", "0x10",
                                 "1, 2", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseRetryAfter(text));
        }
        CPPUNIT_ASSERT(parseRetryAfter("2") == milliseconds(2000));
        CPPUNIT_ASSERT(parseRetryAfter("0.25") == milliseconds(250));
        CPPUNIT_ASSERT(parseRetryAfter("0.0001") == milliseconds(1));
        CPPUNIT_ASSERT(parseRetryAfter("99999999999") == milliseconds(3600000));
        router_fixture vm;
        vm.addTarget("a", "plain", pauseFirst("-60"));
        CPPUNIT_ASSERT_EQUAL(503U, vm.request("plain").result_int());
        CPPUNIT_ASSERT_EQUAL(200U, vm.request("plain").result_int());
    }

    static std::size_t countOf(const scripted_capacity &capacity, capacity_outcome outcome)
    {
        return static_cast<std::size_t>(
            std::count_if(capacity.returns.begin(), capacity.returns.end(),
                          [&](const capacity_return &r) { return r.outcome == outcome; }));
    }

    // The router sent a request to the target of its own estimate instead.
    void requestGoesWhereCapacityIsGranted()
    {
        for (const std::string name : {"a", "b"}) {
            router_fixture vm;
            vm.addTarget("a", "plain", answerOk);
            vm.addTarget("b", "plain", answerOk);
            scripted_capacity capacity(vm, {name});
            CPPUNIT_ASSERT_EQUAL(200U, vm.request("plain").result_int());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), vm.arrivalCount(name));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), capacity.returns.size());
            CPPUNIT_ASSERT(capacity.returns[0].outcome == capacity_outcome::Answered);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), capacity.returns[0].number);
        }
    }

    // Capacity at a full target must be returned as rejected, and the next target be another one.
    void rejectedRequestReturnsItsCapacity()
    {
        router_fixture vm;
        vm.addTarget("a", "plain", pauseFirst("0.01"));
        vm.addTarget("b", "plain", answerOk);
        scripted_capacity capacity(vm, {"a", "b"});
        CPPUNIT_ASSERT_EQUAL(200U, vm.request("plain").result_int());
        CPPUNIT_ASSERT(capacity.returns.at(0).outcome == capacity_outcome::Rejected);
        CPPUNIT_ASSERT(capacity.returns.at(1).outcome == capacity_outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), capacity.queries.at(1).tried.count("a"));
    }

    void requestWithoutCapacityIsRefused()
    {
        router_fixture vm;
        vm.addTarget("a", "plain", answerOk);
        scripted_capacity capacity(vm, {});
        const http_answer answer = vm.request("plain");
        CPPUNIT_ASSERT_EQUAL(503U, answer.result_int());
        CPPUNIT_ASSERT(retryAfterOf(answer) >= 0.4 && retryAfterOf(answer) <= 0.6);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), vm.arrivalCount("a"));
        CPPUNIT_ASSERT(capacity.returns.empty());
    }

    // A target that the registry no longer names when the grant arrives.
    void unsentRequestReturnsItsCapacity()
    {
        router_fixture vm;
        vm.addTarget("a", "plain", answerOk);
        scripted_capacity capacity(vm, {"gone", "a"});
        CPPUNIT_ASSERT_EQUAL(200U, vm.request("plain").result_int());
        CPPUNIT_ASSERT(capacity.returns.at(0).outcome == capacity_outcome::Unused);
        CPPUNIT_ASSERT(capacity.returns.at(1).outcome == capacity_outcome::Answered);
    }

    // A full target of some deployments never answers: the request may still be in its queue.
    void unansweredRequestReturnsItsCapacityAsSilent()
    {
        router_fixture vm;
        std::shared_ptr<http_exchange> held;
        vm.addTarget("a", "plain",
                     [&](std::shared_ptr<http_exchange> exchange) { held = std::move(exchange); });
        scripted_capacity capacity(vm, {"a"});
        CPPUNIT_ASSERT_EQUAL(504U,
                             vm.request("plain", "GET", "Remaining-Ms: 300\r\n").result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), capacity.returns.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countOf(capacity, capacity_outcome::Silent));
    }

    // A request that had timed out while it waited for capacity got it later, for nothing.
    void waitingRequestIsWithdrawnAtItsDeadline()
    {
        router_fixture vm;
        vm.addTarget("a", "plain", answerOk);
        scripted_capacity capacity(vm, {""});
        CPPUNIT_ASSERT_EQUAL(503U,
                             vm.request("plain", "GET", "Remaining-Ms: 300\r\n").result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countOf(capacity, capacity_outcome::Unused));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), vm.arrivalCount("a"));
    }

    // Guards against requests of an important team that yield to those of an urgent route.
    void teamPriorityComesBeforeThatOfTheRoute()
    {
        route urgent;
        route ordinary;
        ordinary.priority = 2;
        deployment config;
        const team_id important("important");
        const team_id other("other");
        const team_id unranked("unranked");
        config.teams[important].priority = 0;
        config.teams[other].priority = 1;
        config.teams[unranked].priority = std::nullopt;
        for (const team_id &team : {team_id(), unranked}) {
            CPPUNIT_ASSERT(config.priorityOf(urgent, team) < config.priorityOf(ordinary, team));
        }
        CPPUNIT_ASSERT(config.priorityOf(ordinary, important) < config.priorityOf(urgent, other));
    }

    // Only its owner can serve a key. A request that waits for the capacity of a previous owner
    // must ask for that of the next one.
    void keyedRequestAsksForItsOwner()
    {
        router_fixture vm;
        vm.addTarget("a", "keyed", answerOk);
        vm.addTarget("b", "keyed", answerOk);
        vm.setOwner("a");
        scripted_capacity capacity(vm, {"", "b"});
        capacity.onWait = [&] { vm.setOwner("b"); };
        CPPUNIT_ASSERT_EQUAL(200U, vm.request("keyed").result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), capacity.queries.at(0).target);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), capacity.queries.at(1).target);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), capacity.returns.at(0).number);
        CPPUNIT_ASSERT(capacity.returns.at(0).outcome == capacity_outcome::Unused);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(router_test, "router");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("router");

} // namespace
} // namespace testing
} // namespace damaskward
