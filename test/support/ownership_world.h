/// \file
/// \brief Several ownership machines over small fakes of table, network, targets and clocks, driven
/// by a seeded schedule, with an observer that knows the true time.

#pragma once

#include "damaskward/Ownership"
#include "tools/standin/memory_table.h"
#include "tools/standin/target_state.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace damaskward {
namespace testing {

/// Faults that the fakes commit on purpose; the observer must catch each of them.
struct broken_parts
{
    bool noFencing = false; ///< targets take orders of any term
    bool deadlineAtArrival = false; ///< targets count a grant's length from when it arrives
    bool votesUnasked = false; ///< votes are approved without asking the voters
    bool noRoleCheck = false; ///< the table ignores checks of role rows
    bool fastClocks = false; ///< clocks' rates differ by more than the drift bound
};

/// What a schedule is made of.
struct world_options
{
    std::uint64_t seed = 1;
    int vms = 4; ///< in data centre a
    int farVms = 1; ///< in data centre b
    int targets = 4; ///< in data centre a
    int farTargets = 2;
    int shards = 12;
    duration faultTime = std::chrono::seconds(15);
    duration healTime = std::chrono::seconds(8);
    bool outages = true; ///< of the platform
    broken_parts broken;
};

/// How a schedule ended.
struct world_report
{
    std::string violation; ///< empty when all invariants held at every step
    bool recovered = false; ///< every shard was granted again at the end
    std::uint64_t steps = 0;
    std::uint64_t moves = 0; ///< changes of owner
    std::uint64_t lapses = 0;
    std::uint64_t holdovers = 0; ///< observations of a VM that acted without the platform
};

/// \class ownership_world
/// \brief One schedule.
class ownership_world
{
public:
    explicit ownership_world(const world_options &options);
    ~ownership_world();

    /// Runs the faults and then the recovery.
    world_report run();

private:
    struct vm;
    struct target;
    using moment = std::chrono::nanoseconds; ///< true time
    struct event
    {
        moment at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator>(const event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void at(moment when, std::function<void()> act);
    void after(moment delay, std::function<void()> act) { at(m_now + delay, std::move(act)); }
    moment between(std::int64_t leastMicros, std::int64_t mostMicros);
    bool chance(double probability);
    moment networkDelay();

    void addVm(const std::string &name, const std::string &dc);
    void startVm(const std::string &name);
    void tickVm(const std::string &name, std::uint64_t incarnation);
    void deliver(const std::string &vm, std::uint64_t incarnation, const ownership_event &what);
    void carryOut(const std::string &vm, std::uint64_t incarnation, const action_list &actions);
    void perform(const std::string &from, std::uint64_t incarnation,
                 const ownership_action &action);
    void performRead(const std::string &from, std::uint64_t incarnation, const read_table &action);
    void performCommit(const std::string &from, std::uint64_t incarnation,
                       const commit_table &action);
    void performGrant(const std::string &from, std::uint64_t incarnation, const send_grant &action);
    void performHold(const std::string &from, std::uint64_t incarnation, const ask_hold &action);
    void performVote(const std::string &from, std::uint64_t incarnation, const ask_vote &action);
    bool reachesPlatform(const std::string &from, const vm_id &through) const;
    bool isCut(const std::string &a, const std::string &b) const;

    void scheduleFault();
    void commitFault();
    void splitNetwork();
    void heal();
    void adoptRules(const std::string &text);
    std::string rulesText() const;

    void observe();
    void observeGrants();
    void observeRows();
    void noteAcknowledged(const table_transaction &transaction, const commit_answer &answer);
    bool everythingGranted() const;

    const world_options m_options;
    std::mt19937_64 m_random;
    moment m_now{0};
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    standin::memory_table m_table;
    std::map<std::string, std::unique_ptr<vm>> m_vms;
    std::map<std::string, std::unique_ptr<target>> m_targets;
    std::set<std::string> m_cuts; ///< "a|b" with a < b
    bool m_platformDown = false;
    double m_lostAnswers = 0.0;
    double m_slowMessages = 0.0;
    bool m_faultsOn = true;
    std::set<std::string> m_drained;
    bool m_outB = false;
    std::uint64_t m_rulesVersion = 0;
    std::shared_ptr<const rule_set> m_rules;
    std::map<shard_id, shard_row> m_acknowledged;
    std::map<shard_id, std::uint64_t> m_highestEpoch;
    table_revision m_observedRevision = 0;
    world_report m_report;
};

} // namespace testing
} // namespace damaskward
