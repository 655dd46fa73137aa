/// \file
/// \brief Simulates several VMs with fakes of the table, the network, the targets and the clocks.
///
/// A seed determines the schedule of faults. An observer checks the invariants at the true time,
/// which no simulated clock shows.

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

/// Defects switched on in the simulation; the observer must detect each of them.
struct injected_defects
{
    bool noFencing = false; ///< targets accept commands of any gate term
    bool leaseCountsFromArrival = false; ///< targets count the time of a grant from its arrival
    bool approvesWithoutVotes = false; ///< vote requests are approved without reaching the voter
    bool noRoleCheck = false; ///< the table ignores the checks of role rows in shard moves
    bool fastClocks = false; ///< the rates of the VMs' clocks differ by more than the drift bound
};

/// The parameters of one schedule.
struct schedule_options
{
    std::uint64_t seed = 1;
    int vms = 4; ///< in data centre a
    int remoteVms = 1; ///< in data centre b
    int targets = 4; ///< in data centre a
    int remoteTargets = 2;
    int shards = 12;
    duration faultTime = std::chrono::seconds(15);
    duration recoveryTime = std::chrono::seconds(8);
    bool outages = true; ///< whether the platform has outages
    injected_defects defects;
};

/// The result of one schedule.
struct schedule_report
{
    std::string violation; ///< empty when all invariants held at every step
    bool recovered = false; ///< whether every shard was granted at the end
    std::uint64_t steps = 0;
    std::uint64_t moves = 0; ///< changes of a shard's owner
    std::uint64_t expirations = 0; ///< sessions declared expired
    std::uint64_t holdovers = 0; ///< how often an observation found a VM in holdover
};

/// \class ownership_simulation
/// \brief Simulates one schedule.
///
/// \code
/// schedule_options options;
/// options.seed = 7;
/// const schedule_report report = ownership_simulation(options).run();
/// \endcode
class ownership_simulation
{
public:
    explicit ownership_simulation(const schedule_options &options);
    ~ownership_simulation();

    /// Runs the schedule: start-up, faults, and recovery without faults.
    schedule_report run();

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
    moment randomTime(std::int64_t minMicros, std::int64_t maxMicros);
    bool chance(double probability);
    moment networkDelay();

    void addVm(const std::string &name, const std::string &dc);
    void startVm(const std::string &name);
    void tickVm(const std::string &name, std::uint64_t incarnation);
    void deliver(const std::string &vm, std::uint64_t incarnation, const ownership_event &input);
    void performAll(const std::string &vm, std::uint64_t incarnation, const action_list &actions);
    void perform(const std::string &from, std::uint64_t incarnation,
                 const ownership_action &action);
    void performRead(const std::string &from, std::uint64_t incarnation, const read_table &action);
    void performCommit(const std::string &from, std::uint64_t incarnation,
                       const commit_table &action);
    void performGrant(const std::string &from, std::uint64_t incarnation, const send_grant &action);
    void performHold(const std::string &from, std::uint64_t incarnation,
                     const send_hold_request &action);
    void performVote(const std::string &from, std::uint64_t incarnation,
                     const send_vote_request &action);
    bool reachesPlatform(const std::string &from, const vm_id &through) const;
    bool isDisconnected(const std::string &a, const std::string &b) const;

    void scheduleNextFault();
    void injectFault();
    void splitNetwork();
    void endFaults();
    void publishRules(const std::string &text);
    std::string rulesText() const;

    void observe();
    void observeGrants();
    void observeRows();
    void recordAcknowledged(const table_transaction &transaction, const commit_answer &answer);
    bool allShardsGranted() const;

    const schedule_options m_options;
    std::mt19937_64 m_random;
    moment m_now{0};
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    standin::memory_table m_table;
    std::map<std::string, std::unique_ptr<vm>> m_vms;
    std::map<std::string, std::unique_ptr<target>> m_targets;
    std::set<std::string> m_disconnected; ///< pairs without a connection: "a|b" with a < b
    bool m_platformDown = false;
    double m_answerLossProbability = 0.0;
    double m_slowMessageProbability = 0.0;
    bool m_faultsOn = true;
    std::set<std::string> m_drainedTargets;
    bool m_isBDrained = false;
    std::uint64_t m_rulesVersion = 0;
    std::shared_ptr<const rule_set> m_rules;
    std::map<shard_id, shard_row> m_acknowledged;
    std::map<shard_id, std::uint64_t> m_highestEpoch;
    table_revision m_observedRevision = 0;
    schedule_report m_report;
};

} // namespace testing
} // namespace damaskward
