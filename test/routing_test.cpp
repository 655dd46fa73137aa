// Tests of the gate's queue, the choice among targets, retry budgets, votes, group commit and crash
// counts.

#include "damaskward/Requests"
#include "damaskward/Routing"
#include "tools/standin/memory_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace {

using namespace damaskward;

const time_point start{seconds(100)};

target_id targetNamed(const std::string &name)
{
    return {service_id("s"), name};
}

class routing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(routing_test);
    CPPUNIT_TEST(queueObeysSlotsAgainstNaive);
    CPPUNIT_TEST(teamsAreServedRoundRobin);
    CPPUNIT_TEST(warmingUpTargetGetsFewerSlots);
    CPPUNIT_TEST(requestsPastTheirDeadlineAreRefusedAtOnce);
    CPPUNIT_TEST(closedQueueSendsNothing);
    CPPUNIT_TEST(outlierIsEjected);
    CPPUNIT_TEST(atMostHalfAreEjected);
    CPPUNIT_TEST(retriesStayWithinTheirBudget);
    CPPUNIT_TEST(quorumsAlwaysIntersect);
    CPPUNIT_TEST(votesAndPromisesExcludeEachOther);
    CPPUNIT_TEST(groupCommitAgainstNaive);
    CPPUNIT_TEST(crashesAreCountedByFingerprint);
    CPPUNIT_TEST_SUITE_END();

    void queueObeysSlotsAgainstNaive()
    {
        // The naive version is a plain list of the waiting requests.
        std::mt19937_64 random(3);
        gate_queue queue({3, 1, milliseconds(0)});
        queue.setOpen(true);
        queue.setBoot(1, start);
        std::vector<request_number> naiveWaiting;
        std::vector<request_number> running;
        request_number next = 0;
        for (int step = 0; step < 5000; ++step) {
            const time_point now = start + milliseconds(step);
            const int action = std::uniform_int_distribution<int>(0, 2)(random);
            if (action == 0) {
                const bool isQueued =
                    queue.enqueue({++next, team_id("one"), now + seconds(1000)}, now);
                if (isQueued) {
                    naiveWaiting.push_back(next);
                }
            } else if (action == 1 && !running.empty()) {
                queue.finish(running.front(), true, now);
                running.erase(running.begin());
            }
            while (const auto number = queue.dispatch(now)) {
                CPPUNIT_ASSERT_EQUAL(naiveWaiting.front(), *number);
                naiveWaiting.erase(naiveWaiting.begin());
                running.push_back(*number);
            }
            CPPUNIT_ASSERT(running.size() <= 3);
            CPPUNIT_ASSERT(naiveWaiting.empty() || running.size() == 3);
            CPPUNIT_ASSERT_EQUAL(naiveWaiting.size(), queue.waiting());
        }
    }

    void teamsAreServedRoundRobin()
    {
        gate_queue queue({1, 1, milliseconds(0)});
        queue.setOpen(true);
        for (request_number n = 1; n <= 10; ++n) {
            queue.enqueue({n, team_id("big"), start + seconds(9)}, start);
        }
        queue.enqueue({11, team_id("small"), start + seconds(9)}, start);
        CPPUNIT_ASSERT_EQUAL(request_number{1}, queue.dispatch(start).value());
        queue.finish(1, true, start);
        CPPUNIT_ASSERT_EQUAL(request_number{11}, queue.dispatch(start).value());
    }

    void warmingUpTargetGetsFewerSlots()
    {
        gate_queue queue({4, 1, milliseconds(500)});
        queue.setOpen(true);
        queue.setBoot(7, start);
        for (request_number n = 1; n <= 10; ++n) {
            queue.enqueue({n, team_id("t"), start + seconds(9)}, start);
        }
        CPPUNIT_ASSERT(queue.dispatch(start).has_value());
        CPPUNIT_ASSERT(!queue.dispatch(start + milliseconds(499)).has_value());
        const time_point warmupEnd = start + milliseconds(500);
        CPPUNIT_ASSERT(queue.dispatch(warmupEnd).has_value());
        queue.setRunningFromOtherGate(2); // Requests of another gate occupy slots, too.
        CPPUNIT_ASSERT(!queue.dispatch(warmupEnd).has_value());
        queue.setRunningFromOtherGate(0);
        queue.setBoot(8, warmupEnd); // The target has restarted.
        CPPUNIT_ASSERT(!queue.dispatch(warmupEnd).has_value());
    }

    void requestsPastTheirDeadlineAreRefusedAtOnce()
    {
        gate_queue queue({1, 1, milliseconds(0)});
        queue.setOpen(true);
        queue.enqueue({1, team_id("t"), start + seconds(9)}, start);
        queue.dispatch(start);
        queue.finish(1, true, start + milliseconds(100)); // The service time is 100 ms.
        const time_point now = start + milliseconds(100);
        CPPUNIT_ASSERT(!queue.enqueue({2, team_id("t"), now + milliseconds(90)}, now));
        CPPUNIT_ASSERT(queue.enqueue({3, team_id("t"), now + milliseconds(110)}, now));
        CPPUNIT_ASSERT(!queue.enqueue({4, team_id("t"), now + milliseconds(110)}, now));
        const auto expired = queue.expire(now + milliseconds(110));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expired.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.waiting());
        CPPUNIT_ASSERT(!queue.dispatch(now + milliseconds(111)).has_value());
    }

    void closedQueueSendsNothing()
    {
        gate_queue queue({2, 2, milliseconds(0)});
        CPPUNIT_ASSERT(queue.enqueue({1, team_id("t"), start + seconds(9)}, start));
        CPPUNIT_ASSERT(!queue.dispatch(start).has_value());
        CPPUNIT_ASSERT(queue.cancel(1));
        CPPUNIT_ASSERT(!queue.cancel(1));
        queue.enqueue({2, team_id("t"), start + seconds(9)}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.drainAll().size());
        queue.setOpen(true);
        CPPUNIT_ASSERT(!queue.dispatch(start).has_value());
    }

    void outlierIsEjected()
    {
        target_chooser chooser(true);
        std::vector<target_id> all;
        all.reserve(6);
        for (int i = 0; i < 6; ++i) {
            all.push_back(targetNamed("t" + std::to_string(i)));
        }
        for (int round = 0; round < 10; ++round) {
            for (std::size_t i = 0; i < all.size(); ++i) {
                chooser.recordRequestSent(all[i]);
                chooser.recordRequestCompleted(all[i], milliseconds(i == 2 ? 100 : 5), start);
            }
        }
        CPPUNIT_ASSERT(chooser.isEjected(all[2], start));
        for (int i = 0; i < 100; ++i) {
            CPPUNIT_ASSERT(*chooser.choose(all, std::nullopt, start) != all[2]);
        }
        CPPUNIT_ASSERT(!chooser.isEjected(all[2], start + seconds(2)));
    }

    void atMostHalfAreEjected()
    {
        target_chooser chooser(true);
        std::mt19937_64 random(5);
        std::vector<target_id> all;
        all.reserve(6);
        for (int i = 0; i < 6; ++i) {
            all.push_back(targetNamed("t" + std::to_string(i)));
        }
        for (int i = 0; i < 2000; ++i) {
            const target_id &t = all[static_cast<std::size_t>(i) % all.size()];
            chooser.recordRequestSent(t);
            chooser.recordRequestCompleted(
                t, milliseconds(std::uniform_int_distribution<int>(1, 500)(random)), start);
            const auto ejected =
                std::count_if(all.begin(), all.end(), [&](const target_id &target) {
                    return chooser.isEjected(target, start);
                });
            CPPUNIT_ASSERT(ejected <= 3);
            CPPUNIT_ASSERT(chooser.choose(all, t, start).has_value());
        }
    }

    void retriesStayWithinTheirBudget()
    {
        retry_budget budget(0.1, 5.0);
        int retries = 0;
        for (int i = 0; i < 10000; ++i) {
            budget.earn();
            retries += budget.trySpend() ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries <= 10000 / 10 + 5);
        CPPUNIT_ASSERT(retries >= 900);
    }

    void quorumsAlwaysIntersect()
    {
        for (std::size_t n = 1; n <= 60; ++n) {
            CPPUNIT_ASSERT(promiseQuorum(n) + expirationQuorum(n) > n);
            CPPUNIT_ASSERT(expirationQuorum(n) < n || n == 1);
        }
        CPPUNIT_ASSERT(promiseQuorum(1) > 1); // A single VM may not use holdover.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expirationQuorum(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, expirationQuorum(4));
    }

    void votesAndPromisesExcludeEachOther()
    {
        vote_record votes;
        const vm_id vm("x");
        CPPUNIT_ASSERT(votes.tryPromise(vm, 5, start + seconds(1)));
        CPPUNIT_ASSERT(!votes.tryApprove(vm, 5, start + seconds(1)));
        CPPUNIT_ASSERT(votes.tryApprove(vm, 5, start + seconds(1) + nanoseconds(1)));
        CPPUNIT_ASSERT(!votes.tryPromise(vm, 5, start + seconds(3)));
        CPPUNIT_ASSERT(!votes.tryPromise(vm, 4, start + seconds(3)));
        CPPUNIT_ASSERT(votes.tryPromise(vm, 6, start + seconds(3)));
    }

    void groupCommitAgainstNaive()
    {
        // The naive version writes one row after the other; both must produce the same rows.
        std::mt19937_64 random(11);
        for (int round = 0; round < 200; ++round) {
            standin::memory_table grouped;
            standin::memory_table naive;
            group_committer committer;
            std::vector<pending_write> writes;
            for (std::uint64_t ticket = 1; ticket <= 20; ++ticket) {
                const std::string row =
                    "row-" + std::to_string(std::uniform_int_distribution<int>(0, 8)(random));
                writes.push_back({ticket, row, 0, "by " + std::to_string(ticket)});
                committer.add(writes.back());
            }
            std::map<std::uint64_t, write_outcome> outcomes;
            while (const auto transaction = committer.next()) {
                for (const finished_write &w : committer.finish(grouped.commit(*transaction))) {
                    outcomes[w.ticket] = w.outcome;
                }
            }
            for (const pending_write &w : writes) {
                table_transaction one;
                one.replace(w.rowName, w.expected, w.value);
                const bool applied = naive.commit(one).outcome == commit_outcome::Applied;
                CPPUNIT_ASSERT(outcomes.at(w.ticket)
                               == (applied ? write_outcome::Applied : write_outcome::Conflict));
            }
            for (const auto &[name, row] : naive.rows()) {
                CPPUNIT_ASSERT_EQUAL(row.value, grouped.rows().at(name).value);
            }
        }
    }

    void crashesAreCountedByFingerprint()
    {
        crash_tracker crashes;
        CPPUNIT_ASSERT(!crashes.recordCrash(1, start));
        CPPUNIT_ASSERT(!crashes.isQuarantined(1, start));
        crashes.recordAnswer(1); // An answer resets the count: request 1 did not cause the crash.
        CPPUNIT_ASSERT(!crashes.recordCrash(1, start));
        CPPUNIT_ASSERT(crashes.recordCrash(1, start));
        CPPUNIT_ASSERT(crashes.isQuarantined(1, start));
        CPPUNIT_ASSERT(!crashes.isQuarantined(2, start));
        CPPUNIT_ASSERT(!crashes.isQuarantined(1, start + quarantineTime));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(routing_test, "routing");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("routing");

} // namespace
