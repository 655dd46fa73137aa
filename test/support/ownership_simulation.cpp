// This file is long because it holds all fakes and all faults of a schedule.

#include "ownership_simulation.h"

#include <algorithm>

namespace damaskward {
namespace testing {

constexpr std::chrono::milliseconds tickPeriod{25};
constexpr std::chrono::milliseconds callTimeout{400};
constexpr std::chrono::milliseconds peerTimeout{300};
const std::string platformName = "platform";

/// A clock with an offset and a constant rate error relative to the true time.
struct skewed_clock
{
    double rate = 1.0;
    std::chrono::nanoseconds offset{0};

    std::chrono::nanoseconds read(std::chrono::nanoseconds trueTime) const
    {
        const auto ticks = static_cast<double>(trueTime.count()) * rate;
        return offset + std::chrono::nanoseconds(static_cast<std::int64_t>(ticks));
    }
};

/// \returns whether \a actions change a shard's owner. A pause of the VM just before such an action
/// is the most likely to reveal a fault.
bool movesShard(const action_list &actions)
{
    for (const ownership_action &action : actions) {
        const auto *commit = std::get_if<commit_table>(&action);
        if (commit != nullptr && commit->transaction.puts.front().name.rfind("shard/", 0) == 0) {
            return true;
        }
    }
    return false;
}

struct ownership_simulation::vm
{
    std::string name;
    data_center_id dc;
    skewed_clock clock;
    std::uint64_t incarnation = 0;
    bool alive = false;
    moment pausedUntil{0};
    std::unique_ptr<ownership> machine;

    time_point now(moment trueTime) const { return time_point(clock.read(trueTime)); }
    bool paused(moment trueTime) const { return trueTime < pausedUntil; }
};

struct ownership_simulation::target
{
    target_id id;
    skewed_clock clock;
    standin::target_state state{1};
    bool alive = true;
    moment pausedUntil{0};

    target_time now(moment trueTime) const
    {
        return {std::chrono::duration_cast<microseconds>(clock.read(trueTime)).count()};
    }
};

ownership_simulation::ownership_simulation(const schedule_options &options)
    : m_options(options)
    , m_random(options.seed)
{
    for (int i = 0; i < m_options.targets + m_options.remoteTargets; ++i) {
        auto t = std::make_unique<target>();
        t->id = {service_id("s"), "t" + std::to_string(i)};
        t->clock.rate = 1.0 + std::uniform_real_distribution<>(-0.004, 0.004)(m_random);
        t->clock.offset = randomTime(0, 1000000);
        t->state = standin::target_state(1, !m_options.defects.noFencing);
        m_targets[t->id.str()] = std::move(t);
    }
    for (int i = 0; i < m_options.vms; ++i) {
        addVm("a" + std::to_string(i), "a");
    }
    for (int i = 0; i < m_options.remoteVms; ++i) {
        addVm("b" + std::to_string(i), "b");
    }
    publishRules(rulesText());
    for (const auto &[name, v] : m_vms) {
        startVm(name);
    }
}

ownership_simulation::~ownership_simulation() = default;

void ownership_simulation::at(moment when, std::function<void()> act)
{
    m_events.push({std::max(when, m_now), ++m_order, std::move(act)});
}

ownership_simulation::moment ownership_simulation::randomTime(std::int64_t minMicros,
                                                              std::int64_t maxMicros)
{
    return microseconds(
        std::uniform_int_distribution<std::int64_t>(minMicros, maxMicros)(m_random));
}

bool ownership_simulation::chance(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

ownership_simulation::moment ownership_simulation::networkDelay()
{
    if (m_faultsOn && chance(m_slowMessageProbability)) {
        return randomTime(10000, 3000000);
    }
    return randomTime(100, 2500);
}

std::string ownership_simulation::rulesText() const
{
    std::string text = "data-center a share=50 # test\ndata-center b share=50 # test\n"
                       "service s keyed idempotent shards="
        + std::to_string(m_options.shards) + " # test\n";
    int index = 0;
    for (const auto &[name, t] : m_targets) {
        const std::string dc = index++ < m_options.targets ? "a" : "b";
        text += "target " + name;
        text += " dc=" + dc;
        text += " address=127.0.0.1:9000 # test\n";
    }
    for (const std::string &name : m_drainedTargets) {
        text += "drain " + name;
        text += " # test\n";
    }
    return m_isBDrained ? text + "out b # test\n" : text;
}

void ownership_simulation::publishRules(const std::string &text)
{
    const parsed<rule_set> rules = parseRules(text, "test");
    if (!rules.ok()) {
        m_report.violation =
            "the rules of the simulation are invalid: " + toString(rules.mistakes.front());
        return;
    }
    m_rules = std::make_shared<const rule_set>(rules.value);
    const std::uint64_t version = ++m_rulesVersion;
    for (const auto &[name, v] : m_vms) {
        const std::uint64_t incarnation = v->incarnation;
        after(randomTime(1000, 1000000),
              [this, name = name, incarnation, version, rules = m_rules] {
                  deliver(name, incarnation, rules_adopted{version, rules});
              });
    }
}

void ownership_simulation::addVm(const std::string &name, const std::string &dc)
{
    auto v = std::make_unique<vm>();
    v->name = name;
    v->dc = data_center_id(dc);
    const double drift = m_options.defects.fastClocks ? 0.3 : 0.004;
    v->clock.rate = 1.0 + std::uniform_real_distribution<>(-drift, drift)(m_random);
    v->clock.offset = randomTime(1000000000, 2000000000);
    m_vms[name] = std::move(v);
}

void ownership_simulation::startVm(const std::string &name)
{
    vm &v = *m_vms[name];
    v.alive = true;
    v.pausedUntil = moment{0};
    const std::uint64_t incarnation = ++v.incarnation;
    ownership_config config;
    config.self = vm_id(name);
    config.dataCenter = v.dc;
    config.nonce = m_random();
    v.machine = std::make_unique<ownership>(config);
    deliver(name, incarnation, rules_adopted{m_rulesVersion, m_rules});
    tickVm(name, incarnation);
}

void ownership_simulation::tickVm(const std::string &name, std::uint64_t incarnation)
{
    const vm &v = *m_vms[name];
    if (!v.alive || v.incarnation != incarnation) {
        return;
    }
    deliver(name, incarnation, tick{});
    after(tickPeriod, [this, name, incarnation] { tickVm(name, incarnation); });
}

void ownership_simulation::deliver(const std::string &name, std::uint64_t incarnation,
                                   const ownership_event &input)
{
    vm &v = *m_vms[name];
    if (!v.alive || v.incarnation != incarnation) {
        return;
    }
    if (v.paused(m_now)) {
        // Ticks are periodic and may be lost; all other events wait in the socket buffer.
        if (!std::holds_alternative<tick>(input)) {
            at(v.pausedUntil,
               [this, name, incarnation, input] { deliver(name, incarnation, input); });
        }
        return;
    }
    action_list actions;
    v.machine->handle(input, v.now(m_now), actions);
    // The process may be paused between a decision and the actions that follow from it.
    if (m_faultsOn && !actions.empty() && chance(movesShard(actions) ? 0.05 : 0.0005)) {
        v.pausedUntil = m_now + randomTime(10000, 4000000);
        at(v.pausedUntil,
           [this, name, incarnation, actions] { performAll(name, incarnation, actions); });
        return;
    }
    performAll(name, incarnation, actions);
}

void ownership_simulation::performAll(const std::string &name, std::uint64_t incarnation,
                                      const action_list &actions)
{
    const vm &v = *m_vms[name];
    if (!v.alive || v.incarnation != incarnation) {
        return;
    }
    for (const ownership_action &action : actions) {
        perform(name, incarnation, action);
    }
}

void ownership_simulation::perform(const std::string &from, std::uint64_t incarnation,
                                   const ownership_action &action)
{
    if (const auto *read = std::get_if<read_table>(&action)) {
        performRead(from, incarnation, *read);
    } else if (const auto *commit = std::get_if<commit_table>(&action)) {
        performCommit(from, incarnation, *commit);
    } else if (const auto *grant = std::get_if<send_grant>(&action)) {
        performGrant(from, incarnation, *grant);
    } else if (const auto *hold = std::get_if<send_hold_request>(&action)) {
        performHold(from, incarnation, *hold);
    } else if (const auto *vote = std::get_if<send_vote_request>(&action)) {
        performVote(from, incarnation, *vote);
    }
}

bool ownership_simulation::isDisconnected(const std::string &a, const std::string &b) const
{
    return m_disconnected.count(std::min(a, b) + "|" + std::max(a, b)) != 0;
}

bool ownership_simulation::reachesPlatform(const std::string &from, const vm_id &through) const
{
    if (m_platformDown) {
        return false;
    }
    if (through.empty()) {
        return !isDisconnected(from, platformName);
    }
    const auto relay = m_vms.find(through.str());
    const bool isRelayUp =
        relay != m_vms.end() && relay->second->alive && !relay->second->paused(m_now);
    return isRelayUp && !isDisconnected(from, through.str())
        && !isDisconnected(through.str(), platformName);
}

void ownership_simulation::performRead(const std::string &from, std::uint64_t incarnation,
                                       const read_table &action)
{
    const bool isAnswerLost = m_faultsOn && chance(m_answerLossProbability);
    after(networkDelay(), [this, from, incarnation, action, isAnswerLost] {
        if (!reachesPlatform(from, action.through) || isAnswerLost) {
            after(callTimeout, [this, from, incarnation, id = action.id] {
                deliver(from, incarnation, read_done{id, std::nullopt});
            });
            return;
        }
        const table_changes changes = m_table.changes(action.since, {});
        after(networkDelay(), [this, from, incarnation, id = action.id, changes] {
            deliver(from, incarnation, read_done{id, changes});
        });
    });
}

void ownership_simulation::performCommit(const std::string &from, std::uint64_t incarnation,
                                         const commit_table &action)
{
    const bool isAnswerLost = m_faultsOn && chance(m_answerLossProbability);
    after(networkDelay(), [this, from, incarnation, action, isAnswerLost] {
        commit_answer answer;
        const bool isReached = reachesPlatform(from, action.through);
        if (isReached) {
            table_transaction transaction = action.transaction;
            if (m_options.defects.noRoleCheck) {
                auto &checks = transaction.checks;
                const auto isRole = [](const table_check &c) {
                    return c.name.rfind("role/", 0) == 0;
                };
                const bool moves = transaction.puts.front().name.rfind("shard/", 0) == 0;
                if (moves) {
                    checks.erase(std::remove_if(checks.begin(), checks.end(), isRole),
                                 checks.end());
                }
            }
            answer = m_table.commit(transaction);
            observe();
        }
        if (!isReached || isAnswerLost) {
            after(callTimeout, [this, from, incarnation, id = action.id] {
                deliver(from, incarnation, commit_done{id, commit_answer{}});
            });
            return;
        }
        after(networkDelay(), [this, from, incarnation, action, answer] {
            recordAcknowledged(action.transaction, answer);
            deliver(from, incarnation, commit_done{action.id, answer});
        });
    });
}

void ownership_simulation::performGrant(const std::string &from, std::uint64_t incarnation,
                                        const send_grant &action)
{
    const std::string name = action.request.target.str();
    const auto fail = [this, from, incarnation, action](moment delay, bool refused) {
        after(delay, [this, from, incarnation, action, refused] {
            deliver(from, incarnation, grant_done{action.request.target, std::nullopt, refused});
        });
    };
    const auto arrive = [this, from, incarnation, action, name, fail] {
        target &t = *m_targets[name];
        if (isDisconnected(from, name) || m_now < t.pausedUntil) {
            fail(peerTimeout, false);
            return;
        }
        if (!t.alive) {
            fail(randomTime(100, 1000), true);
            return;
        }
        grant_request command = action.request;
        if (m_options.defects.leaseCountsFromArrival && command.boot != 0) {
            command.deadline.micros = t.now(m_now).micros + 800000;
        }
        const grant_answer answer = t.state.take(command, t.now(m_now));
        observe();
        after(networkDelay(), [this, from, incarnation, answer, target = action.request.target] {
            deliver(from, incarnation, grant_done{target, answer, false});
        });
    };
    after(networkDelay(), arrive);
    if (m_faultsOn && chance(0.03)) {
        after(randomTime(1000, 900000), arrive); // The message is delivered twice.
    }
}

void ownership_simulation::performHold(const std::string &from, std::uint64_t incarnation,
                                       const send_hold_request &action)
{
    after(networkDelay(), [this, from, incarnation, action] {
        const std::string to = action.to.str();
        const auto peer = m_vms.find(to);
        const bool isReached = peer != m_vms.end() && peer->second->alive
            && !peer->second->paused(m_now) && !isDisconnected(from, to);
        std::optional<hold_answer> answer;
        if (isReached) {
            action_list actions;
            vm &v = *peer->second;
            v.machine->handle(hold_request_received{1, action.request}, v.now(m_now), actions);
            for (const ownership_action &a : actions) {
                if (const auto *answered = std::get_if<answer_hold>(&a)) {
                    answer = answered->answer;
                }
            }
            performAll(to, v.incarnation, actions);
        }
        after(isReached ? networkDelay() : peerTimeout, [this, from, incarnation, action, answer] {
            deliver(from, incarnation, hold_answered{action.id, action.to, answer});
        });
    });
}

void ownership_simulation::performVote(const std::string &from, std::uint64_t incarnation,
                                       const send_vote_request &action)
{
    after(networkDelay(), [this, from, incarnation, action] {
        const std::string to = action.to.str();
        const auto peer = m_vms.find(to);
        const bool isReached = peer != m_vms.end() && peer->second->alive
            && !peer->second->paused(m_now) && !isDisconnected(from, to);
        std::optional<vote_answer> answer;
        if (m_options.defects.approvesWithoutVotes) {
            const session_row row =
                decodeSession(m_table.read({sessionName(action.to)}).rows.at(0).value).value();
            answer = vote_answer{true, row.term};
        } else if (isReached) {
            action_list actions;
            vm &v = *peer->second;
            v.machine->handle(vote_request_received{1, action.request}, v.now(m_now), actions);
            for (const ownership_action &a : actions) {
                if (const auto *answered = std::get_if<answer_vote>(&a)) {
                    answer = answered->answer;
                }
            }
        }
        after(answer ? networkDelay() : peerTimeout, [this, from, incarnation, action, answer] {
            deliver(from, incarnation, vote_answered{action.id, action.to, answer});
        });
    });
}

void ownership_simulation::scheduleNextFault()
{
    if (!m_faultsOn) {
        return;
    }
    after(randomTime(20000, 1200000), [this] {
        if (m_faultsOn) {
            injectFault();
            scheduleNextFault();
        }
    });
}

void ownership_simulation::injectFault()
{
    std::vector<std::string> vms;
    for (const auto &[name, v] : m_vms) {
        vms.push_back(name);
    }
    std::vector<std::string> targets;
    for (const auto &[name, t] : m_targets) {
        targets.push_back(name);
    }
    const auto pickRandom = [this](const std::vector<std::string> &names) {
        return names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(m_random)];
    };
    const std::string v = pickRandom(vms);
    const std::string t = pickRandom(targets);
    switch (std::uniform_int_distribution<int>(0, 14)(m_random)) {
    case 0: // A VM terminates and restarts as a new incarnation.
        m_vms[v]->alive = false;
        after(randomTime(100000, 5000000), [this, v] {
            if (!m_vms[v]->alive) {
                startVm(v);
            }
        });
        break;
    case 1: // A VM is paused, possibly for longer than any lease.
        m_vms[v]->pausedUntil = m_now + randomTime(50000, 6000000);
        break;
    case 2: // A target is paused.
        m_targets[t]->pausedUntil = m_now + randomTime(50000, 4000000);
        break;
    case 3: // A target terminates and restarts without any shards.
        m_targets[t]->alive = false;
        after(randomTime(50000, 4000000), [this, t] {
            target &restarted = *m_targets[t];
            if (!restarted.alive) {
                restarted.state =
                    standin::target_state(restarted.state.boot() + 1, !m_options.defects.noFencing);
                restarted.alive = true;
            }
        });
        break;
    case 4: // The network between a VM and the platform fails.
        m_disconnected.insert(std::min(v, platformName) + "|" + std::max(v, platformName));
        break;
    case 5: { // The network between two VMs fails.
        const std::string other = pickRandom(vms);
        m_disconnected.insert(std::min(v, other) + "|" + std::max(v, other));
        break;
    }
    case 6: // The network between a VM and a target fails.
        m_disconnected.insert(std::min(v, t) + "|" + std::max(v, t));
        break;
    case 7:
        m_platformDown = m_options.outages && !m_platformDown;
        break;
    case 8:
        m_answerLossProbability = chance(0.5) ? 0.0 : 0.3;
        m_slowMessageProbability = chance(0.5) ? 0.0 : 0.05;
        break;
    case 9: // Two operators race: one drains a target, the other ends the drain.
        if (!m_drainedTargets.insert(t).second) {
            m_drainedTargets.erase(t);
        }
        publishRules(rulesText());
        break;
    case 10:
        m_isBDrained = !m_isBDrained;
        publishRules(rulesText());
        break;
    case 11:
    case 12:
        splitNetwork();
        break;
    default:
        m_disconnected.clear();
        m_platformDown = false;
        break;
    }
}

void ownership_simulation::splitNetwork()
{
    std::vector<std::string> sides[2];
    const auto place = [this, &sides](const std::string &name) {
        sides[chance(0.5) ? 1 : 0].push_back(name);
    };
    place(platformName);
    for (const auto &[name, v] : m_vms) {
        place(name);
    }
    for (const auto &[name, t] : m_targets) {
        place(name);
    }
    for (const std::string &left : sides[0]) {
        for (const std::string &right : sides[1]) {
            m_disconnected.insert(std::min(left, right) + "|" + std::max(left, right));
        }
    }
}

void ownership_simulation::endFaults()
{
    m_faultsOn = false;
    m_disconnected.clear();
    m_platformDown = false;
    m_answerLossProbability = 0.0;
    m_slowMessageProbability = 0.0;
    for (const auto &[name, v] : m_vms) {
        v->pausedUntil = std::min(v->pausedUntil, m_now);
        if (!v->alive) {
            startVm(name);
        }
    }
    for (const auto &[name, t] : m_targets) {
        t->pausedUntil = std::min(t->pausedUntil, m_now);
        if (!t->alive) {
            t->state = standin::target_state(t->state.boot() + 1);
            t->alive = true;
        }
    }
}

void ownership_simulation::observeGrants()
{
    std::map<std::uint32_t, std::string> owners;
    for (const auto &[name, t] : m_targets) {
        if (!t->alive || t->state.deadline() <= t->now(m_now)) {
            continue;
        }
        for (const auto &[number, held] : t->state.shards()) {
            const auto [first, inserted] = owners.emplace(number, name);
            if (!inserted) {
                m_report.violation = "shard " + std::to_string(number) + " is held by "
                    + first->second + " and " + name + " at "
                    + std::to_string(m_now.count() / 1000000) + " ms";
            }
        }
    }
}

void ownership_simulation::observeRows()
{
    const table_changes changes = m_table.changes(m_observedRevision, {std::string(shardPrefix)});
    m_observedRevision = changes.revision;
    for (const table_row &row : changes.rows) {
        const shard_id shard = shardOfName(row.name).value();
        const shard_row now = decodeShard(row.value).value();
        std::uint64_t &highest = m_highestEpoch[shard];
        const auto known = m_acknowledged.find(shard);
        const bool isLost = known != m_acknowledged.end()
            && (now.epoch < known->second.epoch
                || (now.epoch == known->second.epoch && now.target != known->second.target));
        if (now.epoch < highest || isLost) {
            m_report.violation = row.name + ": an acknowledged assignment was lost";
        }
        m_report.moves += now.epoch > highest && highest != 0 ? 1 : 0;
        highest = now.epoch;
    }
}

void ownership_simulation::recordAcknowledged(const table_transaction &transaction,
                                              const commit_answer &answer)
{
    if (answer.outcome != commit_outcome::Applied) {
        return;
    }
    for (const table_put &put : transaction.puts) {
        const std::optional<shard_id> shard = shardOfName(put.name);
        const std::optional<shard_row> row = shard ? decodeShard(put.value) : std::nullopt;
        if (row && row->epoch > m_acknowledged[*shard].epoch) {
            m_acknowledged[*shard] = *row;
        }
        const std::optional<session_row> session = decodeSession(put.value);
        m_report.expirations += session && session->state == session_state::Lapsed ? 1 : 0;
    }
}

void ownership_simulation::observe()
{
    ++m_report.steps;
    observeGrants();
    observeRows();
}

bool ownership_simulation::allShardsGranted() const
{
    std::set<std::uint32_t> granted;
    for (const auto &[name, t] : m_targets) {
        if (t->alive && t->now(m_now) < t->state.deadline()) {
            for (const auto &[number, held] : t->state.shards()) {
                granted.insert(number);
            }
        }
    }
    return granted.size() == static_cast<std::size_t>(m_options.shards);
}

schedule_report ownership_simulation::run()
{
    m_faultsOn = false;
    at(moment(std::chrono::seconds(2)), [this] {
        m_faultsOn = true;
        scheduleNextFault();
    });
    const moment faultsEndAt = std::chrono::seconds(2) + m_options.faultTime;
    at(faultsEndAt, [this] { endFaults(); });
    const moment endAt = faultsEndAt + m_options.recoveryTime;
    while (!m_events.empty() && m_events.top().at < endAt && m_report.violation.empty()) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.act();
        for (const auto &[name, v] : m_vms) {
            const bool isInHoldover =
                v->alive && !v->paused(m_now) && v->machine->session().inHoldover(v->now(m_now));
            m_report.holdovers += isInHoldover ? 1 : 0;
        }
    }
    m_report.recovered = allShardsGranted();
    return m_report;
}

} // namespace testing
} // namespace damaskward
