#include "room_exchange.h"

#include "../Hashing/key_hash.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace damaskward {
namespace {

/// Requests that a target can have under way, as a multiple of its slots, in the deployments that
/// were measured (3 slots and 12 waiting requests).
constexpr int assumedCapacityPerSlot = 5;
/// Separates the parts of the name of a group.
constexpr char groupSeparator = '|';
/// Requests are numbered from the incarnation of the process times this, which is more than one
/// process can send, so that no number is used twice.
constexpr std::uint64_t numbersPerMilli = 1000;
constexpr const char *rolePrefix = "room/";
/// Interval at which waiting requests are checked for their deadlines.
constexpr milliseconds waitingCheckInterval{20};
/// Retry-After while the owner of the capacity is silent.
constexpr milliseconds silentRetryAfter = room_client::silentTime;

} // namespace

room_fleet fleetOf(const membership &peers)
{
    room_fleet fleet;
    fleet.self = peers.self();
    fleet.holder = [&peers](const std::string &dc, const std::string &role, time_point now) {
        // Without a live VM in another data centre, this VM is named for it.
        const std::string &holder = peers.roleHolderIn(dc, role, now);
        return holder == peers.self() && dc != peers.dataCenter() ? std::string() : holder;
    };
    fleet.addressOf = [&peers](const std::string &vm) {
        const auto it = peers.members().find(vm);
        return it == peers.members().end() ? std::string() : it->second.lastHeartbeat.ip;
    };
    fleet.reachableShare = [&peers](time_point now) { return peers.reachableShare(now); };
    fleet.vmCount = [&peers] { return static_cast<int>(peers.knownCount()); };
    fleet.rank = [&peers](std::string_view role) {
        const std::uint64_t hash = keyHash(role);
        const std::uint64_t own = combineHash(hash, keyHash(peers.self()));
        return static_cast<int>(
            std::count_if(peers.members().begin(), peers.members().end(), [&](const auto &entry) {
                return combineHash(hash, entry.second.hash) > own;
            }));
    };
    return fleet;
}

room_exchange::room_exchange(room_fleet fleet, target_pool &targets, metrics &counts,
                             request_log &log, std::int64_t incarnation, clock now, sender send,
                             std::function<void(time_point)> wakeAt)
    : m_fleet(std::move(fleet))
    , m_targets(targets)
    , m_metrics(counts)
    , m_log(log)
    , m_now(std::move(now))
    , m_send(std::move(send))
    , m_wakeAt(std::move(wakeAt))
    , m_client(static_cast<std::uint64_t>(incarnation) * numbersPerMilli)
{ }

bool room_exchange::usesRoom(const service_id &service, bool isSharded) const
{
    const int vms = m_fleet.vmCount();
    return m_enabled && (!isSharded || m_isUsedForSharded)
        && std::any_of(m_targets.all().begin(), m_targets.all().end(), [&](const auto &entry) {
               const target_record &record = entry.second.record;
               return record.service == service && vms > record.slots * assumedCapacityPerSlot;
           });
}

std::uint64_t room_exchange::acquire(const capacity_query &query, callback done)
{
    const time_point now = m_now();
    const std::string group = textOf(query);
    capacity_request request;
    request.priority = query.priority;
    request.team = query.team.str();
    request.left = milliseconds(toMillis(query.deadline - now));
    request.tried.assign(query.tried.begin(), query.tried.end());
    const std::uint64_t number = m_client.request(
        group, std::move(request),
        [this, group, query, done = std::move(done)](const capacity_decision &decision) {
            finishAcquire(group, query, decision, done);
        },
        now);
    scheduleWake(now);
    return number;
}

void room_exchange::release(const capacity_return &result)
{
    m_client.finish(result, m_now());
    scheduleWake(m_client.nextDueAt());
}

bool room_exchange::handle(const peer_message &message, time_point now)
{
    if (const auto *reports = std::get_if<capacity_reports>(&message)) {
        for (const capacity_report &report : reports->reports) {
            applyReport(reports->from, report, now);
        }
        process(now);
        return true;
    }
    if (const auto *decisions = std::get_if<capacity_decisions>(&message)) {
        m_client.apply(*decisions, now);
        scheduleWake(m_client.nextDueAt());
        return true;
    }
    return false;
}

void room_exchange::wake(time_point now)
{
    if (now >= m_nextWake) { // Otherwise an earlier call has already done what was due.
        process(now);
    }
}

void room_exchange::process(time_point now)
{
    if (m_nextWake <= now) {
        m_nextWake = time_point::max();
    }
    m_client.expire(now);
    const auto owner = [&](const std::string &group) { return ownerOf(group, now); };
    for (auto &[vm, reports] : m_client.takeDueReports(owner, now)) {
        if (vm == m_fleet.self) {
            for (const capacity_report &report : reports) {
                applyReport(vm, report, now);
            }
        } else if (!vm.empty()) {
            m_metrics.count("capacity_reports_sent");
            sendTo(vm, capacity_reports{m_fleet.self, std::move(reports)});
        }
    }
    bool isWaiting = false;
    for (auto &[group, ledger] : m_ledgers) {
        if (ledger.waitingCount() > 0) {
            sendDecisions(group, ledger, now);
            isWaiting = isWaiting || ledger.waitingCount() > 0;
        }
    }
    scheduleWake(
        std::min(m_client.nextDueAt(), isWaiting ? now + waitingCheckInterval : time_point::max()));
}

void room_exchange::tick(time_point now)
{
    for (auto it = m_ledgers.begin(); it != m_ledgers.end();) {
        if (ownerOf(it->first, now) != m_fleet.self) {
            m_log.write(log_line("capacity given up")
                            .add("group", it->first)
                            .add("inUse", it->second.inUse())
                            .add("waiting", it->second.waitingCount()));
            it = m_ledgers.erase(it); // The requests that wait are sent again to the new owner.
            continue;
        }
        updateTargets(it->first, it->second, now);
        ++it;
    }
    m_client.checkOwners([&](const std::string &group) { return ownerOf(group, now); }, now);
    process(now);
}

void room_exchange::updateGauges()
{
    std::size_t inUse = 0;
    std::size_t waiting = 0;
    for (const auto &[group, ledger] : m_ledgers) {
        inUse += ledger.inUse();
        waiting += ledger.waitingCount();
    }
    m_metrics.gauge("capacity_groups_owned", static_cast<double>(m_ledgers.size()));
    m_metrics.gauge("capacity_in_use", static_cast<double>(inUse));
    m_metrics.gauge("capacity_requests_waiting", static_cast<double>(waiting));
    m_metrics.gauge("capacity_requests_pending", static_cast<double>(m_client.pendingCount()));
}

const room_ledger *room_exchange::ledgerOf(const capacity_query &query) const
{
    const auto it = m_ledgers.find(textOf(query));
    return it == m_ledgers.end() ? nullptr : &it->second;
}

void room_exchange::sendTo(const std::string &vm, const peer_message &message)
{
    if (const std::string ip = m_fleet.addressOf(vm); !ip.empty()) {
        m_send(ip, message);
    }
}

std::string room_exchange::textOf(const capacity_query &query)
{
    return query.dataCenter.str() + groupSeparator + query.service.str() + groupSeparator
        + query.target;
}

room_exchange::group_name room_exchange::parse(const std::string &text)
{
    const std::size_t first = text.find(groupSeparator);
    const std::size_t second = text.find(groupSeparator, first + 1);
    if (first == std::string::npos || second == std::string::npos) {
        return {};
    }
    return {text.substr(0, first), text.substr(first + 1, second - first - 1),
            text.substr(second + 1)};
}

std::string room_exchange::ownerOf(const std::string &group, time_point now) const
{
    return m_fleet.holder(group.substr(0, group.find(groupSeparator)), rolePrefix + group, now);
}

/// \returns the ledger of \a group, or null if this VM does not own the group's capacity: two VMs
/// that disagree on the owner must not both grant it.
room_ledger *room_exchange::findLedger(const std::string &group, time_point now)
{
    if (ownerOf(group, now) != m_fleet.self) {
        return nullptr;
    }
    const auto [it, added] = m_ledgers.try_emplace(group, now);
    if (added) {
        updateTargets(group, it->second, now);
        m_log.write(log_line("capacity taken over").add("group", group));
    }
    return &it->second;
}

void room_exchange::updateTargets(const std::string &group, room_ledger &ledger,
                                  time_point now) const
{
    const group_name name = parse(group);
    std::vector<capacity_target> targets;
    for (const auto &[targetName, t] : m_targets.all()) {
        const bool isMember = name.target.empty()
            ? t.record.service.str() == name.service && t.record.dataCenter.str() == name.dataCenter
                && m_targets.isUsable(t, now) && !target_pool::isWarmingUp(t, now)
            : targetName == name.target;
        if (isMember) {
            targets.push_back({targetName, t.record.slots, t.inFlight + t.peerInFlight});
        }
    }
    ledger.setTargets(targets);
    ledger.setReachableShare(m_fleet.reachableShare(now));
}

void room_exchange::applyReport(const std::string &from, const capacity_report &report,
                                time_point now)
{
    room_ledger *ledger = findLedger(report.group, now);
    if (!ledger) {
        m_metrics.count("capacity_reports_misdirected");
        return; // The VM falls back after its time-out.
    }
    ledger->apply(from, report, now);
    sendDecisions(report.group, *ledger, now);
}

void room_exchange::sendDecisions(const std::string &group, room_ledger &ledger, time_point now)
{
    std::map<std::string, capacity_decisions> byVm;
    for (addressed_decision &d : ledger.decide(now)) {
        m_metrics.count(d.decision.verdict == capacity_verdict::Granted ? "capacity_grants"
                            : d.decision.verdict == capacity_verdict::Refused
                            ? "capacity_refusals"
                            : "capacity_waiting_answers");
        byVm[d.to].decisions.push_back(std::move(d.decision));
    }
    for (auto &[vm, message] : byVm) {
        message.group = group;
        if (vm == m_fleet.self) {
            m_client.apply(message, now);
        } else {
            m_metrics.count("capacity_decisions_sent");
            sendTo(vm, message);
        }
    }
}

void room_exchange::finishAcquire(const std::string &group, const capacity_query &query,
                                  const capacity_decision &decision, const callback &done)
{
    capacity_answer answer;
    switch (decision.verdict) {
    case capacity_verdict::Granted:
        answer = {decision.number, decision.target, {}};
        break;
    case capacity_verdict::Refused:
        answer.retryAfter = decision.retryAfter;
        break;
    case capacity_verdict::Unanswered:
        answer = fallBack(group, query, m_now());
        break;
    case capacity_verdict::Waiting:
        return;
    }
    done(answer);
}

/// Chooses a target by this VM's own estimate, within its part of the capacity.
capacity_answer room_exchange::fallBack(const std::string &group, const capacity_query &query,
                                        time_point now)
{
    const target_state *target = nullptr;
    if (query.target.empty()) {
        target = m_targets.choose({query.service, query.tried, false, false,
                                   [&](const target_state &t) {
                                       return t.record.dataCenter == query.dataCenter
                                           && isWithinFallback(t);
                                   }},
                                  now);
    } else {
        target = m_targets.find(query.target);
        target = target && isWithinFallback(*target) ? target : nullptr;
    }
    m_metrics.count(target ? "capacity_fallback_sends" : "capacity_fallback_refusals");
    if (!target) {
        return {0, {}, silentRetryAfter};
    }
    const milliseconds left(toMillis(query.deadline - now));
    return {m_client.useFallback(group, target->record.name, left, now), target->record.name, {}};
}

bool room_exchange::isWithinFallback(const target_state &target) const
{
    const std::string &name = target.record.name;
    return m_client.heldAt(name)
        < room_client::fallbackShare(target.record.slots, m_fleet.vmCount(), m_fleet.rank(name));
}

void room_exchange::scheduleWake(time_point at)
{
    if (at < m_nextWake) {
        m_nextWake = at;
        m_wakeAt(at);
    }
}

} // namespace damaskward
