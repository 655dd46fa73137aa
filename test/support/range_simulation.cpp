#include "range_simulation.h"

#include <algorithm>

namespace damaskward {
namespace testing {
namespace {

constexpr const char *serviceName = "lookup";
constexpr seconds faultsEnd{40};
constexpr seconds simulationEnd{65};
/// At some time during this span at the end all keys must be owned.
constexpr seconds finalSpan{2};
const time_point simulationStart{seconds(1000)};

struct target_grant
{
    key_range keys;
    std::uint64_t fencingToken = 0;
    time_point expiresAt{};
};

struct simulated_target
{
    target_record record;
    bool up = true;
    bool cutFromStore = false; ///< its record expires although it is alive
    bool isUnresponsive = false; ///< it receives no commands
    double commandLoss = 0.0; ///< share of commands that are applied late and not answered
    double clockRate = 1.0; ///< factor by which its grants last longer
    std::vector<target_grant> grants;
    std::vector<target_grant> appliedGrants; ///< keys and fencing token of every applied grant
    std::uint64_t highestFencingToken = 0;
};

/// The rows of the store, which get their versions from one counter.
struct simulated_table
{
    std::map<std::string, table_row> rows;
    row_version counter = 0;

    row_version versionOf(const std::string &name) const
    {
        const auto it = rows.find(name);
        return it == rows.end() ? 0 : it->second.version;
    }

    /// \returns the rows whose names start with \a prefix.
    row_set withPrefix(const std::string &prefix) const
    {
        row_set result;
        for (auto it = rows.lower_bound(prefix);
             it != rows.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
            result.rows.push_back(it->second);
        }
        result.revision = counter;
        return result;
    }

    /// Applies a transaction if its checks hold.
    commit_answer apply(const table_transaction &transaction, bool ignoresChecks)
    {
        commit_answer answer;
        for (const table_check &check : transaction.checks) {
            if (versionOf(check.name) != check.version && !ignoresChecks) {
                answer.conflicts.push_back(check.name);
            }
        }
        if (!answer.conflicts.empty()) {
            answer.outcome = commit_outcome::Conflict;
            return answer;
        }
        ++counter;
        for (const table_put &put : transaction.puts) {
            if (put.value.empty()) {
                rows.erase(put.name);
            } else {
                rows[put.name] = {put.name, put.value, counter, false};
            }
        }
        answer.outcome = commit_outcome::Applied;
        answer.revision = counter;
        return answer;
    }
};

bool overlap(key_range a, key_range b)
{
    return a.first <= b.last && b.first <= a.last;
}

class range_simulation;

struct simulated_vm
{
    simulated_vm(range_simulation &simulation, const std::string &name);

    std::string name;
    target_pool targets;
    membership peers;
    request_log log;
    store_port store;
    std::unique_ptr<coordinator_role> role;
    time_point suspendedUntil{};
    duration suspendedTime{};
    bool cutFromStore = false;
    bool wasCoordinator = false;
};

class range_simulation
{
public:
    explicit range_simulation(const range_simulation_options &options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (int i = 0; i < 5; ++i) {
            addTarget("t" + std::to_string(i));
        }
        for (int i = 0; i < 3; ++i) {
            m_vms.push_back(std::make_unique<simulated_vm>(*this, "vm-" + std::to_string(i)));
        }
    }

    range_simulation_report play()
    {
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            every(milliseconds(50), milliseconds(i * 7), [this, i] { tickVm(*m_vms[i]); });
            every(milliseconds(700), milliseconds(i * 31), [this, i] { readRegistry(*m_vms[i]); });
            every(milliseconds(200), milliseconds(i * 13), [this, i] { sendHeartbeat(*m_vms[i]); });
        }
        every(milliseconds(20), milliseconds(1), [this] { observe(); });
        scheduleFaults();
        while (!m_events.empty() && m_now < simulationStart + simulationEnd) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
            // The maximum over the last seconds, since a planned move may be in progress at any
            // time.
            if (m_now >= simulationStart + simulationEnd - finalSpan) {
                m_report.ownedAtEnd = std::max(m_report.ownedAtEnd, ownedShare());
            }
        }
        return m_report;
    }

    time_point now() const { return m_now; }
    double draw() { return std::uniform_real_distribution<>(0.0, 1.0)(m_random); }
    duration between(milliseconds least, milliseconds most)
    {
        return milliseconds(
            std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
    }
    void after(duration span, std::function<void()> action)
    {
        m_events.push({m_now + span, ++m_order, std::move(action)});
    }
    time_point clockOf(const simulated_vm &vm) const
    {
        return m_options.clockStopsWhileSuspended ? m_now - vm.suspendedTime : m_now;
    }

    /// Runs \a action on \a vm, after its suspension if it is suspended.
    void onVm(simulated_vm &vm, std::function<void()> action)
    {
        if (m_now < vm.suspendedUntil) {
            after(vm.suspendedUntil - m_now,
                  [this, &vm, action = std::move(action)] { onVm(vm, action); });
        } else {
            action();
        }
    }

    void readStore(simulated_vm &vm, const std::string &prefix, const row_callback &done)
    {
        const bool lost = vm.cutFromStore || m_storeDown;
        after(between(milliseconds(2), milliseconds(10)), [this, &vm, lost, prefix, done] {
            row_set rows = m_table.withPrefix(prefix);
            rows.era = m_era;
            const duration wait = lost ? duration(milliseconds(1200)) : duration(milliseconds(1));
            after(wait, [this, &vm, lost, rows, done] {
                onVm(vm, [lost, rows, done] {
                    lost ? done(store_failure::Unreachable) : done(row_set(rows));
                });
            });
        });
    }

    void commitStore(simulated_vm &vm, const table_transaction &transaction,
                     const commit_callback &done)
    {
        if (vm.cutFromStore || m_storeDown) {
            after(milliseconds(1200), [this, &vm, done] { onVm(vm, [done] { done({}); }); });
            return;
        }
        const bool lost = draw() < m_storeLoss;
        const duration late =
            lost && draw() < 0.5 ? between(milliseconds(1000), milliseconds(6000)) : duration();
        after(between(milliseconds(2), milliseconds(10)) + late,
              [this, &vm, lost, transaction, done] {
                  commit_answer answer = m_table.apply(transaction, m_options.storeIgnoresChecks);
                  answer.era = m_era;
                  if (!lost) {
                      onVm(vm, [answer, done] { done(commit_answer(answer)); });
                  }
              });
        if (lost) {
            after(milliseconds(1200), [this, &vm, done] { onVm(vm, [done] { done({}); }); });
        }
    }

    void sendCommand(simulated_vm &vm, const range_command &command,
                     const coordinator_role::command_callback &done)
    {
        const std::string name = std::visit([](const auto &o) { return o.target; }, command);
        const std::int64_t incarnation =
            std::visit([](const auto &o) { return o.incarnation; }, command);
        simulated_target &target = m_targets.at(name);
        if (target.isUnresponsive || !target.up || incarnation != target.record.incarnation) {
            after(milliseconds(400), [this, &vm, done] { onVm(vm, [done] { done({}); }); });
            return;
        }
        const bool late = draw() < target.commandLoss;
        const duration transitTime = between(milliseconds(1), milliseconds(20));
        after(transitTime, [this, &vm, &target, incarnation, command, late, done] {
            const time_point arrived = m_now;
            const duration delay =
                late ? between(milliseconds(2000), milliseconds(12000)) : duration();
            after(delay, [this, &vm, &target, incarnation, command, late, done, arrived] {
                if (!target.up || incarnation != target.record.incarnation) {
                    return;
                }
                const command_answer answer = applyCommand(target, command, arrived);
                const duration work = std::holds_alternative<release_command>(command)
                    ? between(milliseconds(0), milliseconds(300))
                    : duration(milliseconds(2));
                if (!late) {
                    after(work, [this, &vm, answer, done] {
                        onVm(vm, [answer, done] { done(answer); });
                    });
                }
            });
        });
        if (late) {
            after(milliseconds(400), [this, &vm, done] { onVm(vm, [done] { done({}); }); });
        }
    }

    void recordCoordinator(simulated_vm &vm)
    {
        const bool isCoordinator = vm.role->isCoordinator(clockOf(vm));
        m_report.coordinatorStarts += isCoordinator && !vm.wasCoordinator ? 1 : 0;
        vm.wasCoordinator = isCoordinator;
    }

private:
    struct event
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> action;
        friend bool operator<(const event &a, const event &b)
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    void addTarget(const std::string &name)
    {
        simulated_target t;
        t.record.name = name;
        t.record.incarnation = 1;
        t.record.service = service_id(serviceName);
        t.record.address = name;
        t.record.slots = 2;
        t.clockRate = 1.0 + draw() * m_options.targetClockSlowPercent / 100.0;
        m_targets[name] = t;
    }

    void every(duration interval, duration first, const std::function<void()> &action)
    {
        after(first, [this, interval, action] {
            action();
            every(interval, interval, action);
        });
    }

    void tickVm(simulated_vm &vm)
    {
        if (m_now >= vm.suspendedUntil) {
            vm.role->tick(clockOf(vm));
            recordCoordinator(vm);
            requestHotKeys(vm);
        }
    }

    /// Requests hot adjacent keys, so that ranges keep changing their owner.
    void requestHotKeys(simulated_vm &vm)
    {
        key_demand keys;
        // The range of hot keys moves until the faults end.
        const duration hotTime = std::min<duration>(m_now - simulationStart, faultsEnd);
        const int hotStart = static_cast<int>(hotTime / seconds(8)) * 6000;
        for (int i = 0; i < 4; ++i) {
            const auto spread = static_cast<int>(draw() * 300);
            keys.keys[service_id(serviceName)].push_back(
                static_cast<shard_key>((hotStart + spread) % keyCount));
        }
        vm.role->recordDemand(keys, clockOf(vm));
    }

    void readRegistry(simulated_vm &vm)
    {
        if (m_now < vm.suspendedUntil || vm.cutFromStore || m_storeDown) {
            return;
        }
        std::vector<target_record> records;
        for (auto &[name, t] : m_targets) {
            ++t.record.heartbeatCounter;
            if (t.up && !t.cutFromStore) {
                records.push_back(t.record);
            }
        }
        vm.targets.applyRegistry(records, clockOf(vm));
    }

    void sendHeartbeat(simulated_vm &vm)
    {
        if (m_now < vm.suspendedUntil) {
            return;
        }
        heartbeat message;
        message.name = vm.name;
        message.incarnation = 1;
        message.coordinatorVersion = vm.role->leaseVersion(clockOf(vm));
        for (auto &other : m_vms) {
            constexpr double loss = 0.1;
            if (other.get() != &vm && draw() > loss) {
                simulated_vm &to = *other;
                after(milliseconds(2), [this, &to, message] {
                    onVm(to, [this, &to, message] { to.peers.apply(message, clockOf(to)); });
                });
            }
        }
    }

    command_answer applyCommand(simulated_target &target, const range_command &command,
                                time_point arrived)
    {
        command_answer answer;
        answer.outcome = command_outcome::Done;
        if (const auto *grant = std::get_if<grant_command>(&command)) {
            grantKeys(target, *grant, arrived, answer);
            return answer;
        }
        const auto &release = std::get<release_command>(command);
        answer.handover = "token";
        if (!m_options.targetIgnoresRelease) {
            removeKeys(target, release.keys);
        }
        return answer;
    }

    void grantKeys(simulated_target &target, const grant_command &grant, time_point arrived,
                   command_answer &answer)
    {
        const auto span = duration(static_cast<std::int64_t>(
            static_cast<double>(duration(grant.leaseDuration).count()) * target.clockRate));
        if (m_now >= arrived + span) {
            return; // The grant had expired before it was applied.
        }
        for (const target_grant &applied : target.appliedGrants) {
            if (!m_options.targetIgnoresFencingTokens && overlap(applied.keys, grant.keys)
                && applied.fencingToken > grant.fencingToken) {
                answer.outcome = command_outcome::Outdated;
                return;
            }
        }
        target.appliedGrants.push_back({grant.keys, grant.fencingToken, {}});
        ++m_report.grantsApplied;
        if (grant.fencingToken > target.highestFencingToken) {
            ++m_report.ownerChanges;
            target.highestFencingToken = grant.fencingToken;
        }
        for (const auto &[name, other] : m_targets) {
            for (const target_grant &held : other.grants) {
                if (&other != &target && other.up && overlap(held.keys, grant.keys)
                    && held.fencingToken >= grant.fencingToken) {
                    violation("fencing token " + std::to_string(grant.fencingToken) + " at "
                              + target.record.name + " is not above the token held by " + name);
                }
            }
        }
        removeKeys(target, grant.keys);
        target.grants.push_back({grant.keys, grant.fencingToken, arrived + span});
    }

    static void removeKeys(simulated_target &target, key_range keys)
    {
        std::vector<target_grant> rest;
        for (const target_grant &held : target.grants) {
            if (held.keys.last < keys.first || held.keys.first > keys.last) {
                rest.push_back(held);
                continue;
            }
            if (held.keys.first < keys.first) {
                rest.push_back({{held.keys.first, static_cast<shard_key>(keys.first - 1)},
                                held.fencingToken,
                                held.expiresAt});
            }
            if (held.keys.last > keys.last) {
                rest.push_back({{static_cast<shard_key>(keys.last + 1), held.keys.last},
                                held.fencingToken,
                                held.expiresAt});
            }
        }
        target.grants = std::move(rest);
    }

    void observe()
    {
        std::vector<std::pair<target_grant, std::string>> all;
        for (auto &[name, t] : m_targets) {
            t.grants.erase(std::remove_if(t.grants.begin(), t.grants.end(),
                                          [this](const target_grant &held) {
                                              return m_now >= held.expiresAt;
                                          }),
                           t.grants.end());
            for (const target_grant &held : t.grants) {
                all.emplace_back(held, name);
            }
        }
        std::sort(all.begin(), all.end(), [](const auto &a, const auto &b) {
            return a.first.keys.first < b.first.keys.first;
        });
        for (std::size_t i = 0; i + 1 < all.size(); ++i) {
            if (all[i].first.keys.last >= all[i + 1].first.keys.first) {
                violation("two owners: " + all[i].second + " and " + all[i + 1].second);
            }
        }
    }

    void violation(const std::string &what)
    {
        m_report.violations.push_back(std::to_string(toMillis(m_now - simulationStart))
                                      + " ms: " + what);
    }

    double ownedShare() const
    {
        int owned = 0;
        for (const auto &[name, t] : m_targets) {
            for (const target_grant &held : t.grants) {
                owned += t.up && m_now < held.expiresAt ? held.keys.size() : 0;
            }
        }
        return static_cast<double>(owned) / keyCount;
    }

    /// Schedules faults of random kinds at random times. They may overlap, and end by faultsEnd.
    void scheduleFaults()
    {
        for (int i = 0; i < 14; ++i) {
            const duration at = between(milliseconds(3000), milliseconds(36000));
            const duration span =
                std::min<duration>(between(milliseconds(200), milliseconds(9000)), faultsEnd - at);
            const int drawn = std::uniform_int_distribution<int>(0, 7)(m_random);
            const int kind = m_options.suspendsOnly ? 0 : drawn;
            const std::size_t vm = std::uniform_int_distribution<std::size_t>(0, 2)(m_random);
            const std::string target =
                "t" + std::to_string(std::uniform_int_distribution<int>(0, 4)(m_random));
            after(at, [this, kind, vm, target, span] { fault(kind, *m_vms[vm], target, span); });
        }
    }

    void fault(int kind, simulated_vm &vm, const std::string &name, duration span)
    {
        simulated_target &target = m_targets.at(name);
        switch (kind) {
        case 0:
            suspend(vm, span);
            break;
        case 1:
            vm.cutFromStore = true;
            after(span, [&vm] { vm.cutFromStore = false; });
            break;
        case 2:
            m_storeDown = true;
            after(span, [this] { m_storeDown = false; });
            break;
        case 3:
            m_storeLoss = 0.4;
            after(span, [this] { m_storeLoss = 0.0; });
            break;
        case 4:
            target.isUnresponsive = true;
            after(span, [&target] { target.isUnresponsive = false; });
            break;
        case 5:
            target.commandLoss = 0.4;
            after(span, [&target] { target.commandLoss = 0.0; });
            break;
        case 6:
            target.cutFromStore = true;
            after(span, [&target] { target.cutFromStore = false; });
            break;
        default:
            target.up = false;
            target.grants.clear();
            after(span, [&target] {
                target.up = true;
                ++target.record.incarnation; // A new incarnation holds no grants.
                target.grants.clear();
                target.record.heartbeatCounter = 0;
                target.highestFencingToken = 0;
                target.appliedGrants.clear();
            });
            break;
        }
    }

    void suspend(simulated_vm &vm, duration span)
    {
        if (m_now < vm.suspendedUntil) {
            return;
        }
        vm.suspendedUntil = m_now + span;
        vm.suspendedTime += span;
    }

    range_simulation_options m_options;
    std::mt19937_64 m_random;
    time_point m_now = simulationStart;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::map<std::string, simulated_target> m_targets;
    std::vector<std::unique_ptr<simulated_vm>> m_vms;
    simulated_table m_table;
    store_era m_era = 1;
    bool m_storeDown = false;
    double m_storeLoss = 0.0;
    range_simulation_report m_report;
};

simulated_vm::simulated_vm(range_simulation &simulation, const std::string &vmName)
    : name(vmName)
    , targets(data_center_id("dc"))
    , peers(vmName)
    , log(vmName, -1)
{
    store.read = [this, &simulation](const std::string &, const std::string &prefix,
                                     const row_callback &done) {
        simulation.readStore(*this, prefix, done);
    };
    store.commit = [this, &simulation](const std::string &, const table_transaction &transaction,
                                       const commit_callback &done) {
        simulation.commitStore(*this, transaction, done);
    };
    role = std::make_unique<coordinator_role>(
        store, "own",
        [this, &simulation](const range_command &command, const std::string &,
                            const coordinator_role::command_callback &done) {
            simulation.sendCommand(*this, command, done);
        },
        targets, peers, log, 1, seconds(10),
        [this, &simulation] { return simulation.clockOf(*this); }, [](const owner_update &) {},
        [](const owner_shares &) {});
    deployment config;
    config.services[service_id(serviceName)].keyed = true;
    role->setDeployment(config);
}

} // namespace

range_simulation_report runRangeSimulation(const range_simulation_options &options)
{
    return range_simulation(options).play();
}

} // namespace testing
} // namespace damaskward
