// Ranges of keys while the store comes back from an older copy: the record of the owners, versions
// and fencing tokens that the store had acknowledged are gone.

#include "support/range_simulation.h"
#include "support/scripted_coordinator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace damaskward {
namespace testing {
namespace {

class restore_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restore_test);
    CPPUNIT_TEST(oneOwnerAcrossStoreRestores);
    CPPUNIT_TEST(ownersSurviveShortRestore);
    CPPUNIT_TEST(oneOwnerIfRestoreLosesNothing);
    CPPUNIT_TEST(refusedClaimGivesNoTokenTwice);
    CPPUNIT_TEST(lateRenewalAfterAClaimKeepsLeases);
    CPPUNIT_TEST(unheardVmMayHaveBeenCoordinator);
    CPPUNIT_TEST_SUITE_END();

    static std::string firstOf(const std::vector<std::string> &texts)
    {
        return texts.empty() ? std::string() : texts.front();
    }

    // A fencing token was given out twice when the first claim in a new era was refused: the
    // second one started again from the counter of the previous era.
    void refusedClaimGivesNoTokenTwice()
    {
        scripted_coordinator vm(1, true);
        vm.runUntil(seconds(5));
        const auto copy = vm.rows;
        vm.runUntil(seconds(10));
        vm.isAway = true;
        vm.runUntil(milliseconds(10700));
        vm.records["t0"].draining = true;
        vm.runUntil(seconds(13));
        vm.restore(copy);
        vm.refusals = 1;
        vm.runUntil(seconds(18));
        CPPUNIT_ASSERT(vm.role->isCoordinator(vm.now));
        vm.records["t1"].draining = true;
        vm.runUntil(seconds(25));
        CPPUNIT_ASSERT_EQUAL(std::string(), firstOf(vm.violations));
    }

    // A renewal that was answered after the lease had expired made a VM coordinator again, which
    // still took all grants for expired, as they had been when it claimed the lease.
    void lateRenewalAfterAClaimKeepsLeases()
    {
        scripted_coordinator vm(2, false); // The row of the first era is lost.
        vm.runUntil(seconds(20));
        CPPUNIT_ASSERT(vm.role->isCoordinator(vm.now));
        vm.isAway = true;
        vm.runUntil(milliseconds(20800));
        vm.isAway = false;
        vm.answerTime = milliseconds(900);
        vm.runUntil(milliseconds(21200));
        vm.records.erase("t0");
        vm.unresponsive.insert("t0");
        vm.runUntil(milliseconds(22300));
        vm.answerTime = milliseconds(10);
        vm.runUntil(seconds(40));
        CPPUNIT_ASSERT_EQUAL(std::string(), firstOf(vm.violations));
    }

    // A VM that is not heard from may have become the coordinator after the lease of this one had
    // expired, so this one must not continue from memory.
    void unheardVmMayHaveBeenCoordinator()
    {
        for (const bool isHeard : {true, false}) {
            scripted_coordinator vm(1, true);
            const auto hear = [&](const char *name) {
                heartbeat beat;
                beat.name = name;
                beat.incarnation = 1;
                vm.peers.apply(beat, vm.now);
            };
            vm.runUntil(seconds(5));
            const auto copy = vm.rows;
            const auto run = [&](int fromSecond, int toSecond) {
                for (int tenth = fromSecond * 10; tenth < toSecond * 10; ++tenth) {
                    hear("vm-1");
                    if (isHeard || tenth < 80) {
                        hear("vm-2");
                    }
                    vm.runUntil(milliseconds(tenth * 100 + 100));
                }
            };
            run(5, 10);
            vm.isAway = true;
            run(10, 12);
            vm.restore(copy);
            run(12, 16);
            CPPUNIT_ASSERT_EQUAL(isHeard, vm.role->isCoordinator(vm.now));
        }
    }

    /// \returns what is wrong in a simulation, or an empty text.
    static std::string faultIn(const range_simulation_report &report)
    {
        if (!report.violations.empty()) {
            return report.violations.front();
        }
        return report.ownedAtEnd > 0.999 ? "" : "owned " + std::to_string(report.ownedAtEnd);
    }

    /// Fails if some schedules had faults.
    static void assertNone(const std::vector<std::string> &faults, std::uint64_t schedules)
    {
        std::string message = std::to_string(faults.size()) + " of " + std::to_string(schedules)
            + " schedules failed:";
        for (const std::string &fault : faults) {
            message += "\n" + fault;
        }
        CPPUNIT_ASSERT_MESSAGE(message, faults.empty());
    }

    /// Simulates restores on all schedules, or on that of DAMASKWARD_SEED.
    static void simulateRestores(range_simulation_options options)
    {
        const char *seedText = std::getenv("DAMASKWARD_SEED");
        const std::uint64_t only = seedText ? std::strtoull(seedText, nullptr, 10) : 0;
        constexpr std::uint64_t schedules = 150;
        int restores = 0;
        std::vector<std::string> faults;
        options.storeRestores = true;
        for (std::uint64_t seed = only ? only : 1; seed <= (only ? only : schedules); ++seed) {
            options.seed = seed;
            const range_simulation_report report = runRangeSimulation(options);
            restores += report.storeRestores;
            if (const std::string fault = faultIn(report); !fault.empty()) {
                faults.push_back("seed " + std::to_string(seed) + ": " + fault);
            }
        }
        assertNone(faults, only ? 1 : schedules);
        CPPUNIT_ASSERT(only != 0 || restores > static_cast<int>(schedules));
    }

    // Two targets held the same keys after the store had come back from a copy that knew neither
    // the last moves nor their fencing tokens.
    void oneOwnerAcrossStoreRestores() { simulateRestores({}); }

    // The same faults, but the store comes back with its newest rows: violations in the test above
    // come from the older copy.
    void oneOwnerIfRestoreLosesNothing()
    {
        range_simulation_options options;
        options.restoreKeepsRows = true;
        simulateRestores(options);
    }

    // Keys had two owners after a short outage of the store that ended with an older copy, although
    // the coordinator and all targets were alive. Nor may they lose their owners until every grant
    // has expired.
    void ownersSurviveShortRestore()
    {
        constexpr std::uint64_t schedules = 20;
        std::vector<std::string> faults;
        for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
            range_simulation_options options;
            options.seed = seed;
            options.onlyRestore =
                store_restore{milliseconds(20000), milliseconds(2000), milliseconds(9000)};
            const range_simulation_report report = runRangeSimulation(options);
            CPPUNIT_ASSERT_EQUAL(1, report.storeRestores);
            std::string fault = faultIn(report);
            if (report.longestUnowned > seconds(3)) {
                fault += (fault.empty() ? "" : "; ") + std::string("a key without an owner for ")
                    + std::to_string(toMillis(report.longestUnowned)) + " ms";
            }
            if (!fault.empty()) {
                faults.push_back("seed " + std::to_string(seed) + ": " + fault);
            }
        }
        assertNone(faults, schedules);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restore_test, "restore");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("restore");

} // namespace
} // namespace testing
} // namespace damaskward
