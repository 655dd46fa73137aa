// A non-idempotent request runs at most once, and a request answered `not-run` has not run, also
// when a VM, a target or the platform fails between two steps of the request.

#include "test/support/process_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>

namespace {

using namespace damaskward;
using namespace damaskward::testing;

const char *const apiKey = "examiner-key";

fleet_options promotionFleet(int portBase, const std::string &behaviour)
{
    fleet_options options;
    options.portBase = portBase;
    options.vms = {{"a1", "a"}, {"a2", "a"}, {"a3", "a"}};
    options.targets = {{"promotion/p1", "a", behaviour, "slots=2 connections=130"},
                       {"promotion/p2", "a", behaviour, "slots=2 connections=130"}};
    options.rules = "data-center a share=100 # test\n"
                    "service promotion unkeyed non-idempotent # test\n"
                    "allow * promotion # test\n"
        + teamRules("examiners", apiKey, 10000, 5000);
    return options;
}

/// A fleet with one target, which works for \a serviceTime on each request. The leases outlast
/// that.
fleet_options longRequestFleet(int portBase, bool isIdempotent, milliseconds serviceTime)
{
    fleet_options options;
    options.portBase = portBase;
    options.vms = {{"a1", "a"}, {"a2", "a"}, {"a3", "a"}};
    const std::string behaviour =
        "{\"service_us\":" + std::to_string(microseconds(serviceTime).count()) + "}";
    options.targets = {{"promotion/p1", "a", behaviour, "slots=2 connections=130"}};
    options.timing = R"({"session_ms":5000,"grant_ms":4000,"promise_ms":5000})";
    options.rules = std::string("data-center a share=100 # test\n") + "service promotion unkeyed "
        + (isIdempotent ? "idempotent" : "non-idempotent") + " # test\nallow * promotion # test\n"
        + teamRules("examiners", apiKey, 10000, 5000);
    return options;
}

std::uint64_t runsOf(const process_fleet &fleet, const std::string &idempotencyKey)
{
    std::uint64_t runs = 0;
    for (const char *name : {"promotion/p1", "promotion/p2"}) {
        runs += jsonUnsigned(fleet.records(name)["per_key"], idempotencyKey.c_str());
    }
    return runs;
}

class process_once_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(process_once_test);
    CPPUNIT_TEST(resendReturnsRecordedAnswer);
    CPPUNIT_TEST(lostCommitAnswersRunAtMostOnce);
    CPPUNIT_TEST(requestOutlivesTheMoveOfItsGate);
    CPPUNIT_TEST(longRequestOutlivesTheStopOfItsGate);
    CPPUNIT_TEST(gateKilledBeforeAnswer);
    CPPUNIT_TEST(gateKilledBetweenIntentAndDispatch);
    CPPUNIT_TEST(targetCrashedAfterRunning);
    CPPUNIT_TEST(platformOutageIsNotRun);
    CPPUNIT_TEST(deadlinePassesDuringRun);
    CPPUNIT_TEST(crashingRequestIsQuarantinedAfterTwoTargets);
    CPPUNIT_TEST(otherRequestsAreServedAfterACrash);
    CPPUNIT_TEST_SUITE_END();

    void resendReturnsRecordedAnswer()
    {
        process_fleet fleet(promotionFleet(23000, "{}"));
        CPPUNIT_ASSERT(fleet.start());
        const http_answer first = fleet.post(0, "/promotion/s1", apiKey, "once-1");
        CPPUNIT_ASSERT_EQUAL(200, first.status);
        for (std::size_t vm = 0; vm < 3; ++vm) {
            const http_answer resent = fleet.post(vm, "/promotion/s1", apiKey, "once-1");
            CPPUNIT_ASSERT_EQUAL(200, resent.status);
            CPPUNIT_ASSERT_EQUAL(std::string("run"), resent.state());
            CPPUNIT_ASSERT_EQUAL(first.body, resent.body);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, runsOf(fleet, "once-1"));
        const http_answer other = fleet.post(1, "/promotion/s2", apiKey, "once-1");
        CPPUNIT_ASSERT_EQUAL(422, other.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), other.state());
    }

    void lostCommitAnswersRunAtMostOnce()
    {
        process_fleet fleet(promotionFleet(23200, "{}"));
        CPPUNIT_ASSERT(fleet.start());
        fleet.setBehaviour("platform", R"({"lose_answers":0.5})");
        for (int i = 0; i < 60; ++i) {
            const std::string key = "lost-" + std::to_string(i);
            http_answer answer;
            for (std::size_t vm = 0; vm < 3 && answer.state() != "run"; ++vm) {
                answer = fleet.post(vm, "/promotion/s", apiKey, key);
                const std::uint64_t runs = runsOf(fleet, key);
                CPPUNIT_ASSERT(runs <= 1);
                CPPUNIT_ASSERT_MESSAGE(key, answer.state() != "not-run" || runs == 0);
            }
        }
    }

    /// Stops the VM with the gate of a target while the target works on a request of another VM.
    /// Asserts that the request is answered, and run once.
    static void stopGateDuringRun(const fleet_options &options)
    {
        process_fleet fleet(options);
        CPPUNIT_ASSERT(fleet.start());
        const std::string gate = fleet.gateOf(0, "promotion/p1");
        const std::size_t entry = gate == "a1" ? 1 : 0;
        auto first = std::async(std::launch::async, [&fleet, entry] {
            return fleet.call(entry, "POST", "/promotion/s",
                              {{"Damask-Api-Key", apiKey},
                               {"Idempotency-Key", "long-1"},
                               {"Damask-Deadline-Ms", "4000"}},
                              "{}");
        });
        CPPUNIT_ASSERT(process_fleet::waitUntil(
            seconds(10), [&] { return fleet.records("promotion/p1")["runs"] == 1; }));
        fleet.signal(gate, SIGTERM);
        const http_answer answer = first.get();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.reason(), 200, answer.status);
        CPPUNIT_ASSERT(fleet.records("promotion/p1")["runs"] == 1);
        CPPUNIT_ASSERT_EQUAL(0, fleet.waitForExit(gate, seconds(20)));
    }

    // Guards against an entry that breaks off a run because the gate has moved to another VM.
    void requestOutlivesTheMoveOfItsGate()
    {
        stopGateDuringRun(longRequestFleet(24600, true, milliseconds(500)));
    }

    // Guards against a VM that ends while targets work on requests that it has sent as a gate.
    void longRequestOutlivesTheStopOfItsGate()
    {
        for (const bool isIdempotent : {true, false}) {
            stopGateDuringRun(
                longRequestFleet(isIdempotent ? 24800 : 25000, isIdempotent, seconds(1)));
        }
    }

    void gateKilledBeforeAnswer()
    {
        process_fleet fleet(promotionFleet(23400, R"({"service_us":600000})"));
        CPPUNIT_ASSERT(fleet.start());
        auto first = std::async(std::launch::async, [&fleet] {
            return fleet.post(0, "/promotion/s", apiKey, "cut-1");
        });
        CPPUNIT_ASSERT(
            process_fleet::waitUntil(seconds(10), [&] { return runsOf(fleet, "cut-1") == 1; }));
        const bool ranAtFirstTarget = fleet.records("promotion/p1")["runs"].asUInt64() == 1;
        const std::string gate =
            fleet.gateOf(0, ranAtFirstTarget ? "promotion/p1" : "promotion/p2");
        fleet.kill(gate);
        CPPUNIT_ASSERT(first.get().state() != "not-run");
        const std::size_t other = gate == "a2" ? 2 : 1;
        for (int i = 0; i < 5; ++i) {
            const http_answer resent = fleet.post(other, "/promotion/s", apiKey, "cut-1");
            CPPUNIT_ASSERT(resent.state() != "not-run");
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, runsOf(fleet, "cut-1"));
    }

    void gateKilledBetweenIntentAndDispatch()
    {
        process_fleet fleet(promotionFleet(23600, "{}"));
        CPPUNIT_ASSERT(fleet.start());
        fleet.setBehaviour("platform", R"({"slow_answer_ms":300})");
        auto first = std::async(std::launch::async, [&fleet] {
            return fleet.post(0, "/promotion/s", apiKey, "cut-2");
        });
        CPPUNIT_ASSERT(process_fleet::waitUntil(
            seconds(10), [&] { return fleet.platformCounts()["intents"].asUInt64() == 1; }));
        // Any of the three VMs may have written the intent row, so all of them are restarted.
        for (const char *vm : {"a1", "a2", "a3"}) {
            fleet.kill(vm);
        }
        first.wait();
        fleet.setBehaviour("platform", "{}");
        for (const char *vm : {"a1", "a2", "a3"}) {
            fleet.startProcess(vm);
        }
        http_answer resent;
        CPPUNIT_ASSERT(process_fleet::waitUntil(seconds(20), [&] {
            resent = fleet.post(1, "/promotion/s", apiKey, "cut-2");
            return resent.state() == "unknown";
        }));
        CPPUNIT_ASSERT_EQUAL(std::string("in-doubt"), resent.reason());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, runsOf(fleet, "cut-2"));
    }

    void targetCrashedAfterRunning()
    {
        process_fleet fleet(promotionFleet(23800, R"({"crash_after_run":true})"));
        CPPUNIT_ASSERT(fleet.start());
        const http_answer first = fleet.post(0, "/promotion/s", apiKey, "crash-1");
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), first.state());
        const bool oneTerminated = process_fleet::waitUntil(seconds(10), [&] {
            return !fleet.isRunning("promotion/p1") || !fleet.isRunning("promotion/p2");
        });
        CPPUNIT_ASSERT(oneTerminated);
        const http_answer resent = fleet.post(1, "/promotion/s", apiKey, "crash-1");
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), resent.state());
        // The remaining target has not received the request.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, runsOf(fleet, "crash-1"));
    }

    void deadlinePassesDuringRun()
    {
        process_fleet fleet(promotionFleet(24400, R"({"service_us":5000000})"));
        CPPUNIT_ASSERT(fleet.start());
        const http_answer late = fleet.call(0, "POST", "/promotion/s",
                                            {{"Damask-Api-Key", apiKey},
                                             {"Idempotency-Key", "late-1"},
                                             {"Damask-Deadline-Ms", "400"}},
                                            "{}");
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), late.state());
        CPPUNIT_ASSERT_EQUAL(std::string("deadline"), late.reason());
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                             fleet.post(1, "/promotion/s", apiKey, "late-1").state());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, runsOf(fleet, "late-1"));
    }

    void platformOutageIsNotRun()
    {
        process_fleet fleet(promotionFleet(24000, "{}"));
        CPPUNIT_ASSERT(fleet.start());
        fleet.setBehaviour("platform", R"({"down":true})");
        const http_answer answer = fleet.post(0, "/promotion/s", apiKey, "down-1");
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), answer.state());
        fleet.setBehaviour("platform", "{}");
        CPPUNIT_ASSERT(process_fleet::waitUntil(seconds(10), [&] {
            return fleet.post(1, "/promotion/s", apiKey, "down-1").state() == "run";
        }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, runsOf(fleet, "down-1"));
    }

    void crashingRequestIsQuarantinedAfterTwoTargets()
    {
        fleet_options options = promotionFleet(24200, R"({"crash_key":"poison"})");
        options.targets.push_back({"promotion/p3", "a", R"({"crash_key":"poison"})", "slots=2"});
        options.targets.push_back({"promotion/p4", "a", R"({"crash_key":"poison"})", "slots=2"});
        options.rules.replace(options.rules.find("non-idempotent"), 14, "idempotent");
        process_fleet fleet(options);
        CPPUNIT_ASSERT(fleet.start());
        for (int i = 0; i < 12; ++i) {
            const auto vm = static_cast<std::size_t>(i % 3);
            const http_answer answer = fleet.get(vm, "/promotion/poison", apiKey);
            CPPUNIT_ASSERT(answer.state() != "run");
        }
        int terminated = 0;
        for (const char *name : {"promotion/p1", "promotion/p2", "promotion/p3", "promotion/p4"}) {
            terminated += fleet.isRunning(name) ? 0 : 1;
        }
        CPPUNIT_ASSERT(terminated >= 1);
        CPPUNIT_ASSERT(terminated <= 2);
        CPPUNIT_ASSERT_EQUAL(std::string("quarantined"),
                             fleet.get(1, "/promotion/poison", apiKey).reason());
        const http_answer other = fleet.get(1, "/promotion/other", apiKey);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(other.reason(), std::string("run"), other.state());
    }

    // Guards against requests that wait until their deadline at the gate of a target that is down,
    // although other targets are free: the entry learns of the crash later than the gate.
    void otherRequestsAreServedAfterACrash()
    {
        fleet_options options = promotionFleet(24600, R"({"crash_key":"poison"})");
        options.targets.push_back({"promotion/p3", "a", R"({"crash_key":"poison"})", "slots=2"});
        options.targets.push_back({"promotion/p4", "a", R"({"crash_key":"poison"})", "slots=2"});
        options.rules.replace(options.rules.find("non-idempotent"), 14, "idempotent");
        process_fleet fleet(options);
        CPPUNIT_ASSERT(fleet.start());
        fleet.get(0, "/promotion/poison", apiKey);
        const time_point end = mono_clock::now() + milliseconds(600);
        for (std::size_t i = 0; mono_clock::now() < end; ++i) {
            const http_answer other = fleet.get(i % 3, "/promotion/other", apiKey);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(other.reason(), std::string("run"), other.state());
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(process_once_test, "process_once");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("process_once");

} // namespace
