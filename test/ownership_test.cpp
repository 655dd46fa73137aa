// One owner per key, under thousands of seeded schedules of pauses, cuts, losses, lost answers and
// racing operators; and proof that the observer sees each deliberately broken part.

#include "test/support/ownership_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <thread>

namespace {

using namespace damaskward;
using namespace damaskward::testing;

/// What many schedules showed together.
struct survey
{
    std::vector<std::string> violations;
    std::vector<std::uint64_t> unrecovered; ///< seeds
    std::uint64_t moves = 0;
    std::uint64_t lapses = 0;
    std::uint64_t holdovers = 0;
};

survey runSchedules(std::uint64_t firstSeed, std::uint64_t count, const world_options &base)
{
    survey found;
    std::mutex mutex;
    std::atomic<std::uint64_t> next{firstSeed};
    const auto work = [&] {
        while (true) {
            const std::uint64_t seed = next++;
            if (seed >= firstSeed + count) {
                return;
            }
            world_options options = base;
            options.seed = seed;
            const world_report report = ownership_world(options).run();
            const std::lock_guard lock(mutex);
            if (!report.violation.empty()) {
                found.violations.push_back("seed " + std::to_string(seed) + ": "
                                           + report.violation);
            } else if (!report.recovered) {
                found.unrecovered.push_back(seed);
            }
            found.moves += report.moves;
            found.lapses += report.lapses;
            found.holdovers += report.holdovers;
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i) {
        threads.emplace_back(work);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return found;
}

/// DAMASKWARD_SEED=N runs that one schedule instead of the usual ones.
std::uint64_t firstSeed()
{
    const char *text = std::getenv("DAMASKWARD_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

std::uint64_t seedCount(std::uint64_t usual)
{
    return std::getenv("DAMASKWARD_SEED") == nullptr ? usual : 1;
}

class ownership_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ownership_test);
    CPPUNIT_TEST(oneOwnerUnderEverything);
    CPPUNIT_TEST(oneOwnerWithTwoVms);
    CPPUNIT_TEST(observerSeesMissingFencing);
    CPPUNIT_TEST(observerSeesDeadlineAtArrival);
    CPPUNIT_TEST(observerSeesTakeoverWithoutVotes);
    CPPUNIT_TEST(observerSeesMovesWithoutRoleCheck);
    CPPUNIT_TEST(observerSeesClocksBeyondTheBound);
    CPPUNIT_TEST_SUITE_END();

    static void expectSafe(const world_options &options, std::uint64_t seeds)
    {
        const survey found = runSchedules(firstSeed(), seedCount(seeds), options);
        const std::string first = found.violations.empty() ? "" : found.violations.front();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(first, std::size_t{0}, found.violations.size());
        const std::uint64_t seed = found.unrecovered.empty() ? 0 : found.unrecovered.front();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("not recovered, first seed " + std::to_string(seed),
                                     std::size_t{0}, found.unrecovered.size());
        std::cerr << "\n  schedules " << seedCount(seeds) << ", moves " << found.moves
                  << ", lapses " << found.lapses << ", steps in holdover " << found.holdovers
                  << '\n';
    }

    static void expectCaught(const broken_parts &broken)
    {
        world_options options;
        options.broken = broken;
        constexpr std::uint64_t seeds = 400;
        const survey found = runSchedules(1, seeds, options);
        CPPUNIT_ASSERT_MESSAGE("the observer saw nothing", !found.violations.empty());
        std::cerr << "\n  caught in " << found.violations.size() << " of " << seeds
                  << " schedules, such as " << found.violations.front() << '\n';
    }

    void oneOwnerUnderEverything() { expectSafe(world_options{}, 2000); }

    void oneOwnerWithTwoVms()
    {
        world_options options;
        options.vms = 2;
        options.farVms = 2;
        expectSafe(options, 500);
    }

    void observerSeesMissingFencing()
    {
        broken_parts broken;
        broken.noFencing = true;
        expectCaught(broken);
    }

    void observerSeesDeadlineAtArrival()
    {
        broken_parts broken;
        broken.deadlineAtArrival = true;
        expectCaught(broken);
    }

    void observerSeesTakeoverWithoutVotes()
    {
        broken_parts broken;
        broken.votesUnasked = true;
        expectCaught(broken);
    }

    void observerSeesMovesWithoutRoleCheck()
    {
        broken_parts broken;
        broken.noRoleCheck = true;
        expectCaught(broken);
    }

    void observerSeesClocksBeyondTheBound()
    {
        broken_parts broken;
        broken.fastClocks = true;
        expectCaught(broken);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ownership_test, "ownership");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("ownership");

} // namespace
