#include "range_coordinator.h"

#include <algorithm>
#include <utility>

namespace damaskward {
namespace {

/// The platform's documentation allows the clocks with which targets time their grants to run this
/// many percent slow.
constexpr int maxClockSlowPercent = 2;
/// Time between two plans: about as long as a hot range of keys takes to show in the load.
constexpr milliseconds planInterval{250};
/// Limits the ranges that change owner at the same time, so that most keys stay served.
constexpr std::size_t maxConcurrentMoves = 12;

/// \returns the longest time from issuing a grant until it has certainly expired.
milliseconds grantValidity(const coordinator_timing &timing, milliseconds leaseDuration)
{
    return timing.grantTimeout + timing.maxNetworkDelay + leaseDuration
        + leaseDuration * maxClockSlowPercent / 100;
}

} // namespace

coordinator_timing timingFor(std::int64_t targets, milliseconds maxLeaseDuration)
{
    // Lease duration added per target. With about two ranges per target it causes 300 renewals per
    // second, which take a tenth of a core of a small VM.
    constexpr milliseconds leaseTimePerTarget{7};
    coordinator_timing timing;
    // The time in which the next coordinator must take over before owners lose their keys.
    const milliseconds takeoverTime = timing.leaseDuration - timing.renewInterval;
    timing.outageLeaseDuration = std::min(timing.outageLeaseDuration, maxLeaseDuration);
    const milliseconds desiredDuration =
        std::max(timing.leaseDuration, targets * leaseTimePerTarget + takeoverTime);
    timing.leaseDuration = std::min(desiredDuration, timing.outageLeaseDuration);
    timing.renewInterval = std::max(timing.leaseDuration - takeoverTime, timing.leaseDuration / 4);
    return timing;
}

range_coordinator::range_coordinator(coordinator_timing timing,
                                     const std::vector<range_owner> &recorded, bool unsettled,
                                     time_point now)
    : m_timing(timing)
    , m_load(now)
    , m_nextPlanAt(now + planInterval)
{
    for (const range_owner &owner : recorded) {
        range_state range;
        range.owner = owner;
        range.state = phase::Held;
        range.nextCommandAt = now;
        range.grantExpiresAt = unsettled ? now + maxGrantValidity(timing.outageLeaseDuration) : now;
        range.unconfirmedUntil = unsettled ? range.grantExpiresAt : time_point{};
        m_ranges.push_back(std::move(range));
    }
    if (!m_ranges.empty()) {
        fillGaps(now);
    }
}

void range_coordinator::fillGaps(time_point now)
{
    std::vector<range_state> all;
    int next = 0;
    const auto addFree = [&](int end) {
        if (next < end) {
            range_state range;
            range.owner.keys = {static_cast<shard_key>(next), static_cast<shard_key>(end - 1)};
            range.state = phase::Free;
            range.grantExpiresAt = now;
            all.push_back(std::move(range));
        }
    };
    for (range_state &range : m_ranges) {
        addFree(range.owner.keys.first);
        next = range.owner.keys.last + 1;
        all.push_back(std::move(range));
    }
    addFree(keyCount);
    m_ranges = std::move(all);
}

milliseconds longestGrantValidity(const coordinator_timing &timing)
{
    return grantValidity(timing, timing.outageLeaseDuration);
}

milliseconds range_coordinator::maxGrantValidity(milliseconds leaseDuration) const
{
    return grantValidity(m_timing, leaseDuration);
}

std::string_view range_coordinator::ownerOf(shard_key key) const
{
    const auto it = std::upper_bound(
        m_ranges.begin(), m_ranges.end(), key,
        [](shard_key k, const range_state &range) { return k < range.owner.keys.first; });
    if (it == m_ranges.begin() || !std::prev(it)->owner.keys.contains(key)
        || std::prev(it)->state != phase::Held) {
        return {};
    }
    return std::prev(it)->owner.target;
}

std::vector<range_command> range_coordinator::step(const owner_views &views, time_point leaseEnd,
                                                   time_point now)
{
    std::vector<range_command> commands;
    if (m_ranges.empty()) {
        std::vector<owner_candidate> candidates;
        for (const auto &[name, view] : views) {
            if (isEligible(name, view, now) && !view.isWarmingUp) {
                candidates.push_back({name, view.incarnation, view.capacity});
            }
        }
        for (const range_owner &owner : evenSplit(candidates)) {
            range_state range;
            range.owner.keys = owner.keys;
            range.plannedTarget = owner.target;
            range.state = phase::Free;
            m_ranges.push_back(std::move(range));
        }
    }
    for (range_state &range : m_ranges) {
        reclaimIfOwnerUnfit(range, views, now);
    }
    if (now >= m_nextPlanAt) {
        m_nextPlanAt = now + planInterval;
        startPlannedMoves(views, now);
        mergeAdjacentRanges();
    }
    chooseOwners(views, now);
    for (range_state &range : m_ranges) {
        if (range.pendingCommand != 0 || now < range.nextCommandAt) {
            continue;
        }
        if (range.state == phase::Releasing) {
            appendRelease(range, now, commands);
        } else if ((range.state == phase::Held || range.state == phase::Granting)
                   && now < leaseEnd) {
            appendGrant(range, now, commands);
        }
    }
    return commands;
}

void range_coordinator::reclaimIfOwnerUnfit(range_state &range, const owner_views &views,
                                            time_point now)
{
    if (range.state == phase::Free || range.state == phase::Recording) {
        return;
    }
    const auto it = views.find(range.owner.target);
    const bool hasTerminated = it != views.end() && it->second.hasTerminated;
    const bool isReleasing = range.state == phase::Releasing;
    if (hasTerminated || (isReleasing && now >= range.grantExpiresAt)) {
        if (hasTerminated) {
            range.owner.handover.clear();
        }
        markFree(range); // The owner's process has terminated, or its last grant has expired.
        return;
    }
    if (it != views.end()
        && it->second.incarnation > std::max(range.owner.incarnation, range.nextIncarnation)) {
        reclaimFromNextIncarnation(range, it->second.incarnation, now);
        return;
    }
    if (isReleasing) {
        return;
    }
    const bool isUnresponsive = range.unansweredSince != time_point{}
        && now >= range.unansweredSince + m_timing.leaseDuration - m_timing.renewInterval;
    const bool mayOwn = it != views.end() && it->second.reachable && it->second.mayOwn;
    if (isUnresponsive) {
        abandonCommand(range);
        startRelease(range, {}, now);
    } else if (!mayOwn && range.state == phase::Held && range.pendingCommand == 0) {
        releaseOrRefence(range, {}, now);
    }
}

/// Takes the keys from the next incarnation of an owner. It has the name and the address of the
/// previous one, so it may hold them by a renewal that was meant for the latter.
void range_coordinator::reclaimFromNextIncarnation(range_state &range, std::int64_t incarnation,
                                                   time_point now)
{
    // The record names it only with a new fencing token: the next coordinator would grant it the
    // old one.
    range.nextIncarnation = incarnation;
    range.owner.handover.clear();
    if (range.state == phase::Releasing) {
        range.pendingCommand = 0; // The previous incarnation can't answer it any more.
        range.nextCommandAt = now;
        return;
    }
    abandonCommand(range);
    releaseOrRefence(range, {}, now);
}

/// Takes the keys from an owner that answers commands. While an unconfirmed grant may be in force,
/// the owner first gets a new fencing token; otherwise it could still apply that grant after it has
/// released the keys.
void range_coordinator::releaseOrRefence(range_state &range, const std::string &to, time_point now)
{
    if (hasUnconfirmedGrant(range, now)) {
        startRefence(range, to);
    } else {
        startRelease(range, to, now);
    }
}

/// Gives the owner a new fencing token, with which it refuses all earlier grants.
/// \param to the planned next owner, or empty
void range_coordinator::startRefence(range_state &range, const std::string &to)
{
    range.isRefencing = true;
    range.targetAfterRefence = to;
    range.plannedTarget = range.owner.target;
    range.state = phase::Free;
    bumpRevision();
}

bool range_coordinator::hasUnconfirmedGrant(const range_state &range, time_point now)
{
    return now < std::max(range.unconfirmedUntil, range.previousUnconfirmedUntil);
}

void range_coordinator::startRelease(range_state &range, const std::string &to, time_point now)
{
    range.state = phase::Releasing;
    range.owner.handover.clear();
    range.plannedTarget = to;
    range.nextCommandAt = now;
    bumpRevision();
}

void range_coordinator::abandonCommand(range_state &range)
{
    if (range.pendingCommand != 0) {
        range.unconfirmedUntil = std::max(range.unconfirmedUntil, range.grantExpiresAt);
        range.pendingCommand = 0;
    }
}

void range_coordinator::markFree(range_state &range)
{
    range.state = phase::Free;
    range.nextIncarnation = 0;
    range.pendingCommand = 0;
    range.unconfirmedUntil = time_point{};
    range.previousUnconfirmedUntil = time_point{};
    range.isRefencing = false;
    range.triedRefenceAfterRelease = false;
    bumpRevision();
}

void range_coordinator::startPlannedMoves(const owner_views &views, time_point now)
{
    std::vector<owner_candidate> candidates;
    for (const auto &[name, view] : views) {
        if (isEligible(name, view, now) && !view.isWarmingUp) {
            candidates.push_back({name, view.incarnation, view.capacity});
        }
    }
    std::vector<range_owner> owners;
    std::size_t movingCount = 0;
    for (const range_state &range : m_ranges) {
        range_owner owner = range.owner;
        if (range.state != phase::Held) {
            ++movingCount;
            // The load counts for the planned owner. The plan does not move the range again.
            owner.target = range.plannedTarget;
        }
        owners.push_back(owner);
    }
    if (movingCount >= maxConcurrentMoves) {
        return;
    }
    for (const planned_move &move :
         planMoves(owners, m_load, candidates, maxConcurrentMoves - movingCount, now)) {
        startMove(move.keys, move.to, now);
    }
}

void range_coordinator::startMove(key_range keys, const std::string &to, time_point now)
{
    for (std::size_t i = 0; i < m_ranges.size(); ++i) {
        const key_range currentKeys = m_ranges[i].owner.keys;
        if (!currentKeys.contains(keys.first) || !currentKeys.contains(keys.last)
            || m_ranges[i].state != phase::Held || m_ranges[i].pendingCommand != 0
            || m_ranges[i].unansweredSince != time_point{}) {
            continue;
        }
        range_state rest = m_ranges[i];
        range_state &moved = m_ranges[i];
        moved.owner.keys = keys;
        releaseOrRefence(moved, to, now);
        std::vector<range_state> others;
        if (currentKeys.first < keys.first) {
            rest.owner.keys = {currentKeys.first, static_cast<shard_key>(keys.first - 1)};
            others.push_back(rest);
        }
        if (keys.last < currentKeys.last) {
            rest.owner.keys = {static_cast<shard_key>(keys.last + 1), currentKeys.last};
            others.push_back(rest);
        }
        m_ranges.insert(m_ranges.end(), others.begin(), others.end());
        std::sort(m_ranges.begin(), m_ranges.end(), [](const range_state &a, const range_state &b) {
            return a.owner.keys.first < b.owner.keys.first;
        });
        bumpRevision();
        return;
    }
}

void range_coordinator::chooseOwners(const owner_views &views, time_point now)
{
    std::map<std::string, double, std::less<>> loads;
    for (const auto &[name, view] : views) {
        if (isEligible(name, view, now)) {
            loads[name] = 0.0;
        }
    }
    if (loads.empty()) {
        return;
    }
    bool anyFree = false;
    for (const range_state &range : m_ranges) {
        anyFree = anyFree || range.state == phase::Free;
    }
    if (!anyFree) {
        return;
    }
    const auto weightOf = [&](const range_state &range) {
        return m_load.of(range.owner.keys, now)
            + static_cast<double>(range.owner.keys.size()) / keyCount;
    };
    for (const range_state &range : m_ranges) {
        const auto it =
            loads.find(range.state == phase::Free ? range.plannedTarget : range.owner.target);
        if (it != loads.end()) {
            it->second += weightOf(range) / views.find(it->first)->second.capacity;
        }
    }
    // A target that is warming up gets keys only if there is no other.
    constexpr double warmupPenalty = 1e6;
    for (range_state &range : m_ranges) {
        if (range.state != phase::Free || range.isRefencing
            || loads.count(range.plannedTarget) != 0) {
            continue;
        }
        const std::string *best = nullptr;
        double bestLoad = 0.0;
        for (const auto &[name, load] : loads) {
            const double total =
                load + (views.find(name)->second.isWarmingUp ? warmupPenalty : 0.0);
            if (!best || total < bestLoad) {
                best = &name;
                bestLoad = total;
            }
        }
        range.plannedTarget = *best;
        loads[*best] += weightOf(range) / views.find(*best)->second.capacity;
    }
    for (range_state &range : m_ranges) {
        if (range.state == phase::Free && !range.isRefencing) {
            range.owner.incarnation = views.find(range.plannedTarget)->second.incarnation;
        }
    }
}

void range_coordinator::appendGrant(range_state &range, time_point now,
                                    std::vector<range_command> &commands)
{
    milliseconds leaseDuration =
        range.usesOutageLease ? m_timing.outageLeaseDuration : m_timing.leaseDuration;
    if (range.unansweredSince != time_point{} && !range.usesOutageLease) {
        // A repeated renewal must not extend the lease beyond that of the first unanswered one.
        const auto remaining = std::chrono::duration_cast<milliseconds>(
            range.unansweredSince + m_timing.leaseDuration - now);
        leaseDuration = std::max(remaining, m_timing.retryDelay);
    }
    range.pendingCommand = ++m_lastCommand;
    range.commandSentAt = now;
    range.previousGrantExpiresAt = range.grantExpiresAt;
    range.grantExpiresAt = std::max(range.grantExpiresAt, now + maxGrantValidity(leaseDuration));
    commands.push_back(grant_command{range.pendingCommand, range.owner.target,
                                     range.owner.incarnation, range.owner.keys,
                                     range.owner.fencingToken, leaseDuration, range.owner.handover,
                                     now + m_timing.grantTimeout});
}

void range_coordinator::appendRelease(range_state &range, time_point now,
                                      std::vector<range_command> &commands)
{
    range.pendingCommand = ++m_lastCommand;
    range.commandSentAt = now;
    commands.push_back(release_command{range.pendingCommand, range.owner.target,
                                       std::max(range.owner.incarnation, range.nextIncarnation),
                                       range.owner.keys, range.owner.fencingToken});
}

void range_coordinator::onCommandFinished(command_id number, command_outcome outcome,
                                          std::string_view handover, time_point now)
{
    const auto it =
        std::find_if(m_ranges.begin(), m_ranges.end(),
                     [number](const range_state &range) { return range.pendingCommand == number; });
    if (number == 0 || it == m_ranges.end()) {
        return; // The range no longer waits for this command.
    }
    range_state &range = *it;
    range.pendingCommand = 0;
    const bool isAnswered =
        outcome == command_outcome::Done || outcome == command_outcome::Outdated;
    recordResponse(range.owner.target, isAnswered, now);
    if (range.state == phase::Releasing) {
        if (!isAnswered) {
            range.nextCommandAt = now + m_timing.retryDelay;
            range.mayWaitForExpiry = true;
            bumpRevision();
            return;
        }
        range.owner.handover = handover;
        if (!hasUnconfirmedGrant(range, now)) {
            markFree(range);
        } else if (!range.triedRefenceAfterRelease) {
            // The target, which answers again, may still apply an unconfirmed grant. A new fencing
            // token rules that out and lets it serve the keys at once.
            range.triedRefenceAfterRelease = true;
            startRefence(range, range.plannedTarget);
        } else {
            // It has not confirmed the new token either, so its last grant must expire.
            range.nextCommandAt = range.grantExpiresAt;
            range.mayWaitForExpiry = true;
            bumpRevision();
        }
        return;
    }
    if (range.state != phase::Held && range.state != phase::Granting) {
        return;
    }
    switch (outcome) {
    case command_outcome::Done:
        range.nextCommandAt = range.commandSentAt + m_timing.renewInterval;
        range.unansweredSince = time_point{};
        range.usesOutageLease = false;
        range.owner.handover.clear();
        if (range.state == phase::Granting) {
            confirmGrant(range, now);
        }
        break;
    case command_outcome::Outdated:
        // The store records this target as the owner, so it only needs a higher fencing token.
        startRefence(range, {});
        break;
    case command_outcome::NotSent:
    case command_outcome::Unanswered:
        if (outcome == command_outcome::NotSent) {
            range.grantExpiresAt = range.previousGrantExpiresAt;
        } else {
            range.unconfirmedUntil = std::max(range.unconfirmedUntil, range.grantExpiresAt);
        }
        if (range.unansweredSince == time_point{}) {
            range.unansweredSince = range.commandSentAt;
        }
        range.nextCommandAt = now + m_timing.retryDelay;
        break;
    }
}

/// The owner has accepted the new fencing token, so it refuses all grants with lower tokens.
void range_coordinator::confirmGrant(range_state &range, time_point now)
{
    range.state = phase::Held;
    range.triedRefenceAfterRelease = false;
    range.previousUnconfirmedUntil = time_point{};
    bumpRevision();
    const std::string to = std::exchange(range.targetAfterRefence, {});
    if (std::exchange(range.isRefencing, false) && !to.empty()) {
        releaseOrRefence(range, to, now);
    }
}

void range_coordinator::extendLeasesForOutage(time_point now)
{
    for (range_state &range : m_ranges) {
        if (range.state == phase::Held || range.state == phase::Granting) {
            abandonCommand(range);
            range.usesOutageLease = true;
            range.nextCommandAt = now;
        }
    }
}

void range_coordinator::recordResponse(const std::string &target, bool answered, time_point now)
{
    if (answered) {
        m_targetUnansweredSince.erase(target);
    } else {
        m_targetUnansweredSince.emplace(target, now);
    }
}

/// \returns whether \a target may get more keys. A target whose commands stay unanswered for longer
/// than the retry delay is excluded until it answers or the exclusion period has passed.
bool range_coordinator::isEligible(const std::string &target, const owner_view &view,
                                   time_point now) const
{
    constexpr milliseconds exclusionPeriod{10000};
    const auto entry = m_targetUnansweredSince.find(target);
    const bool isResponsive = entry == m_targetUnansweredSince.end()
        || now < entry->second + m_timing.retryDelay || now >= entry->second + exclusionPeriod;
    return view.reachable && view.mayOwn && isResponsive;
}

bool range_coordinator::hasUnrecordedChanges() const
{
    return std::any_of(m_ranges.begin(), m_ranges.end(), [](const range_state &range) {
        return range.state == phase::Free && !range.plannedTarget.empty();
    });
}

std::vector<range_owner> range_coordinator::prepareRecord(std::uint64_t &nextFencingToken)
{
    std::vector<range_owner> result;
    for (range_state &range : m_ranges) {
        if (range.state == phase::Free && !range.plannedTarget.empty()) {
            range.state = phase::Recording;
            range.owner.target = range.plannedTarget;
            range.owner.fencingToken = nextFencingToken++;
            if (range.isRefencing) {
                range.owner.incarnation = std::max(range.owner.incarnation, range.nextIncarnation);
            }
            range.nextIncarnation = 0;
        }
        if (range.owner.fencingToken != 0) {
            result.push_back(range.owner);
        }
    }
    return result;
}

void range_coordinator::confirmRecord(time_point now)
{
    for (range_state &range : m_ranges) {
        if (range.state == phase::Recording) {
            range.state = phase::Granting;
            range.plannedTarget.clear();
            range.nextCommandAt = now;
            range.pendingCommand = 0;
            range.unansweredSince = time_point{};
            range.usesOutageLease = false;
            range.mayWaitForExpiry = false;
            range.previousUnconfirmedUntil =
                std::max(range.previousUnconfirmedUntil, range.unconfirmedUntil);
            range.unconfirmedUntil = time_point{};
        }
    }
}

void range_coordinator::mergeAdjacentRanges()
{
    const auto canMerge = [](const range_state &a, const range_state &b) {
        return a.state == phase::Held && b.state == phase::Held && a.pendingCommand == 0
            && b.pendingCommand == 0 && a.owner.target == b.owner.target
            && a.owner.fencingToken == b.owner.fencingToken
            && a.owner.incarnation == b.owner.incarnation
            && a.owner.keys.last + 1 == b.owner.keys.first && a.unansweredSince == time_point{}
        && b.unansweredSince == time_point{};
    };
    for (std::size_t i = 0; i + 1 < m_ranges.size();) {
        if (!canMerge(m_ranges[i], m_ranges[i + 1])) {
            ++i;
            continue;
        }
        m_ranges[i].owner.keys.last = m_ranges[i + 1].owner.keys.last;
        m_ranges[i].grantExpiresAt =
            std::max(m_ranges[i].grantExpiresAt, m_ranges[i + 1].grantExpiresAt);
        m_ranges[i].unconfirmedUntil =
            std::max(m_ranges[i].unconfirmedUntil, m_ranges[i + 1].unconfirmedUntil);
        m_ranges[i].previousUnconfirmedUntil = std::max(m_ranges[i].previousUnconfirmedUntil,
                                                        m_ranges[i + 1].previousUnconfirmedUntil);
        m_ranges[i].nextCommandAt =
            std::min(m_ranges[i].nextCommandAt, m_ranges[i + 1].nextCommandAt);
        m_ranges.erase(m_ranges.begin() + static_cast<std::ptrdiff_t>(i) + 1);
        bumpRevision();
    }
}

range_map range_coordinator::routingMap(time_point now) const
{
    // Time for the running requests to end and for two round trips.
    constexpr milliseconds typicalMoveDuration{150};
    range_map map;
    for (const range_state &range : m_ranges) {
        range_owner owner = range.owner;
        if (range.state != phase::Held) {
            owner.target.clear();
            owner.wait = typicalMoveDuration;
            if (range.state == phase::Releasing && range.mayWaitForExpiry) {
                owner.wait += std::chrono::duration_cast<milliseconds>(
                    std::max<duration>(range.grantExpiresAt - now, milliseconds(0)));
            }
        }
        map.owners.push_back(std::move(owner));
    }
    return map;
}

} // namespace damaskward
