// Admission: order of priority, feasible deadlines, return of refused callers, silent targets.

#include "src/Admission/admission_control.h"
#include "src/Admission/feasibility.h"
#include "src/Admission/refusal_counter.h"
#include "src/Admission/silence.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <vector>

namespace damaskward {
namespace testing {
namespace {

const time_point start{seconds(100)};
const service_id service("signoff");
const std::set<std::string> noneTried;

/// A pool of targets with two slots, and the decisions about requests to them.
struct admission_fixture
{
    explicit admission_fixture(int targetCount)
        : pool(data_center_id("near"))
        , admission(pool, [] { return 0.5; })
    {
        std::vector<target_record> records(static_cast<std::size_t>(targetCount));
        for (std::size_t i = 0; i < records.size(); ++i) {
            records[i].name = "t" + std::to_string(i);
            records[i].service = service;
            records[i].dataCenter = data_center_id("near");
            records[i].slots = 2;
            records[i].heartbeatCounter = 10;
        }
        pool.applyRegistry(records, start);
    }

    /// Reports the same load of each target.
    void reportAll(int running, int waiting, time_point now)
    {
        for (const auto &[name, t] : pool.all()) {
            target_pool::recordLoadReport(*pool.find(name), {running, waiting, 2, 1.0}, now);
        }
    }

    /// Records service times of 100 to 300 ms, of which 3 % are seven times as long.
    void measureServiceTimes()
    {
        std::mt19937 random(5);
        for (int i = 0; i < 1000; ++i) {
            const int millis = 100 + static_cast<int>(random() % 201);
            admission.recordServiceTime(*pool.find("t0"), milliseconds(millis * (i % 33 ? 1 : 7)));
        }
    }

    target_choice choose(int priority, milliseconds left, time_point now)
    {
        admission.recordArrival(service, priority, now);
        return admission.choose(
            {service, noneTried, false, priority, now + left},
            [&](const target_query &query) { return pool.choose(query, now); }, now);
    }

    target_pool pool;
    admission_control admission;
};

class admission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(lessUrgentRequestsYieldWhileAllTargetsAreFull);
    CPPUNIT_TEST(oneTargetWithRoomServesAll);
    CPPUNIT_TEST(infeasibleRequestIsRefusedAtOnce);
    CPPUNIT_TEST(feasibleRequestsAreNotRefused);
    CPPUNIT_TEST(retryAfterFollowsTheQueue);
    CPPUNIT_TEST(refusedCallersReturnInTime);
    CPPUNIT_TEST(refusalCountersHaveValidNames);
    CPPUNIT_TEST(silenceIsJudgedByOtherConnections);
    CPPUNIT_TEST(onlyFullTargetsPauseForSilence);
    CPPUNIT_TEST_SUITE_END();

    // All targets are full, and requests of three priorities arrive. Guards against less urgent
    // requests that take the place of more urgent ones, and against a priority that starves.
    void lessUrgentRequestsYieldWhileAllTargetsAreFull()
    {
        admission_fixture f(3);
        std::map<int, int> admitted;
        for (int i = 0; i < 1000; ++i) {
            const time_point now = start + milliseconds(i);
            f.reportAll(2, 2, now);
            for (const int priority : {0, 1, 2}) {
                admitted[priority] += f.choose(priority, seconds(2), now).target ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT_EQUAL(1000, admitted[0]);
        for (const int priority : {1, 2}) {
            CPPUNIT_ASSERT(admitted[priority] >= 45 && admitted[priority] <= 55);
        }
        // The urgent requests have ended.
        const time_point later = start + seconds(4);
        f.reportAll(2, 2, later);
        CPPUNIT_ASSERT(f.choose(1, seconds(2), later).target);
        CPPUNIT_ASSERT(!f.choose(2, seconds(2), later).target);
    }

    // Guards against refusals while a target has room, and of requests of a single priority.
    void oneTargetWithRoomServesAll()
    {
        admission_fixture f(3);
        f.reportAll(2, 2, start);
        for (int i = 0; i < 100; ++i) {
            CPPUNIT_ASSERT(f.choose(2, seconds(2), start).target);
        }
        target_pool::recordLoadReport(*f.pool.find("t1"), {2, 1, 2, 1.0}, start);
        for (const int priority : {0, 2, 1, 2, 2, 2}) {
            CPPUNIT_ASSERT(f.choose(priority, seconds(2), start).target);
        }
    }

    // A request with little time left meets long queues. Guards against requests that occupy a
    // target although their callers have gone when they are answered.
    void infeasibleRequestIsRefusedAtOnce()
    {
        admission_fixture f(2);
        f.reportAll(2, 20, start);
        f.measureServiceTimes();
        CPPUNIT_ASSERT(!f.choose(0, milliseconds(400), start).target);
        CPPUNIT_ASSERT(!f.admission.hasTimeFor(service, start + milliseconds(80), start));
        CPPUNIT_ASSERT(f.choose(0, seconds(4), start).target);
        // A target with a short queue can answer in time.
        target_pool::recordLoadReport(*f.pool.find("t1"), {2, 1, 2, 1.0}, start);
        const target_choice choice = f.choose(0, milliseconds(400), start);
        CPPUNIT_ASSERT(choice.target && choice.target->record.name == "t1");
        // The report of the other queue is too old to be certain.
        const time_point later = start + milliseconds(300);
        CPPUNIT_ASSERT(f.admission.canAnswer(*f.pool.find("t0"), later + milliseconds(400), later));
    }

    // Simulates a full queue of a target with exponential service times. Guards against an
    // estimate that refuses requests which would have been answered in time.
    void feasibleRequestsAreNotRefused()
    {
        service_times times;
        std::mt19937 random(9);
        std::exponential_distribution<double> work(1.0 / 200.0);
        for (int i = 0; i < 2000; ++i) {
            times.add(service, "t", work(random));
        }
        const auto profile = times.of(service, "t");
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200.0, profile.meanMillis, 20.0);
        CPPUNIT_ASSERT(profile.highMillis >= 550.0 && profile.highMillis <= 800.0);
        for (const int requests : {0, 3, 9, 15, 30}) {
            const target_load load{static_cast<double>(requests), 3, 1.0};
            const auto shortest = static_cast<double>(shortestAnswerTime(profile, load).count());
            int earlier = 0;
            for (int run = 0; run < 2000; ++run) {
                std::array<double, 3> freeAt{}; // When each slot becomes free.
                double answeredAt = 0.0;
                for (int i = 0; i <= requests; ++i) {
                    double &slot = *std::min_element(freeAt.begin(), freeAt.end());
                    answeredAt = slot += work(random);
                }
                earlier += answeredAt < shortest ? 1 : 0;
            }
            CPPUNIT_ASSERT(earlier <= 40);
        }
    }

    // Guards against callers that return to a queue that is still full, or long after it is empty.
    void retryAfterFollowsTheQueue()
    {
        admission_fixture f(1);
        f.measureServiceTimes();
        f.reportAll(2, 1, start);
        const milliseconds shortQueue = f.admission.drainTime(service, start);
        f.reportAll(2, 9, start);
        const milliseconds longQueue = f.admission.drainTime(service, start);
        CPPUNIT_ASSERT(shortQueue >= milliseconds(150) && shortQueue <= milliseconds(350));
        CPPUNIT_ASSERT(longQueue >= 4 * shortQueue && longQueue <= 6 * shortQueue);
        target_pool::recordPause(*f.pool.find("t0"), start + seconds(20));
        CPPUNIT_ASSERT(f.admission.drainTime(service, start) == seconds(20));
        // Half of the requests are admitted: the excess of 0.7 s takes as long to serve.
        f.admission.ownerThrottle().setShares({{"t0", 0.5}}, {}, start + seconds(1));
        CPPUNIT_ASSERT(f.admission.ownerThrottle().drainTime("t0", start) == milliseconds(700));
    }

    // Guards against a Retry-After that the caller's time does not allow, and against callers that
    // all return at once, or the less urgent ones first.
    void refusedCallersReturnInTime()
    {
        retry_delay_query query;
        query.drain = seconds(5);
        query.remaining = milliseconds(1500);
        query.expectedAnswerTime = milliseconds(200);
        CPPUNIT_ASSERT(retryDelay(query, 1.0) <= milliseconds(500));
        CPPUNIT_ASSERT(retryDelay(query, 0.0) <= milliseconds(350));
        query.expectedAnswerTime = milliseconds(1200);
        CPPUNIT_ASSERT(retryDelay(query, 1.0) <= milliseconds(300));
        query.expectedAnswerTime = milliseconds(1600);
        CPPUNIT_ASSERT(retryDelay(query, 1.0) == milliseconds(0));
        query.remaining.reset();
        CPPUNIT_ASSERT(retryDelay(query, 0.0) == seconds(5));
        query.priority = 2;
        CPPUNIT_ASSERT(retryDelay(query, 0.0) == milliseconds(7500));
    }

    // Guards against counters that Prometheus cannot read, and against one for each of the
    // configuration's priorities.
    void refusalCountersHaveValidNames()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("refused_p2_owners_data_centre_is_unreachable"),
                             refusalCounter("owner's data centre is unreachable", 2));
        CPPUNIT_ASSERT_EQUAL(std::string("refused_p9_no_target"), refusalCounter("no target", 500));
    }

    // A full target drops one request and answers those on other connections. Guards against
    // callers that wait on the silent connection, and against a slow target that is taken for a
    // full one.
    void silenceIsJudgedByOtherConnections()
    {
        connection_evidence evidence;
        const auto at = [](int millis) { return start + milliseconds(millis); };
        CPPUNIT_ASSERT(evidence.causeOfSilence("t", at(10)) == silence_cause::Slow);
        evidence.recordAnswer("t", at(5), at(700));
        evidence.recordAnswer("t", at(20), at(700));
        CPPUNIT_ASSERT(evidence.causeOfSilence("t", at(10)) == silence_cause::Slow);
        evidence.recordAnswer("t", at(15), at(800));
        CPPUNIT_ASSERT(evidence.causeOfSilence("t", at(10)) == silence_cause::Full);
        evidence.recordNoConnection("t", false, at(900));
        CPPUNIT_ASSERT(evidence.causeOfSilence("t", at(850)) == silence_cause::CutOff);
        evidence.recordNoConnection("t", true, at(950));
        CPPUNIT_ASSERT(evidence.causeOfSilence("t", at(850)) == silence_cause::Dead);
    }

    // A long request is overtaken on a target with room in its queue. Guards against a pause that
    // takes a sound target from all requests of the VM.
    void onlyFullTargetsPauseForSilence()
    {
        for (const bool isFull : {false, true}) {
            admission_fixture f(1);
            f.measureServiceTimes();
            const time_point now = start + milliseconds(900);
            f.admission.evidence().recordAnswer("t0", start + milliseconds(100), now);
            f.admission.evidence().recordAnswer("t0", start + milliseconds(200), now);
            f.reportAll(2, isFull ? 2 : 1, now);
            CPPUNIT_ASSERT(f.admission.judgeSilence("t0", start, now) == silence_cause::Full);
            CPPUNIT_ASSERT_EQUAL(isFull,
                                 target_pool::pauseLeft(*f.pool.find("t0"), now).count() > 0);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(admission_test, "admission");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("admission");

} // namespace
} // namespace testing
} // namespace damaskward
