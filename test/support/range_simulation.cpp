#include "range_simulation.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace damaskward {
namespace testing {
namespace {

constexpr const char *serviceName = "lookup";
constexpr seconds faultsEnd{40};
constexpr seconds simulationEnd{65};
/// The end if the store is restored: grants that no record mentions have to expire first.
constexpr seconds restoreSimulationEnd{75};
constexpr milliseconds copyInterval{250};
/// Longest time after a restore until a target has written its record again.
constexpr milliseconds longestRewriteTime{1000};
/// At some time during this span at the end all keys must be owned.
constexpr seconds finalSpan{2};
const time_point simulationStart{seconds(1000)};

struct target_grant
{
    key_range keys;
    std::uint64_t fencingToken = 0;
    time_point expiresAt{};
};

/// A grant that some incarnation of a target has applied.
struct past_grant
{
    std::string target;
    std::int64_t incarnation = 0;
    key_range keys;
    std::uint64_t fencingToken = 0;

    friend bool operator<(const past_grant &a, const past_grant &b)
    {
        return std::tie(a.target, a.incarnation, a.keys.first, a.keys.last, a.fencingToken)
            < std::tie(b.target, b.incarnation, b.keys.first, b.keys.last, b.fencingToken);
    }
};

struct simulated_target
{
    target_record record;
    bool up = true;
    bool cutFromStore = false; ///< its record expires although it is alive
    bool isUnresponsive = false; ///< it receives no commands
    time_point rewritesRecordAt{}; ///< until then the registry has its record of the restored copy
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

/// A copy of the store, with the records that the targets had written.
struct store_copy
{
    time_point takenAt{};
    simulated_table table;
    std::map<std::string, target_record> records;
};

bool overlap(key_range a, key_range b)
{
    return a.first <= b.last && b.first <= a.last;
}

class range_simulation;

struct simulated_vm
{
    simulated_vm(range_simulation &simulation, const std::string &name);

    /// Starts a new incarnation, which knows nothing.
    void restart();
    void startRole();

    /// \returns \a done for the present incarnation; a later one does not get the answer.
    template <typename Callback>
    auto forThisIncarnation(Callback done)
    {
        return [this, asked = incarnation, done = std::move(done)](auto &&answer) {
            if (incarnation == asked) {
                done(std::forward<decltype(answer)>(answer));
            }
        };
    }

    /// Records the era of an answer to the role, which reads the era itself.
    void recordEra(store_era era) { storeEra = std::max(storeEra, era); }

    /// Processes the era of a heartbeat or of the registry.
    void hearEra(store_era era);

    range_simulation &simulation;
    std::string name;
    std::int64_t incarnation = 1;
    target_pool targets;
    membership peers;
    request_log log;
    store_port store;
    std::unique_ptr<coordinator_role> role;
    time_point suspendedUntil{};
    duration suspendedTime{};
    bool cutFromStore = false;
    bool wasCoordinator = false;
    store_era storeEra = 0; ///< the newest that it has heard of
    std::uint64_t mapVersion = 0; ///< of the newest owner_update that it has received
};

class range_simulation
{
public:
    explicit range_simulation(const range_simulation_options &options)
        : m_options(options)
        , m_random(options.seed)
        , m_restoreRandom(options.seed + restoreSeedOffset)
        , m_publishRandom(options.seed + publishSeedOffset)
        , m_end(simulationStart + (hasRestores() ? restoreSimulationEnd : simulationEnd))
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
        if (!m_options.onlyRestore) {
            scheduleFaults();
        }
        if (hasRestores()) {
            scheduleRestores();
        }
        while (!m_events.empty() && m_now < m_end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
            // The maximum over the last seconds, since a planned move may be in progress at any
            // time.
            if (m_now >= m_end - finalSpan) {
                m_report.ownedAtEnd = std::max(m_report.ownedAtEnd, ownedShare());
            }
        }
        return m_report;
    }

    time_point now() const { return m_now; }
    double draw() { return drawFrom(m_random); }
    duration between(milliseconds least, milliseconds most)
    {
        return spanFrom(m_random, least, most);
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
        const bool isUnreachable = vm.cutFromStore || m_storeDown || m_storeAway;
        after(between(milliseconds(2), milliseconds(10)), [this, &vm, isUnreachable, prefix, done] {
            const bool lost = isUnreachable || m_storeAway;
            row_set rows = m_table.withPrefix(prefix);
            rows.era = m_era;
            const duration wait = lost ? duration(milliseconds(1200)) : duration(milliseconds(1));
            after(wait, [this, &vm, lost, rows, done] {
                onVm(vm, [&vm, lost, rows, done] {
                    if (!lost) {
                        vm.recordEra(rows.era);
                    }
                    lost ? done(store_failure::Unreachable) : done(row_set(rows));
                });
            });
        });
    }

    void commitStore(simulated_vm &vm, const table_transaction &transaction,
                     const commit_callback &done)
    {
        const auto unanswered = [this, &vm, done] { onVm(vm, [done] { done({}); }); };
        if (vm.cutFromStore || m_storeDown || m_storeAway) {
            after(milliseconds(1200), unanswered);
            return;
        }
        const bool lost = draw() < std::max(m_storeLoss, m_lossBeforeRestore);
        const duration late =
            lost && draw() < 0.5 ? between(milliseconds(1000), milliseconds(6000)) : duration();
        after(between(milliseconds(2), milliseconds(10)) + late,
              [this, &vm, lost, transaction, done, unanswered, outage = m_outageCount] {
                  if (outage != m_outageCount) {
                      // The store went away while the call was under way.
                      applyAfterRestore(transaction);
                      if (!lost) {
                          after(milliseconds(1200), unanswered);
                      }
                      return;
                  }
                  commit_answer answer = m_table.apply(transaction, m_options.storeIgnoresChecks);
                  answer.era = m_era;
                  if (!lost) {
                      onVm(vm, [&vm, answer, done] {
                          vm.recordEra(answer.era);
                          done(commit_answer(answer));
                      });
                  }
              });
        if (lost) {
            after(milliseconds(1200), unanswered);
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

    /// Sends a new map of owners to the other VMs.
    void publish(simulated_vm &vm, std::uint64_t mapVersion)
    {
        vm.mapVersion = std::max(vm.mapVersion, mapVersion);
        for (auto &other : m_vms) {
            constexpr double loss = 0.1;
            if (other.get() != &vm && drawFrom(m_publishRandom) > loss) {
                simulated_vm &to = *other;
                after(milliseconds(2), [this, &to, mapVersion] {
                    onVm(to, [&to, mapVersion] {
                        to.mapVersion = std::max(to.mapVersion, mapVersion);
                        to.role->onMapVersion(mapVersion);
                    });
                });
            }
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

    static constexpr std::uint64_t restoreSeedOffset = 1'000'000;
    static constexpr std::uint64_t publishSeedOffset = 2'000'000;

    static double drawFrom(std::mt19937_64 &random)
    {
        return std::uniform_real_distribution<>(0.0, 1.0)(random);
    }
    static duration spanFrom(std::mt19937_64 &random, milliseconds least, milliseconds most)
    {
        return milliseconds(
            std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random));
    }
    duration restoreSpan(int leastMillis, int mostMillis)
    {
        return spanFrom(m_restoreRandom, milliseconds(leastMillis), milliseconds(mostMillis));
    }
    std::size_t restoreChoice(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_restoreRandom);
    }
    bool hasRestores() const
    {
        return m_options.storeRestores || m_options.onlyRestore.has_value();
    }

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
        if (m_now < vm.suspendedUntil || vm.cutFromStore || m_storeDown || m_storeAway) {
            return;
        }
        std::vector<target_record> records;
        for (auto &[name, t] : m_targets) {
            ++t.record.heartbeatCounter;
            const auto restored = m_restoredRecords.find(name);
            if (m_now < t.rewritesRecordAt) {
                if (restored != m_restoredRecords.end()) {
                    records.push_back(restored->second);
                }
            } else if (t.up && !t.cutFromStore) {
                records.push_back(t.record);
            }
        }
        vm.hearEra(m_era);
        vm.targets.applyRegistry(records, clockOf(vm));
    }

    void sendHeartbeat(simulated_vm &vm)
    {
        if (m_now < vm.suspendedUntil) {
            return;
        }
        heartbeat message;
        message.name = vm.name;
        message.incarnation = vm.incarnation;
        message.mapVersion = vm.mapVersion;
        message.storeEra = vm.storeEra;
        message.coordinatorVersion = vm.role->leaseVersion(clockOf(vm));
        for (auto &other : m_vms) {
            constexpr double loss = 0.1;
            if (other.get() != &vm && draw() > loss) {
                simulated_vm &to = *other;
                after(milliseconds(2), [this, &to, message] {
                    onVm(to, [this, &to, message] {
                        to.peers.apply(message, clockOf(to));
                        to.hearEra(message.storeEra);
                        to.role->onMapVersion(message.mapVersion);
                    });
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
        checkPastGrants(target.record, grant);
        removeKeys(target, grant.keys);
        target.grants.push_back({grant.keys, grant.fencingToken, arrived + span});
    }

    /// Keys pass to another target, or to another incarnation, only with a token above all with
    /// which others had them.
    void checkPastGrants(const target_record &target, const grant_command &grant)
    {
        for (const past_grant &past : m_pastGrants) {
            const bool isSame =
                past.target == target.name && past.incarnation == target.incarnation;
            if (!isSame && overlap(past.keys, grant.keys)
                && past.fencingToken >= grant.fencingToken) {
                violation("fencing token " + std::to_string(grant.fencingToken) + " at "
                          + target.name + " is not above token " + std::to_string(past.fencingToken)
                          + " that " + past.target + " had");
                break;
            }
        }
        m_pastGrants.insert({target.name, target.incarnation, grant.keys, grant.fencingToken});
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
        if (m_restoredAt != time_point{} && m_options.onlyRestore) {
            recordUnowned();
        }
    }

    /// Records for how long keys have had no owner since the store was back.
    void recordUnowned()
    {
        m_ownedAt.resize(keyCount, m_restoredAt);
        for (const auto &[name, t] : m_targets) {
            for (const target_grant &held : t.grants) {
                std::fill(m_ownedAt.begin() + held.keys.first,
                          m_ownedAt.begin() + held.keys.last + 1, m_now);
            }
        }
        const duration unowned = m_now - *std::min_element(m_ownedAt.begin(), m_ownedAt.end());
        m_report.longestUnowned = std::max(m_report.longestUnowned, unowned);
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

    /// Schedules the restores, each alone or with another fault shortly before.
    void scheduleRestores()
    {
        after(copyInterval, [this] { copyStore(); });
        after(milliseconds(20), [this] { writeOtherRow(); });
        if (m_options.onlyRestore) {
            const store_restore &only = *m_options.onlyRestore;
            after(only.at, [this, only] { beginRestore(only.outage, only.copyAge); });
            return;
        }
        const std::size_t count = 1 + restoreChoice(3);
        for (std::size_t i = 0; i < count; ++i) {
            const duration at = restoreSpan(6000, 28000);
            const duration outage = restoreSpan(0, 3000);
            const duration age = restoreSpan(1000, 10000);
            after(at, [this, outage, age] { beginRestore(outage, age); });
            switch (restoreChoice(5)) {
            case 0:
                break;
            case 1:
                after(at - restoreSpan(0, 600),
                      [this, span = restoreSpan(500, 5000)] { suspend(coordinatorOrAny(), span); });
                break;
            case 2:
                after(at - restoreSpan(0, 600),
                      [this, span = restoreSpan(100, 1500)] { restart(coordinatorOrAny(), span); });
                break;
            case 3:
                after(at - milliseconds(1500), [this] { m_lossBeforeRestore = 0.5; });
                after(at, [this] { m_lossBeforeRestore = 0.0; });
                break;
            default:
                after(at + outage + restoreSpan(1, 4000),
                      [this, outage = restoreSpan(0, 3000), age = restoreSpan(1000, 10000)] {
                          beginRestore(outage, age);
                      });
                break;
            }
        }
        for (std::size_t i = restoreChoice(3); i > 0; --i) {
            after(restoreSpan(3000, 36000),
                  [this, vm = restoreChoice(3), span = restoreSpan(100, 2000)] {
                      restart(*m_vms[vm], span);
                  });
        }
    }

    simulated_vm &coordinatorOrAny()
    {
        for (auto &vm : m_vms) {
            if (vm->role->isCoordinator(clockOf(*vm))) {
                return *vm;
            }
        }
        return *m_vms[restoreChoice(m_vms.size())];
    }

    void copyStore()
    {
        after(copyInterval, [this] { copyStore(); });
        if (m_storeAway) {
            return;
        }
        store_copy copy;
        copy.takenAt = m_now;
        copy.table = m_table;
        for (const auto &[name, t] : m_targets) {
            if (t.up && !t.cutFromStore) {
                copy.records[name] = t.record;
            }
        }
        m_copies.push_back(std::move(copy));
    }

    /// Other writers share the counter, so after a restore it soon passes the versions that the
    /// store had given out before.
    void writeOtherRow()
    {
        after(restoreSpan(16, 33), [this] { writeOtherRow(); });
        constexpr std::size_t otherRowCount = 20;
        const std::string name = "other/" + std::to_string(restoreChoice(otherRowCount));
        if (!m_storeAway) {
            table_transaction transaction;
            transaction.puts.push_back({name, "value"});
            m_table.apply(transaction, false);
        }
    }

    /// Takes the store away, then brings it back from the newest copy that is  age old or older.
    void beginRestore(duration outage, duration age)
    {
        if (m_storeAway || m_copies.empty()) {
            return;
        }
        m_storeAway = true;
        ++m_outageCount;
        const store_copy *copy = &m_copies.front();
        for (const store_copy &candidate : m_copies) {
            copy = candidate.takenAt <= m_now - age ? &candidate : copy;
        }
        after(outage, [this, copy = *copy] { endRestore(copy); });
    }

    void endRestore(const store_copy &copy)
    {
        m_storeAway = false;
        ++m_era;
        ++m_report.storeRestores;
        m_restoredAt = m_now;
        if (!m_options.restoreKeepsRows) {
            m_table = copy.table;
            restoreRegistry(copy);
        }
        for (const table_transaction &late : std::exchange(m_lateWrites, {})) {
            applyLate(late);
        }
    }

    /// Gives the registry the records of the copy, until the targets write theirs again.
    void restoreRegistry(const store_copy &copy)
    {
        m_restoredRecords = copy.records;
        for (auto &[name, t] : m_targets) {
            t.rewritesRecordAt =
                m_now + spanFrom(m_restoreRandom, milliseconds(0), longestRewriteTime);
        }
    }

    /// Drops a write that was under way when the store went away, or applies it some time after the
    /// store is back.
    void applyAfterRestore(const table_transaction &transaction)
    {
        constexpr double share = 0.3;
        if (drawFrom(m_restoreRandom) >= share) {
            return;
        }
        if (m_storeAway) {
            m_lateWrites.push_back(transaction);
        } else {
            applyLate(transaction);
        }
    }

    void applyLate(const table_transaction &transaction)
    {
        after(restoreSpan(0, 2000), [this, transaction] {
            if (!m_storeAway) {
                m_table.apply(transaction, m_options.storeIgnoresChecks);
            }
        });
    }

    void restart(simulated_vm &vm, duration span)
    {
        vm.restart();
        vm.suspendedUntil = m_now + span;
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
    /// Of their own, so that the other draws are the same with and without restores.
    std::mt19937_64 m_restoreRandom;
    std::mt19937_64 m_publishRandom;
    time_point m_end; ///< of the simulation
    time_point m_now = simulationStart;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::map<std::string, simulated_target> m_targets;
    std::vector<std::unique_ptr<simulated_vm>> m_vms;
    simulated_table m_table;
    store_era m_era = 1;
    bool m_storeDown = false;
    double m_storeLoss = 0.0;
    bool m_storeAway = false; ///< until it comes back from a copy
    int m_outageCount = 0; ///< how often it went away to come back from a copy
    double m_lossBeforeRestore = 0.0;
    std::vector<store_copy> m_copies;
    std::vector<table_transaction> m_lateWrites; ///< applied when the store is back
    std::map<std::string, target_record> m_restoredRecords;
    time_point m_restoredAt{};
    std::set<past_grant> m_pastGrants;
    std::vector<time_point> m_ownedAt; ///< by key, at the latest observation
    range_simulation_report m_report;
};

simulated_vm::simulated_vm(range_simulation &owner, const std::string &vmName)
    : simulation(owner)
    , name(vmName)
    , targets(data_center_id("dc"))
    , peers(vmName)
    , log(vmName, -1)
{
    store.read = [this](const std::string &, const std::string &prefix, const row_callback &done) {
        simulation.readStore(*this, prefix, forThisIncarnation(done));
    };
    store.commit = [this](const std::string &, const table_transaction &transaction,
                          const commit_callback &done) {
        simulation.commitStore(*this, transaction, forThisIncarnation(done));
    };
    startRole();
}

void simulated_vm::startRole()
{
    role = std::make_unique<coordinator_role>(
        store, "own",
        [this](const range_command &command, const std::string &,
               const coordinator_role::command_callback &done) {
            simulation.sendCommand(*this, command, forThisIncarnation(done));
        },
        targets, peers, log, incarnation, seconds(10), incarnation == 1,
        [this] { return simulation.clockOf(*this); },
        [this](const owner_update &update) { simulation.publish(*this, update.version); },
        [](const owner_shares &) {});
    deployment config;
    config.services[service_id(serviceName)].keyed = true;
    role->setDeployment(config);
}

void simulated_vm::hearEra(store_era era)
{
    recordEra(era);
    role->onStoreEra(era, simulation.clockOf(*this));
}

void simulated_vm::restart()
{
    role.reset();
    ++incarnation;
    targets = target_pool(data_center_id("dc"));
    peers = membership(name);
    wasCoordinator = false;
    storeEra = 0;
    mapVersion = 0;
    startRole();
}

} // namespace

range_simulation_report runRangeSimulation(const range_simulation_options &options)
{
    return range_simulation(options).play();
}

} // namespace testing
} // namespace damaskward
