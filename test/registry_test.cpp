// Registry entries of other programs, from the store to the coordinator and to other VMs.

#include "platform/registry_decoder.h"
#include "src/Node/peer_message.h"
#include "support/scripted_coordinator.h"

#include <cppunit/extensions/HelperMacros.h>

namespace damaskward {
namespace testing {
namespace {

constexpr time_point start{seconds(1000)};

target_record record(const std::string &name, const std::string &service = "ledger")
{
    target_record r;
    r.name = name;
    r.service = service_id(service);
    r.dataCenter = data_center_id("near");
    r.address = "10.0.0.1:80";
    r.incarnation = 1;
    r.heartbeatCounter = 10;
    return r;
}

deployment deploymentOf(const std::vector<std::string> &services)
{
    deployment config;
    for (const std::string &name : services) {
        config.services[service_id(name)];
    }
    return config;
}

class registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(registry_test);
    CPPUNIT_TEST(entryOfAnUnknownServiceFreesNoKeys);
    CPPUNIT_TEST(entryOfAnUnknownServiceIsNoTarget);
    CPPUNIT_TEST(entriesFollowTheServicesOfTheConfiguration);
    CPPUNIT_TEST(overwrittenEntryUnregistersItsTarget);
    CPPUNIT_TEST(entryThatWasSetAsideCanBeRemoved);
    CPPUNIT_TEST(reusedAddressMeansTermination);
    CPPUNIT_TEST(longNamesReachOtherVms);
    CPPUNIT_TEST(messagesAboveTheLimitsAreNotEncoded);
    CPPUNIT_TEST(entriesWithLongKeysAreRejected);
    CPPUNIT_TEST_SUITE_END();

    // Guards against two owners: an entry of an unknown service, with the address of an owner that
    // was leaving, counted as proof that the owner's process had terminated.
    void entryOfAnUnknownServiceFreesNoKeys()
    {
        scripted_coordinator coordinator(1, true);
        target_record foreign = coordinator.records.at("t0");
        foreign.name = "odd";
        foreign.service = service_id("unknown");
        foreign.incarnation = 9;
        coordinator.records["odd"] = foreign;
        coordinator.runUntil(seconds(20));
        coordinator.records.erase("t0"); // It leaves without a report, and still serves its keys.
        coordinator.unresponsive.insert("t0");
        coordinator.runUntil(seconds(40));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, coordinator.violations.size());
    }

    void entryOfAnUnknownServiceIsNoTarget()
    {
        target_pool targets(data_center_id("near"));
        targets.setDeployment(deploymentOf({"ledger"}), start);
        target_record foreign = record("odd", std::string(5000, 's'));
        foreign.incarnation = 9;
        targets.applyRegistry({record("t0"), foreign}, start);
        CPPUNIT_ASSERT(targets.find("t0") && !targets.find("odd"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, targets.newestIncarnations().at("10.0.0.1:80"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, targets.localLoads(start).size());
        targets.applyRecord(foreign, start); // As in a change that another VM passes on.
        CPPUNIT_ASSERT(!targets.find("odd"));
    }

    // Guards against a target that stays unknown, or in use, when a configuration adds or drops its
    // service.
    void entriesFollowTheServicesOfTheConfiguration()
    {
        target_pool targets(data_center_id("near"));
        targets.setDeployment(deploymentOf({"ledger"}), start);
        targets.applyRegistry({record("t0"), record("t1", "archive")}, start);
        CPPUNIT_ASSERT(!targets.find("t1"));
        targets.setDeployment(deploymentOf({"ledger", "archive"}), start + seconds(1));
        CPPUNIT_ASSERT(targets.isUsable(*targets.find("t1"), start + seconds(1)));
        targets.setDeployment(deploymentOf({"ledger"}), start + seconds(2));
        CPPUNIT_ASSERT(!targets.isUsable(*targets.find("t1"), start + seconds(2)));
        CPPUNIT_ASSERT(targets.find("t1")->drainingSince == start + seconds(2));
        CPPUNIT_ASSERT(targets.isUsable(*targets.find("t0"), start + seconds(2)));
        targets.setDeployment(deploymentOf({"archive"}), start + seconds(3));
        CPPUNIT_ASSERT(targets.isUsable(*targets.find("t1"), start + seconds(3)));
        CPPUNIT_ASSERT(!targets.isUsable(*targets.find("t0"), start + seconds(3)));
    }

    // An entry that names no target any more counts as removed until its target writes it again.
    void overwrittenEntryUnregistersItsTarget()
    {
        target_pool targets(data_center_id("near"));
        targets.setDeployment(deploymentOf({"ledger"}), start);
        targets.applyRegistry({record("t0")}, start);
        targets.applyRecord(record("t0", "unknown"), start + seconds(1));
        CPPUNIT_ASSERT(!targets.find("t0")->isRegistered);
        CPPUNIT_ASSERT(!targets.isUsable(*targets.find("t0"), start + seconds(1)));
        CPPUNIT_ASSERT(targets.find("t0")->record.service == service_id("ledger"));
        targets.applyRecord(record("t0"), start + seconds(2));
        CPPUNIT_ASSERT(targets.isUsable(*targets.find("t0"), start + seconds(2)));
    }

    // Guards against a removed entry that is applied when a configuration names its service.
    void entryThatWasSetAsideCanBeRemoved()
    {
        target_pool targets(data_center_id("near"));
        targets.setDeployment(deploymentOf({"ledger"}), start);
        targets.applyRecord(record("t1", "archive"), start);
        targets.remove({"t1", 1, 10}, start);
        targets.setDeployment(deploymentOf({"archive"}), start);
        CPPUNIT_ASSERT(!targets.find("t1"));
    }

    // The platform reassigns an address only after the process that used it has terminated.
    void reusedAddressMeansTermination()
    {
        target_pool targets(data_center_id("near"));
        targets.setDeployment(deploymentOf({"ledger", "archive"}), start);
        target_record next = record("t1", "archive");
        next.incarnation = 9;
        targets.applyRegistry({next}, start);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, targets.newestIncarnations().at("10.0.0.1:80"));
    }

    // Guards against VMs that stop following the registry: the store reader passed on a name of
    // 5,000 bytes, and the others refused each message with it.
    void longNamesReachOtherVms()
    {
        const std::string name(60000, 'n'); // Almost a row of the store.
        registry_delta delta;
        delta.changed.push_back(record("t0", name));
        member_update update;
        update.centers.push_back({"near", 0, {{name, 1.0}}});
        key_demand demand;
        demand.keys[service_id(name)].push_back(7);
        owner_update owners;
        owners.version = 1;
        owners.rangeMaps[service_id(name)] = {};
        peer_token_request tokens;
        tokens.request.limit = "team/" + name;
        limit_token_response response;
        response.limit = "team/" + name;
        const std::vector<peer_message> messages = {delta,  update, demand,
                                                    owners, tokens, response};
        for (const peer_message &message : messages) {
            const auto decoded = decodeMessage(encodeMessage(message));
            CPPUNIT_ASSERT(decoded && decoded->index() == message.index());
        }
    }

    // What a receiver would refuse is the sender's fault, and is not sent.
    void messagesAboveTheLimitsAreNotEncoded()
    {
        CPPUNIT_ASSERT(encodeMessage(owner_query{std::string(200000, 'n')}).empty());
        registry_delta delta;
        delta.changed.resize(20000);
        CPPUNIT_ASSERT(encodeMessage(delta).empty());
        owner_shares shares;
        shares.shares[std::string(200000, 'n')] = 0.5;
        CPPUNIT_ASSERT(encodeMessage(shares).empty());
    }

    void entriesWithLongKeysAreRejected()
    {
        const auto isAccepted = [](std::size_t nameBytes, std::size_t zoneBytes) {
            const std::string text = R"({"address":"10.0.0.1:80","born":1,"info":{"service":"s",)"
                                     R"("slots":1,"zone":")"
                + std::string(zoneBytes, 'z') + R"("},"status":{"state":"ready","sequence":1}})";
            return std::holds_alternative<target_record>(
                platform::decodeTarget(std::string(nameBytes, 'n'), text));
        };
        CPPUNIT_ASSERT(isAccepted(200, 200));
        CPPUNIT_ASSERT(!isAccepted(201, 200));
        CPPUNIT_ASSERT(!isAccepted(200, 201));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(registry_test, "registry");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("registry");

} // namespace
} // namespace testing
} // namespace damaskward
