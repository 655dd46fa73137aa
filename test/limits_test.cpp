// A team's rate and burst over all entries, against an exact bucket and against the naive split.

#include "test/support/limits_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace {

using namespace damaskward;
using namespace damaskward::testing;

/// The meter counts in doubles.
constexpr double rounding = 1e-6;

class limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limits_test);
    CPPUNIT_TEST(neverAboveRateAndBurst);
    CPPUNIT_TEST(fewRefusedInsideTheRate);
    CPPUNIT_TEST(skewedArrivalsBeatTheNaiveSplit);
    CPPUNIT_TEST(bankTakesNoOlderDraw);
    CPPUNIT_TEST(repeatedDrawIsGrantedOnce);
    CPPUNIT_TEST(tokensLapseAtTheEntryFirst);
    CPPUNIT_TEST(newBankStartsEmptyAndLate);
    CPPUNIT_TEST(unreachableBankIsNotAskedAtOnceAgain);
    CPPUNIT_TEST_SUITE_END();

    void neverAboveRateAndBurst()
    {
        constexpr std::uint64_t seeds = 60;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            limits_options options;
            options.seed = seed;
            options.demand = seed % 3 == 0 ? 5.0 : 1.2;
            options.skew = seed % 2 == 0 ? 0.8 : 0.0;
            options.burst = seed % 5 == 0 ? 5.0 : 40.0;
            options.faults = true;
            const limits_report report = runLimits(options);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " excess "
                                       + std::to_string(report.excess),
                                   report.excess <= rounding);
            CPPUNIT_ASSERT(report.admitted > 0);
        }
    }

    void fewRefusedInsideTheRate()
    {
        limits_options options;
        options.demand = 0.8;
        const limits_report report = runLimits(options);
        std::cerr << "\n  demand 0.8: refused inside " << report.refusedInside << " of "
                  << report.arrived << '\n';
        CPPUNIT_ASSERT(report.refusedInside * 100 <= report.arrived);
    }

    void skewedArrivalsBeatTheNaiveSplit()
    {
        limits_options options;
        options.demand = 0.8;
        options.skew = 0.7;
        const limits_report banked = runLimits(options);
        options.naive = true;
        const limits_report naive = runLimits(options);
        std::cerr << "\n  skewed, demand 0.8: refused inside " << banked.refusedInside
                  << " with banks, " << naive.refusedInside << " with the naive split, of "
                  << banked.arrived << '\n';
        CPPUNIT_ASSERT(banked.refusedInside * 10 < naive.refusedInside);
    }

    void bankTakesNoOlderDraw()
    {
        const time_point now{seconds(10)};
        const time_point authority = now + seconds(5);
        team_bank bank(10.0, 10.0, now, 10.0);
        CPPUNIT_ASSERT_EQUAL(3, bank.draw({vm_id("e"), 2, 3, 0}, authority, now).granted);
        CPPUNIT_ASSERT_EQUAL(0, bank.draw({vm_id("e"), 1, 3, 0}, authority, now).granted);
        // The same draw again brings the same answer; the next one finds that nothing more was
        // taken.
        CPPUNIT_ASSERT_EQUAL(3, bank.draw({vm_id("e"), 2, 3, 0}, authority, now).granted);
        CPPUNIT_ASSERT_EQUAL(7, bank.draw({vm_id("e"), 3, 9, 3}, authority, now).granted);
        CPPUNIT_ASSERT_EQUAL(0, bank.draw({vm_id("f"), 1, 1, 0}, now, now).granted);
    }

    // The pattern of a full link: the answer to a draw is lost, and the draw is sent again.
    void repeatedDrawIsGrantedOnce()
    {
        const time_point now{seconds(10)};
        const time_point authority = now + seconds(5);
        team_bank bank(10.0, 4.0, now, 4.0);
        team_account account(0);
        const auto draw = account.nextDraw(vm_id("e"), 3, now);
        CPPUNIT_ASSERT_EQUAL(3, bank.draw(*draw, authority, now).granted);
        CPPUNIT_ASSERT(!account.repeatedRequest(now + milliseconds(1)).has_value());
        const time_point later = now + team_account::drawRepeat;
        const auto again = account.repeatedRequest(later);
        CPPUNIT_ASSERT(again.has_value());
        const draw_answer answer = bank.draw(*again, authority, later);
        CPPUNIT_ASSERT_EQUAL(3, answer.granted);
        account.finishDraw(answer, later);
        CPPUNIT_ASSERT(!account.repeatedRequest(later + team_account::drawRepeat).has_value());
        CPPUNIT_ASSERT_EQUAL(1, bank.draw({vm_id("f"), 1, 4, 0}, authority, later).granted);
    }

    void tokensLapseAtTheEntryFirst()
    {
        const time_point now{seconds(10)};
        team_account account;
        CPPUNIT_ASSERT(account.nextDraw(vm_id("e"), 2, now).has_value());
        CPPUNIT_ASSERT(!account.nextDraw(vm_id("e"), 2, now).has_value());
        draw_answer answer;
        answer.granted = 2;
        answer.lifetimeMicros = 300000;
        account.finishDraw(answer, now + milliseconds(20));
        CPPUNIT_ASSERT(account.trySpend(now + milliseconds(296)));
        CPPUNIT_ASSERT(!account.trySpend(now + milliseconds(298)));
    }

    void unreachableBankIsNotAskedAtOnceAgain()
    {
        // A draw that failed at once was drawn again at once, without end.
        const time_point now{seconds(10)};
        team_account account;
        CPPUNIT_ASSERT(account.nextDraw(vm_id("e"), 1, now).has_value());
        account.finishDraw(std::nullopt, now);
        CPPUNIT_ASSERT(!account.nextDraw(vm_id("e"), 1, now).has_value());
        CPPUNIT_ASSERT(account.nextDraw(vm_id("e"), 1, now + milliseconds(20)).has_value());
    }

    void newBankStartsEmptyAndLate()
    {
        const time_point now{seconds(10)};
        const time_point authority = now + seconds(5);
        team_bank bank(10.0, 10.0, now + tokenLifetime);
        CPPUNIT_ASSERT_EQUAL(0, bank.draw({vm_id("e"), 1, 5, 0}, authority, now).granted);
        CPPUNIT_ASSERT_EQUAL(
            0, bank.draw({vm_id("e"), 2, 5, 0}, authority, now + tokenLifetime).granted);
        CPPUNIT_ASSERT_EQUAL(
            1,
            bank.draw({vm_id("e"), 3, 5, 0}, authority, now + tokenLifetime + milliseconds(150))
                .granted);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(limits_test, "limits");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("limits");

} // namespace
