// Checks that every shard has at most one owner at any time. Seeded schedules simulate pauses and
// restarts of VMs and targets, network and platform failures, lost answers and concurrent changes
// by operators. Further tests switch on one defect each and check that the observer detects it.

#include "test/support/ownership_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <thread>

namespace {

using namespace damaskward;
using namespace damaskward::testing;

/// The combined results of several schedules.
struct survey
{
    std::vector<std::string> violations;
    std::vector<std::uint64_t> unrecovered; ///< seeds of schedules that did not recover
    std::uint64_t moves = 0;
    std::uint64_t expirations = 0;
    std::uint64_t holdovers = 0;
};

survey runSchedules(std::uint64_t firstSeed, std::uint64_t count, const schedule_options &base)
{
    survey found;
    std::mutex mutex;
    std::atomic<std::uint64_t> next{firstSeed};
    const auto runRemaining = [&] {
        while (true) {
            const std::uint64_t seed = next++;
            if (seed >= firstSeed + count) {
                return;
            }
            schedule_options options = base;
            options.seed = seed;
            const schedule_report report = ownership_simulation(options).run();
            const std::lock_guard lock(mutex);
            if (!report.violation.empty()) {
                found.violations.push_back("seed " + std::to_string(seed) + ": "
                                           + report.violation);
            } else if (!report.recovered) {
                found.unrecovered.push_back(seed);
            }
            found.moves += report.moves;
            found.expirations += report.expirations;
            found.holdovers += report.holdovers;
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i) {
        threads.emplace_back(runRemaining);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return found;
}

/// \returns the first seed. If DAMASKWARD_SEED is set, only the schedule of that seed runs.
std::uint64_t firstSeed()
{
    const char *text = std::getenv("DAMASKWARD_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

std::uint64_t seedCount(std::uint64_t defaultCount)
{
    return std::getenv("DAMASKWARD_SEED") == nullptr ? defaultCount : 1;
}

class ownership_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ownership_test);
    CPPUNIT_TEST(keepsOneOwnerUnderAllFaults);
    CPPUNIT_TEST(keepsOneOwnerWithTwoVms);
    CPPUNIT_TEST(detectsMissingFencing);
    CPPUNIT_TEST(detectsLeaseCountedFromArrival);
    CPPUNIT_TEST(detectsTakeoverWithoutVotes);
    CPPUNIT_TEST(detectsMovesWithoutRoleCheck);
    CPPUNIT_TEST(detectsClocksBeyondDriftBound);
    CPPUNIT_TEST_SUITE_END();

    static void expectSafe(const schedule_options &options, std::uint64_t seeds)
    {
        const survey found = runSchedules(firstSeed(), seedCount(seeds), options);
        const std::string first = found.violations.empty() ? "" : found.violations.front();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(first, std::size_t{0}, found.violations.size());
        const std::uint64_t seed = found.unrecovered.empty() ? 0 : found.unrecovered.front();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("some shards were not granted after recovery; first seed "
                                         + std::to_string(seed),
                                     std::size_t{0}, found.unrecovered.size());
        std::cerr << "\n  schedules " << seedCount(seeds) << ", moves " << found.moves
                  << ", expired sessions " << found.expirations << ", steps in holdover "
                  << found.holdovers << '\n';
    }

    static void expectDetected(const injected_defects &defects)
    {
        schedule_options options;
        options.defects = defects;
        constexpr std::uint64_t seeds = 400;
        const survey found = runSchedules(1, seeds, options);
        CPPUNIT_ASSERT_MESSAGE("the observer detected no violation in any schedule",
                               !found.violations.empty());
        std::cerr << "\n  violations detected in " << found.violations.size() << " of " << seeds
                  << " schedules, such as " << found.violations.front() << '\n';
    }

    void keepsOneOwnerUnderAllFaults() { expectSafe(schedule_options{}, 2000); }

    void keepsOneOwnerWithTwoVms()
    {
        schedule_options options;
        options.vms = 2;
        options.remoteVms = 2;
        expectSafe(options, 500);
    }

    void detectsMissingFencing()
    {
        injected_defects defects;
        defects.noFencing = true;
        expectDetected(defects);
    }

    void detectsLeaseCountedFromArrival()
    {
        injected_defects defects;
        defects.leaseCountsFromArrival = true;
        expectDetected(defects);
    }

    void detectsTakeoverWithoutVotes()
    {
        injected_defects defects;
        defects.approvesWithoutVotes = true;
        expectDetected(defects);
    }

    void detectsMovesWithoutRoleCheck()
    {
        injected_defects defects;
        defects.noRoleCheck = true;
        expectDetected(defects);
    }

    void detectsClocksBeyondDriftBound()
    {
        injected_defects defects;
        defects.fastClocks = true;
        expectDetected(defects);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ownership_test, "ownership");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("ownership");

} // namespace
