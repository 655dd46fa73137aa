// The whole request path with separate processes: routing, API keys, loss of VMs and targets, a
// platform outage, and rejected settings and commands.

#include "test/support/process_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <set>

namespace {

using namespace damaskward;
using namespace damaskward::testing;

const char *const dojoKey = "the-dojo-key";
const char *const deskKey = "the-desk-key";

fleet_options smallFleet(int portBase)
{
    fleet_options options;
    options.portBase = portBase;
    options.vms = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
    const std::string rule = "slots=2 connections=130";
    options.targets = {{"lookup/l1", "a", "{}", rule},    {"lookup/l2", "a", "{}", rule},
                       {"lookup/l3", "b", "{}", rule},    {"lookup/l4", "b", "{}", rule},
                       {"promotion/p1", "a", "{}", rule}, {"promotion/p2", "b", "{}", rule}};
    options.rules = "data-center a share=60 # test\ndata-center b share=40 # test\n"
                    "service lookup keyed idempotent shards=12 # test\n"
                    "service promotion unkeyed non-idempotent # test\n"
                    "allow * lookup # test\n"
        + teamRules("dojo", dojoKey, 10000, 5000) + teamRules("desk", deskKey, 10000, 5000)
        + "allow dojo promotion # test\n";
    return options;
}

bool lookupServed(const process_fleet &fleet, std::size_t vm, const std::string &key)
{
    return fleet.get(vm, "/lookup/" + key, dojoKey).state() == "run";
}

bool allServed(const process_fleet &fleet, std::size_t vm, int keys)
{
    for (int i = 0; i < keys; ++i) {
        if (!lookupServed(fleet, vm, "k" + std::to_string(i))) {
            return false;
        }
    }
    return true;
}

class process_path_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(process_path_test);
    CPPUNIT_TEST(allVmsRouteKeyToOneOwner);
    CPPUNIT_TEST(refusalsAreNotRunAndApiKeysAreNotForwarded);
    CPPUNIT_TEST(keysAreServedAfterVmIsKilled);
    CPPUNIT_TEST(frozenVmIsReplacedAndRejoins);
    CPPUNIT_TEST(keysOfLostTargetsMove);
    CPPUNIT_TEST(servesDuringPlatformOutage);
    CPPUNIT_TEST(badSettingsExitWithTwo);
    CPPUNIT_TEST(badCommandsExitWithTwo);
    CPPUNIT_TEST_SUITE_END();

    void allVmsRouteKeyToOneOwner()
    {
        process_fleet fleet(smallFleet(21000));
        CPPUNIT_ASSERT(fleet.start());
        for (int i = 0; i < 40; ++i) {
            const std::string path = "/lookup/student-" + std::to_string(i);
            std::set<std::string> owners;
            for (std::size_t vm = 0; vm < 3; ++vm) {
                http_answer answer;
                process_fleet::waitUntil(seconds(5), [&] {
                    answer = fleet.get(vm, path, dojoKey);
                    return answer.state() == "run";
                });
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.reason(), 200, answer.status);
                owners.insert(answer.header("damask-owner"));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owners.size());
        }
    }

    void refusalsAreNotRunAndApiKeysAreNotForwarded()
    {
        process_fleet fleet(smallFleet(21200));
        CPPUNIT_ASSERT(fleet.start());
        CPPUNIT_ASSERT(
            process_fleet::waitUntil(seconds(10), [&] { return allServed(fleet, 0, 20); }));
        struct refusal_case
        {
            http_answer answer;
            int status;
            const char *reason;
        };
        const refusal_case cases[] = {
            {fleet.get(0, "/lookup/k", "wrong"), 401, "bad-key"},
            {fleet.get(0, "/lookup/k", ""), 401, "bad-key"},
            {fleet.get(0, "/nothing/k", dojoKey), 404, "no-service"},
            {fleet.get(0, "/lookup", dojoKey), 404, "bad-path"},
            {fleet.post(0, "/promotion/k", deskKey, "x1"), 403, "not-allowed"},
            {fleet.call(0, "POST", "/promotion/k", {{"Damask-Api-Key", dojoKey}}, "{}"), 400,
             "no-idempotency-key"},
            {fleet.call(0, "GET", "/lookup/k",
                        {{"Damask-Api-Key", dojoKey}, {"Damask-Deadline-Ms", "soon"}}),
             400, "bad-header"},
        };
        for (const refusal_case &refusal : cases) {
            CPPUNIT_ASSERT_EQUAL(refusal.status, refusal.answer.status);
            CPPUNIT_ASSERT_EQUAL(std::string(refusal.reason), refusal.answer.reason());
            CPPUNIT_ASSERT_EQUAL(std::string("not-run"), refusal.answer.state());
        }
        CPPUNIT_ASSERT_EQUAL(200, fleet.post(0, "/promotion/k", dojoKey, "x2").status);
        for (const char *name :
             {"lookup/l1", "lookup/l2", "lookup/l3", "lookup/l4", "promotion/p1"}) {
            const std::string recordText = writeJson(fleet.records(name));
            CPPUNIT_ASSERT(recordText.find(dojoKey) == std::string::npos);
            CPPUNIT_ASSERT(recordText.find("dojo") != std::string::npos
                           || fleet.records(name)["runs"] == 0);
        }
        for (const char *name : {"a1", "a2", "b1"}) {
            CPPUNIT_ASSERT(fleet.log(name).find(dojoKey) == std::string::npos);
            CPPUNIT_ASSERT(fleet.log(name).find("fleet-secret") == std::string::npos);
        }
    }

    void keysAreServedAfterVmIsKilled()
    {
        process_fleet fleet(smallFleet(21400));
        CPPUNIT_ASSERT(fleet.start());
        CPPUNIT_ASSERT(
            process_fleet::waitUntil(seconds(10), [&] { return allServed(fleet, 0, 40); }));
        fleet.kill("a2");
        CPPUNIT_ASSERT(process_fleet::waitUntil(
            seconds(20), [&] { return allServed(fleet, 0, 40) && allServed(fleet, 2, 40); }));
        CPPUNIT_ASSERT_EQUAL(200, fleet.post(0, "/promotion/k", dojoKey, "y1").status);
        fleet.startProcess("a2");
        CPPUNIT_ASSERT(
            process_fleet::waitUntil(seconds(20), [&] { return allServed(fleet, 1, 40); }));
    }

    void frozenVmIsReplacedAndRejoins()
    {
        process_fleet fleet(smallFleet(21600));
        CPPUNIT_ASSERT(fleet.start());
        CPPUNIT_ASSERT(
            process_fleet::waitUntil(seconds(10), [&] { return allServed(fleet, 0, 40); }));
        fleet.signal("a1", SIGSTOP);
        CPPUNIT_ASSERT(
            process_fleet::waitUntil(seconds(20), [&] { return allServed(fleet, 2, 40); }));
        fleet.signal("a1", SIGCONT);
        CPPUNIT_ASSERT(process_fleet::waitUntil(
            seconds(20), [&] { return jsonUnsigned(fleet.status(0), "term") == 2; }));
        CPPUNIT_ASSERT(
            process_fleet::waitUntil(seconds(20), [&] { return allServed(fleet, 0, 40); }));
    }

    void keysOfLostTargetsMove()
    {
        process_fleet fleet(smallFleet(21800));
        CPPUNIT_ASSERT(fleet.start());
        CPPUNIT_ASSERT(
            process_fleet::waitUntil(seconds(10), [&] { return allServed(fleet, 0, 40); }));
        fleet.kill("lookup/l1");
        CPPUNIT_ASSERT(
            process_fleet::waitUntil(seconds(20), [&] { return allServed(fleet, 0, 40); }));
        fleet.signal("lookup/l3", SIGSTOP);
        CPPUNIT_ASSERT(
            process_fleet::waitUntil(seconds(20), [&] { return allServed(fleet, 0, 40); }));
        fleet.signal("lookup/l3", SIGCONT);
        fleet.startProcess("lookup/l1");
        CPPUNIT_ASSERT(process_fleet::waitUntil(seconds(20), [&] {
            return allServed(fleet, 0, 40) && !fleet.records("lookup/l1")["grants"].empty();
        }));
    }

    void servesDuringPlatformOutage()
    {
        process_fleet fleet(smallFleet(22000));
        CPPUNIT_ASSERT(fleet.start());
        CPPUNIT_ASSERT(
            process_fleet::waitUntil(seconds(10), [&] { return allServed(fleet, 0, 40); }));
        fleet.setBehaviour("platform", R"({"down":true})");
        CPPUNIT_ASSERT(process_fleet::waitUntil(
            seconds(10), [&] { return jsonBool(fleet.status(0), "holdover"); }));
        // Data centre a has two VMs and enters holdover; b has one VM, which may not.
        int servedInA = 0;
        for (int i = 0; i < 40; ++i) {
            const http_answer answer = fleet.get(0, "/lookup/k" + std::to_string(i), dojoKey);
            servedInA += answer.state() == "run" ? 1 : 0;
        }
        CPPUNIT_ASSERT(servedInA > 0);
        const http_answer promotion = fleet.post(0, "/promotion/k", dojoKey, "z1");
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), promotion.state());
        fleet.setBehaviour("platform", "{}");
        CPPUNIT_ASSERT(
            process_fleet::waitUntil(seconds(20), [&] { return allServed(fleet, 0, 40); }));
        CPPUNIT_ASSERT(process_fleet::waitUntil(
            seconds(10), [&] { return !jsonBool(fleet.status(0), "holdover"); }));
        CPPUNIT_ASSERT_EQUAL(1U, static_cast<unsigned>(jsonUnsigned(fleet.status(0), "term")));
    }

    void badCommandsExitWithTwo()
    {
        process_fleet fleet(smallFleet(22400));
        CPPUNIT_ASSERT(fleet.start());
        const std::string before = fleet.runDamaskctl("show").output;
        const command_result bad = fleet.runDamaskctl(
            "apply " + fleet.writeFile("bad.txt", "team x\nlimit y rate=1 # z\n"));
        CPPUNIT_ASSERT_EQUAL(2, bad.exitCode);
        CPPUNIT_ASSERT(bad.output.find("bad.txt:1: comment") != std::string::npos);
        CPPUNIT_ASSERT(bad.output.find("bad.txt:2: burst") != std::string::npos);
        const command_result rulesWithoutOwners = fleet.runDamaskctl(
            "apply " + fleet.writeFile("gone.txt", "data-center a share=1 # z\n"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(rulesWithoutOwners.output, 2, rulesWithoutOwners.exitCode);
        CPPUNIT_ASSERT(rulesWithoutOwners.output.find("still owns keys") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(2, fleet.runDamaskctl("declare-lost a1").exitCode);
        CPPUNIT_ASSERT_EQUAL(2, fleet.runDamaskctl("dance").exitCode);
        CPPUNIT_ASSERT_EQUAL(before, fleet.runDamaskctl("show").output);
        CPPUNIT_ASSERT_EQUAL(0, fleet.runDamaskctl("status").exitCode);
        CPPUNIT_ASSERT_EQUAL(0, fleet.runDamaskctl("burn").exitCode);
        CPPUNIT_ASSERT(fleet.runDamaskctl("limits").output.find("dojo rate=10000")
                       != std::string::npos);
    }

    void badSettingsExitWithTwo()
    {
        process_fleet fleet(smallFleet(22200));
        fleet.writeFile("a1.json", "{\n\"vm\": 3 }");
        fleet.startProcess("a1");
        CPPUNIT_ASSERT_EQUAL(2, fleet.waitForExit("a1", seconds(10)));
        CPPUNIT_ASSERT(fleet.log("a1").find("a1.json:2: vm:") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(process_path_test, "process_path");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("process_path");

} // namespace
