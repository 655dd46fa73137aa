// Tests of a team's rate limit over all entries. Simulated runs are compared with an exact token
// bucket and with the naive division of the limit among the entries.

#include "test/support/limits_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace {

using namespace damaskward;
using namespace damaskward::testing;

/// Tolerance for rounding errors of token_meter, which counts in doubles.
constexpr double rounding = 1e-6;

class limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limits_test);
    CPPUNIT_TEST(neverAboveRateAndBurst);
    CPPUNIT_TEST(fewRequestsRefusedWithinTheRate);
    CPPUNIT_TEST(skewedArrivalsBeatTheNaiveDivision);
    CPPUNIT_TEST(bucketIgnoresOlderTokenRequests);
    CPPUNIT_TEST(repeatedTokenRequestIsGrantedOnce);
    CPPUNIT_TEST(tokensExpireAtTheEntryFirst);
    CPPUNIT_TEST(newBucketStartsEmptyAndLate);
    CPPUNIT_TEST(failedTokenRequestIsNotRepeatedAtOnce);
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
            const limits_report report = runLimitsSimulation(options);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " excess "
                                       + std::to_string(report.excess),
                                   report.excess <= rounding);
            CPPUNIT_ASSERT(report.admitted > 0);
        }
    }

    void fewRequestsRefusedWithinTheRate()
    {
        limits_options options;
        options.demand = 0.8;
        const limits_report report = runLimitsSimulation(options);
        std::cerr << "\n  demand 0.8: refused within the limit " << report.refusedWithinLimit
                  << " of " << report.arrived << '\n';
        CPPUNIT_ASSERT(report.refusedWithinLimit * 100 <= report.arrived);
    }

    void skewedArrivalsBeatTheNaiveDivision()
    {
        limits_options options;
        options.demand = 0.8;
        options.skew = 0.7;
        const limits_report shared = runLimitsSimulation(options);
        options.naive = true;
        const limits_report naive = runLimitsSimulation(options);
        std::cerr << "\n  skewed, demand 0.8: refused within the limit "
                  << shared.refusedWithinLimit << " with a shared token bucket, "
                  << naive.refusedWithinLimit << " with the naive division, of " << shared.arrived
                  << '\n';
        CPPUNIT_ASSERT(shared.refusedWithinLimit * 10 < naive.refusedWithinLimit);
    }

    void bucketIgnoresOlderTokenRequests()
    {
        const time_point now{seconds(10)};
        const time_point authority = now + seconds(5);
        token_bucket bucket(10.0, 10.0, now, 10.0);
        CPPUNIT_ASSERT_EQUAL(3, bucket.draw({vm_id("e"), 2, 3, 0}, authority, now).granted);
        CPPUNIT_ASSERT_EQUAL(0, bucket.draw({vm_id("e"), 1, 3, 0}, authority, now).granted);
        // The repeated request gets the same response; the next one shows that no further token was
        // taken.
        CPPUNIT_ASSERT_EQUAL(3, bucket.draw({vm_id("e"), 2, 3, 0}, authority, now).granted);
        CPPUNIT_ASSERT_EQUAL(7, bucket.draw({vm_id("e"), 3, 9, 3}, authority, now).granted);
        CPPUNIT_ASSERT_EQUAL(0, bucket.draw({vm_id("f"), 1, 1, 0}, now, now).granted);
    }

    // The response to a token request is lost on an overloaded link, and the request is sent again.
    void repeatedTokenRequestIsGrantedOnce()
    {
        const time_point now{seconds(10)};
        const time_point authority = now + seconds(5);
        token_bucket bucket(10.0, 4.0, now, 4.0);
        token_cache cache(0);
        const auto tokenRequest = cache.nextDraw(vm_id("e"), 3, now);
        CPPUNIT_ASSERT_EQUAL(3, bucket.draw(*tokenRequest, authority, now).granted);
        CPPUNIT_ASSERT(!cache.repeatedRequest(now + milliseconds(1)).has_value());
        const time_point later = now + token_cache::drawRepeat;
        const auto again = cache.repeatedRequest(later);
        CPPUNIT_ASSERT(again.has_value());
        const token_response response = bucket.draw(*again, authority, later);
        CPPUNIT_ASSERT_EQUAL(3, response.granted);
        cache.finishDraw(response, later);
        CPPUNIT_ASSERT(!cache.repeatedRequest(later + token_cache::drawRepeat).has_value());
        CPPUNIT_ASSERT_EQUAL(1, bucket.draw({vm_id("f"), 1, 4, 0}, authority, later).granted);
    }

    void tokensExpireAtTheEntryFirst()
    {
        const time_point now{seconds(10)};
        token_cache cache;
        CPPUNIT_ASSERT(cache.nextDraw(vm_id("e"), 2, now).has_value());
        CPPUNIT_ASSERT(!cache.nextDraw(vm_id("e"), 2, now).has_value());
        token_response response;
        response.granted = 2;
        response.lifetimeMicros = 300000;
        cache.finishDraw(response, now + milliseconds(20));
        CPPUNIT_ASSERT(cache.trySpend(now + milliseconds(296)));
        CPPUNIT_ASSERT(!cache.trySpend(now + milliseconds(298)));
    }

    void failedTokenRequestIsNotRepeatedAtOnce()
    {
        // Guards against an endless loop: a token request that failed immediately was sent again
        // immediately.
        const time_point now{seconds(10)};
        token_cache cache;
        CPPUNIT_ASSERT(cache.nextDraw(vm_id("e"), 1, now).has_value());
        cache.finishDraw(std::nullopt, now);
        CPPUNIT_ASSERT(!cache.nextDraw(vm_id("e"), 1, now).has_value());
        CPPUNIT_ASSERT(cache.nextDraw(vm_id("e"), 1, now + milliseconds(20)).has_value());
    }

    void newBucketStartsEmptyAndLate()
    {
        const time_point now{seconds(10)};
        const time_point authority = now + seconds(5);
        token_bucket bucket(10.0, 10.0, now + tokenLifetime);
        CPPUNIT_ASSERT_EQUAL(0, bucket.draw({vm_id("e"), 1, 5, 0}, authority, now).granted);
        CPPUNIT_ASSERT_EQUAL(
            0, bucket.draw({vm_id("e"), 2, 5, 0}, authority, now + tokenLifetime).granted);
        CPPUNIT_ASSERT_EQUAL(
            1,
            bucket.draw({vm_id("e"), 3, 5, 0}, authority, now + tokenLifetime + milliseconds(150))
                .granted);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(limits_test, "limits");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("limits");

} // namespace
