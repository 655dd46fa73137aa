// Operations on a running fleet: withdrawing API keys, draining targets and data centres, a rolling
// restart, and rule changes that race or that a VM cannot acknowledge.

#include "test/support/process_fleet.h"
#include "tools/load/open_loop.h"

#include "damaskward/Hashing"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>
#include <iostream>

namespace {

using namespace damaskward;
using namespace damaskward::testing;

const char *const dojoKey = "dojo-key-1";
const char *const guestKey = "guest-key-1";
/// The project's limit for the time from a drain command to the last new request at its targets.
constexpr seconds drainTimeLimit{3};

fleet_options operatorFleet(int portBase)
{
    fleet_options options;
    options.portBase = portBase;
    options.vms = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}};
    const std::string rule = "slots=4 connections=130";
    options.targets = {
        {"lookup/l1", "a", "{\"slots\":4}", rule}, {"lookup/l2", "a", "{\"slots\":4}", rule},
        {"lookup/l3", "b", "{\"slots\":4}", rule}, {"lookup/l4", "b", "{\"slots\":4}", rule},
        {"maps/m1", "a", "{\"slots\":4}", rule},   {"maps/m2", "b", "{\"slots\":4}", rule}};
    options.rules = "data-center a share=50 # test\ndata-center b share=50 # test\n"
                    "service lookup keyed idempotent shards=16 # test\n"
                    "service maps unkeyed idempotent # test\n"
                    "allow * lookup # test\nallow * maps # test\n"
        + teamRules("dojo", dojoKey, 100000, 100000) + teamRules("guest", guestKey, 1000, 1000);
    return options;
}

std::uint64_t runsAt(const process_fleet &fleet, const std::string &target)
{
    return jsonUnsigned(fleet.records(target), "runs");
}

bool allServed(const process_fleet &fleet)
{
    for (std::size_t vm = 0; vm < 4; ++vm) {
        for (int i = 0; i < 24; ++i) {
            const std::string key = "/lookup/k" + std::to_string(i);
            if (fleet.get(vm, key, dojoKey).state() != "run") {
                return false;
            }
        }
    }
    return true;
}

bool startAndServeLookups(process_fleet &fleet)
{
    return fleet.start()
        && process_fleet::waitUntil(seconds(20), [&fleet] { return allServed(fleet); });
}

load::load_plan steadyLoadPlan(const process_fleet &fleet, milliseconds duration)
{
    load::load_plan plan;
    for (std::size_t vm = 0; vm < 4; ++vm) {
        plan.vms.push_back(fleet.callerAddress(vm));
    }
    plan.streams = {{"keyed", dojoKey, "lookup", 150.0, false},
                    {"any", dojoKey, "maps", 50.0, false}};
    plan.keys = 200;
    plan.duration = duration;
    plan.deadline = milliseconds(5000);
    return plan;
}

std::string resultsText(const std::map<std::string, load::stream_result> &results)
{
    std::string text;
    for (const auto &[name, streamResult] : results) {
        text += name + ": " + std::to_string(streamResult.good) + "/"
            + std::to_string(streamResult.sent);
        for (const auto &[reason, count] : streamResult.refusals) {
            text += " " + reason + "=" + std::to_string(count);
        }
        text += "; ";
    }
    return text;
}

bool allSucceeded(const std::map<std::string, load::stream_result> &results)
{
    for (const auto &[name, streamResult] : results) {
        if (streamResult.good != streamResult.sent || streamResult.sent == 0) {
            return false;
        }
    }
    return true;
}

class process_operator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(process_operator_test);
    CPPUNIT_TEST(withdrawnKeyIsRefusedByAllVms);
    CPPUNIT_TEST(unreachableVmIsNamedAndUpdatedByPeers);
    CPPUNIT_TEST(concurrentChangesAreNeverReverted);
    CPPUNIT_TEST(drainedTargetGetsNoNewWork);
    CPPUNIT_TEST(dataCenterDrainedAndRestored);
    CPPUNIT_TEST(rollingRestartFailsNoRequest);
    CPPUNIT_TEST(warmingTargetsAreNotOverloaded);
    CPPUNIT_TEST_SUITE_END();

    void withdrawnKeyIsRefusedByAllVms()
    {
        process_fleet fleet(operatorFleet(26000));
        CPPUNIT_ASSERT(startAndServeLookups(fleet));
        // One connection to each VM: a withdrawn key must be refused on open connections, too.
        std::vector<std::shared_ptr<web::http::client::http_client>> clients;
        for (std::size_t vm = 0; vm < 4; ++vm) {
            clients.push_back(makeHttpClient(fleet.callerAddress(vm), milliseconds(3000)));
        }
        const auto requestStatus = [&clients](std::size_t vm) {
            web::http::http_request request(web::http::methods::GET);
            request.set_request_uri("/lookup/k1");
            request.headers().add(header::apiKey, guestKey);
            return static_cast<int>(clients[vm]->request(request).get().status_code());
        };
        for (std::size_t vm = 0; vm < 4; ++vm) {
            CPPUNIT_ASSERT_EQUAL(200, requestStatus(vm));
        }
        const std::string hash = toHex(hashSecret(guestKey));
        const command_result done = fleet.runDamaskctl("--requester test withdraw-key " + hash);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(done.output, 0, done.exitCode);
        // Once damaskctl reports 'accepted', no VM may admit another request with the key.
        for (std::size_t vm = 0; vm < 4; ++vm) {
            CPPUNIT_ASSERT_EQUAL(401, requestStatus(vm));
        }
    }

    void unreachableVmIsNamedAndUpdatedByPeers()
    {
        process_fleet fleet(operatorFleet(26200));
        CPPUNIT_ASSERT(startAndServeLookups(fleet));
        fleet.signal("b2", SIGSTOP); // A stopped process acknowledges no version of the rules.
        const std::string hash = toHex(hashSecret(guestKey));
        const command_result done =
            fleet.runDamaskctl("--requester test --wait_ms 400 withdraw-key " + hash);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(done.output, 3, done.exitCode);
        CPPUNIT_ASSERT(done.output.find("b2") != std::string::npos);
        fleet.signal("b2", SIGCONT);
        CPPUNIT_ASSERT(process_fleet::waitUntil(
            seconds(10), [&] { return fleet.get(3, "/lookup/k1", guestKey).status == 401; }));
        // A VM that can reach its peers but not the platform receives new rules from the peers.
        fleet.setBehaviour("platform", R"({"cut":["a2"]})");
        const command_result granted = fleet.runDamaskctl(
            "--requester test --wait_ms 5000 grant-key guest " + toHex(hashSecret("guest-key-2")));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(granted.output, 0, granted.exitCode);
        CPPUNIT_ASSERT_EQUAL(200, fleet.get(1, "/lookup/k1", "guest-key-2").status);
    }

    void concurrentChangesAreNeverReverted()
    {
        process_fleet fleet(operatorFleet(26400));
        CPPUNIT_ASSERT(startAndServeLookups(fleet));
        fleet.setBehaviour("platform", R"({"lose_answers":0.3})");
        std::vector<std::future<command_result>> operators;
        operators.reserve(6);
        for (int i = 0; i < 6; ++i) {
            operators.push_back(std::async(std::launch::async, [&fleet, i] {
                return fleet.runDamaskctl("--requester op" + std::to_string(i) + " grant-key dojo "
                                          + toHex(hashSecret("raced-" + std::to_string(i))));
            }));
        }
        std::vector<command_result> results;
        results.reserve(operators.size());
        for (auto &op : operators) {
            results.push_back(op.get());
        }
        fleet.setBehaviour("platform", "{}");
        const std::string rules = fleet.runDamaskctl("show").output;
        int accepted = 0;
        for (int i = 0; i < 6; ++i) {
            const std::string hash = toHex(hashSecret("raced-" + std::to_string(i)));
            const bool inForce = rules.find(hash) != std::string::npos;
            const bool reportedSuccess = results[static_cast<std::size_t>(i)].exitCode == 0;
            accepted += reportedSuccess ? 1 : 0;
            CPPUNIT_ASSERT_MESSAGE("damaskctl reported success, but the key is not in the rules",
                                   !reportedSuccess || inForce);
            for (std::size_t vm = 0; reportedSuccess && vm < 4; ++vm) {
                CPPUNIT_ASSERT_EQUAL(
                    200, fleet.get(vm, "/lookup/k1", "raced-" + std::to_string(i)).status);
            }
        }
        CPPUNIT_ASSERT(accepted >= 1);
        std::uint64_t version = 0;
        CPPUNIT_ASSERT(process_fleet::waitUntil(seconds(10), [&] {
            version = jsonUnsigned(fleet.status(0), "rules");
            return version >= 2 && version == jsonUnsigned(fleet.status(3), "rules");
        }));
    }

    /// Runs \a command, which drains \a targets, under load. Expects that every request succeeds
    /// and that the targets start no request later than drainTimeLimit after the command.
    void expectNoNewWork(process_fleet &fleet, const std::string &command,
                         const std::vector<std::string> &targets)
    {
        load::open_loop loop(steadyLoadPlan(fleet, milliseconds(7000)));
        auto results = std::async(std::launch::async, [&loop] { return loop.run(); });
        std::this_thread::sleep_for(seconds(1));
        const command_result done = fleet.runDamaskctl("--requester test " + command);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(done.output, 0, done.exitCode);
        std::this_thread::sleep_for(drainTimeLimit);
        std::map<std::string, std::uint64_t> before;
        for (const std::string &target : targets) {
            before[target] = runsAt(fleet, target);
        }
        const auto observed = results.get();
        CPPUNIT_ASSERT_MESSAGE(resultsText(observed), allSucceeded(observed));
        for (const std::string &target : targets) {
            CPPUNIT_ASSERT(before[target] > 0);
            CPPUNIT_ASSERT_EQUAL(before[target], runsAt(fleet, target));
        }
    }

    void drainedTargetGetsNoNewWork()
    {
        process_fleet fleet(operatorFleet(26600));
        CPPUNIT_ASSERT(startAndServeLookups(fleet));
        expectNoNewWork(fleet, "drain lookup/l1", {"lookup/l1"});
    }

    void dataCenterDrainedAndRestored()
    {
        process_fleet fleet(operatorFleet(26800));
        CPPUNIT_ASSERT(startAndServeLookups(fleet));
        expectNoNewWork(fleet, "out b", {"lookup/l3", "lookup/l4", "maps/m2"});
        const std::uint64_t before = runsAt(fleet, "lookup/l3");
        const command_result back = fleet.runDamaskctl("--requester test in b");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(back.output, 0, back.exitCode);
        CPPUNIT_ASSERT(process_fleet::waitUntil(
            seconds(20), [&] { return allServed(fleet) && runsAt(fleet, "lookup/l3") > before; }));
    }

    void warmingTargetsAreNotOverloaded()
    {
        fleet_options options = operatorFleet(27200);
        for (fleet_target &target : options.targets) {
            // A stand-in that is warming up exits when a second request arrives during a run.
            target.behaviour = R"({"slots":4,"cold_slots":1,"warm_ms":1500,"service_us":4000})";
            target.ruleOptions = "slots=4 connections=130 cold=1 warm_ms=1500";
        }
        process_fleet fleet(options);
        CPPUNIT_ASSERT(startAndServeLookups(fleet));
        load::load_plan plan = steadyLoadPlan(fleet, milliseconds(9000));
        plan.streams = {{"keyed", dojoKey, "lookup", 400.0, false}};
        load::open_loop loop(plan);
        auto results = std::async(std::launch::async, [&loop] { return loop.run(); });
        std::this_thread::sleep_for(seconds(2));
        // All lookup targets of data centre a restart, so its shards move to targets that warm up.
        for (const char *target : {"lookup/l1", "lookup/l2"}) {
            fleet.kill(target);
        }
        for (const char *target : {"lookup/l1", "lookup/l2"}) {
            fleet.startProcess(target);
        }
        std::this_thread::sleep_for(milliseconds(300));
        fleet.kill("a2"); // Another VM becomes the gate of a target that is warming up.
        results.wait();
        std::uint64_t mostRunning = 0;
        for (const char *target : {"lookup/l1", "lookup/l2", "lookup/l3", "lookup/l4"}) {
            CPPUNIT_ASSERT_MESSAGE(fleet.log(target), fleet.isRunning(target));
            CPPUNIT_ASSERT(runsAt(fleet, target) > 0);
            mostRunning =
                std::max(mostRunning, jsonUnsigned(fleet.records(target), "most_running"));
        }
        CPPUNIT_ASSERT(mostRunning <= 4);
    }

    void rollingRestartFailsNoRequest()
    {
        process_fleet fleet(operatorFleet(27000));
        CPPUNIT_ASSERT(startAndServeLookups(fleet));
        load::open_loop loop(steadyLoadPlan(fleet, milliseconds(16000)));
        auto results = std::async(std::launch::async, [&loop] { return loop.run(); });
        std::this_thread::sleep_for(milliseconds(500));
        for (const char *vm : {"a1", "a2", "b1", "b2"}) {
            fleet.signal(vm, SIGTERM);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.log(vm), 0, fleet.waitForExit(vm, seconds(30)));
            fleet.startProcess(vm);
            const std::size_t index = std::string(vm) == "a1" ? 0
                : std::string(vm) == "a2"                     ? 1
                : std::string(vm) == "b1"                     ? 2
                                                              : 3;
            CPPUNIT_ASSERT(process_fleet::waitUntil(
                seconds(20), [&] { return jsonBool(fleet.status(index), "authority"); }));
        }
        const auto observed = results.get();
        CPPUNIT_ASSERT_MESSAGE(resultsText(observed), allSucceeded(observed));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(process_operator_test, "process_operator");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("process_operator");

} // namespace
