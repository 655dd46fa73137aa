// Ranges of keys while the store comes back from an older copy: the record of the owners, versions
// and fencing tokens that the store had acknowledged are gone.

#include "support/range_simulation.h"

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

/// One coordinator with a scripted store and targets that answer all commands unless told
/// otherwise.
class scripted_coordinator
{
public:
    scripted_coordinator(store_era storeEra, bool firstStart)
        : era(storeEra)
    {
        store.read = [this](const std::string &, const std::string &prefix,
                            const row_callback &done) { read(prefix, done); };
        store.commit = [this](const std::string &, const table_transaction &transaction,
                              const commit_callback &done) { commit(transaction, done); };
        role = std::make_unique<coordinator_role>(
            store, "own",
            [this](const range_command &command, const std::string &,
                   const coordinator_role::command_callback &done) { answer(command, done); },
            targets, peers, log, 1, seconds(10), firstStart, [this] { return now; },
            [](const owner_update &) {}, [](const owner_shares &) {});
        deployment config;
        config.services[service_id("lookup")].keyed = true;
        role->setDeployment(config);
        for (const char *name : {"t0", "t1", "t2"}) {
            target_record record;
            record.name = name;
            record.service = service_id("lookup");
            record.address = name;
            record.incarnation = 1;
            record.slots = 2;
            records[name] = record;
        }
    }

    void runUntil(duration end)
    {
        for (; now < start + end; now += milliseconds(5)) {
            const auto due = std::exchange(m_pending, {});
            for (const auto &[at, action] : due) {
                if (at <= now) {
                    action();
                } else {
                    m_pending.emplace_back(at, action);
                }
            }
            if (m_step % 100 == 0) {
                std::vector<target_record> list;
                for (auto &[name, record] : records) {
                    ++record.heartbeatCounter;
                    list.push_back(record);
                }
                targets.applyRegistry(list, now);
            }
            if (m_step++ % 10 == 0) {
                role->tick(now);
            }
        }
    }

    /// Comes back with \a copy and a lower counter, in the next era.
    void restore(const std::map<std::string, table_row> &copy)
    {
        rows = copy;
        m_counter /= 2;
        ++era;
        isAway = false;
    }

    static constexpr time_point start{seconds(1000)};
    time_point now = start;
    store_port store;
    target_pool targets{data_center_id("dc")};
    membership peers{"vm-0"};
    request_log log{"vm-0", -1};
    std::unique_ptr<coordinator_role> role;
    std::map<std::string, target_record> records;
    std::map<std::string, table_row> rows;
    store_era era;
    bool isAway = false;
    int refusals = 0; ///< writes to refuse
    milliseconds answerTime{10};
    std::set<std::string> unresponsive; ///< targets
    std::vector<std::string> violations;

private:
    struct key_holder
    {
        std::string target;
        std::uint64_t fencingToken = 0;
        time_point until{};
    };

    void after(duration span, std::function<void()> action)
    {
        m_pending.emplace_back(now + span, std::move(action));
    }

    void read(const std::string &prefix, const row_callback &done)
    {
        if (isAway) {
            after(milliseconds(600), [done] { done(store_failure::Unreachable); });
            return;
        }
        row_set result{{}, m_counter, era};
        for (const auto &[name, row] : rows) {
            if (name.compare(0, prefix.size(), prefix) == 0) {
                result.rows.push_back(row);
            }
        }
        after(answerTime, [done, result] { done(row_set(result)); });
    }

    void commit(const table_transaction &transaction, const commit_callback &done)
    {
        commit_answer result;
        if (isAway) {
            after(milliseconds(600), [done] { done({}); });
            return;
        }
        result.era = era;
        result.outcome = commit_outcome::Applied;
        if (refusals > 0) {
            --refusals;
            result.outcome = commit_outcome::Refused;
        }
        for (const table_check &check : transaction.checks) {
            const auto row = rows.find(check.name);
            if ((row == rows.end() ? 0 : row->second.version) != check.version) {
                result.outcome = commit_outcome::Conflict;
            }
        }
        if (result.outcome == commit_outcome::Applied) {
            result.revision = ++m_counter;
            for (const table_put &put : transaction.puts) {
                rows[put.name] = {put.name, put.value, m_counter, false};
                if (put.value.empty()) {
                    rows.erase(put.name);
                }
            }
        }
        after(answerTime, [done, result] { done(commit_answer(result)); });
    }

    void answer(const range_command &command, const coordinator_role::command_callback &done)
    {
        const std::string target = std::visit([](const auto &c) { return c.target; }, command);
        if (unresponsive.count(target) != 0) {
            after(milliseconds(200), [done] { done({}); });
            return;
        }
        if (const auto *grant = std::get_if<grant_command>(&command)) {
            take(*grant);
        } else {
            const key_range keys = std::get<release_command>(command).keys;
            for (int key = keys.first; key <= keys.last; ++key) {
                m_holders[static_cast<std::size_t>(key)].until = now;
            }
        }
        command_answer result;
        result.outcome = command_outcome::Done;
        after(milliseconds(5), [done, result] { done(result); });
    }

    void take(const grant_command &grant)
    {
        for (int key = grant.keys.first; key <= grant.keys.last; ++key) {
            key_holder &holder = m_holders[static_cast<std::size_t>(key)];
            const bool isOther = !holder.target.empty() && holder.target != grant.target;
            if (isOther && (now < holder.until || grant.fencingToken <= holder.fencingToken)) {
                violations.push_back(std::to_string(toMillis(now - start)) + " ms: key "
                                     + std::to_string(key) + " goes from " + holder.target + " to "
                                     + grant.target);
                return;
            }
            holder = {grant.target, grant.fencingToken, now + grant.leaseDuration};
        }
    }

    row_version m_counter = 0;
    int m_step = 0;
    std::vector<std::pair<time_point, std::function<void()>>> m_pending;
    std::vector<key_holder> m_holders{static_cast<std::size_t>(keyCount)};
};

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
