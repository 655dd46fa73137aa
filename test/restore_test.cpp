// Ranges of keys while the store comes back from an older copy: the record of the owners, versions
// and fencing tokens that the store had acknowledged are gone.

#include "support/range_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

namespace damaskward {
namespace testing {
namespace {

class restore_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restore_test);
    CPPUNIT_TEST(oneOwnerAcrossStoreRestores);
    CPPUNIT_TEST(ownersSurviveShortRestore);
    CPPUNIT_TEST(oneOwnerIfRestoreLosesNothing);
    CPPUNIT_TEST_SUITE_END();

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
