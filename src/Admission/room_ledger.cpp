#include "room_ledger.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace damaskward {
namespace {

/// The limit of a target that has not rejected requests, as a multiple of its slots.
constexpr double startLimitPerSlot = 2.0;
/// The same for a target that reports idle slots while its whole limit is in use, because the
/// requests take long to reach it.
constexpr double maxLimitPerSlot = 4.0;
/// Factor by which a rejection lowers the limit.
constexpr double rejectionFactor = 0.75;
/// Rejections within this time count once: they answer requests that were under way together.
constexpr milliseconds rejectionInterval{100};
/// How fast a lowered limit rises.
constexpr double limitRisePerSecond = 0.5;
/// How much a report of idle slots raises the limit.
constexpr double idleSlotsRise = 0.1;
/// Weight of a new sample in the moving averages of service times.
constexpr double workWeight = 0.1;
/// Service time that is assumed before the first answer.
constexpr double assumedWorkMillis = 150.0;
/// Deadlines that differ by less than this are equal, so that team fairness decides.
constexpr std::int64_t deadlineStepMillis = 50;
/// While requests wait, every grant with this number is for the least urgent priority, so that no
/// priority starves.
constexpr std::uint64_t leastUrgentInterval = 20;
/// Interval at which all waiting requests are checked for whether they can be served in time.
constexpr milliseconds feasibleCheckInterval{20};
/// Longest time that an overdue grant stays counted.
constexpr double maxOverdueMillis = 2000.0;
/// Bound on the remaining time that a VM may state, longer than the timeouts of callers.
constexpr milliseconds maxLeft{120000};
/// A Retry-After takes at most this part of the remaining time: a third, together with the jitter
/// of up to a half that the refusal adds.
constexpr double retryAfterParts = 4.5;

} // namespace

void room_ledger::setTargets(const std::vector<capacity_target> &targets)
{
    for (auto &[name, t] : m_targets) {
        t.isUsable = false;
    }
    for (const capacity_target &target : targets) {
        target_use &t = m_targets[target.name];
        if (t.limit == 0.0 || t.slots != target.slots) {
            t.slots = std::max(1, target.slots);
            t.limit = startLimitPerSlot * t.slots;
        }
        t.isUsable = true;
        t.underWay = target.underWay;
    }
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        const bool isNeeded = it->second.isUsable || it->second.inUse > 0;
        it = isNeeded ? std::next(it) : m_targets.erase(it);
    }
}

void room_ledger::request(const std::string &from, const capacity_request &request, time_point now)
{
    const request_key key(from, request.number);
    if (const auto granted = m_grants.find(key); granted != m_grants.end()) {
        m_repeated.push_back(
            {from, {request.number, capacity_verdict::Granted, granted->second.target, {}}});
        return;
    }
    if (m_waitingKeys.count(key) != 0) {
        m_repeated.push_back({from, {request.number, capacity_verdict::Waiting, {}, {}}});
        return;
    }
    const time_point deadline = now + std::min(request.left, maxLeft);
    const std::int64_t step = toMillis(deadline.time_since_epoch()) / deadlineStepMillis;
    const int ofTeam = m_waitingOfTeam[request.team]++;
    const waiting_key order(request.priority, step, ofTeam, ++m_arrivals);
    m_waiting.emplace(order, waiting_request{from, request, deadline});
    m_waitingKeys.emplace(key, order);
    // Whether it can be served in time is known at once.
    m_feasibleCheckAt = std::min(m_feasibleCheckAt, now);
}

void room_ledger::recordUse(const std::string &from, const capacity_use &use, time_point now)
{
    const request_key key(from, use.number);
    if (m_grants.count(key) == 0) {
        startGrant(key, use.target, now + std::min(use.left, maxLeft));
    }
}

void room_ledger::apply(const std::string &from, const capacity_report &report, time_point now)
{
    for (const capacity_use &use : report.uses) {
        recordUse(from, use, now);
    }
    for (const capacity_return &result : report.returns) {
        finish(from, result, now);
    }
    for (const capacity_request &one : report.requests) {
        request(from, one, now);
    }
}

void room_ledger::finish(const std::string &from, const capacity_return &result, time_point now)
{
    const request_key key(from, result.number);
    if (const auto waiting = m_waitingKeys.find(key); waiting != m_waitingKeys.end()) {
        erase(m_waiting.find(waiting->second));
        return;
    }
    const auto it = m_grants.find(key);
    if (it == m_grants.end()) {
        return; // It has expired.
    }
    target_use &t = m_targets[it->second.target];
    switch (result.outcome) {
    case capacity_outcome::Answered:
        learnWork(t, it->second, result);
        raiseLimit(t, result, now);
        break;
    case capacity_outcome::Rejected:
        lowerLimit(t, 1.0, now);
        break;
    case capacity_outcome::Silent:
        holdOverdue(it, now);
        return;
    case capacity_outcome::Unused:
        break;
    }
    endGrant(it);
}

std::vector<addressed_decision> room_ledger::decide(time_point now)
{
    std::vector<addressed_decision> decisions;
    decisions.swap(m_repeated);
    expire(now);
    grantWaiting(decisions, now);
    if (now >= m_feasibleCheckAt) {
        refuseInfeasible(decisions, now);
    }
    return decisions;
}

int room_ledger::inUseAt(const std::string &target) const
{
    const auto it = m_targets.find(target);
    return it == m_targets.end() ? 0 : it->second.inUse;
}

int room_ledger::limitOf(const std::string &target) const
{
    const auto it = m_targets.find(target);
    return it == m_targets.end() ? 0 : usableLimit(it->second);
}

void room_ledger::expire(time_point now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const auto it = m_grants.find(m_expiries.begin()->second);
        if (it->second.isOverdue) {
            endGrant(it);
        } else {
            holdOverdue(it, now);
        }
    }
}

void room_ledger::grantWaiting(std::vector<addressed_decision> &decisions, time_point now)
{
    auto it = m_waiting.begin();
    while (it != m_waiting.end()) {
        const bool isContended = m_waiting.size() > 1;
        const bool isForLeastUrgent = isContended && it == m_waiting.begin()
            && (m_contendedGrants + 1) % leastUrgentInterval == 0;
        const auto next = isForLeastUrgent ? leastUrgent() : it;
        std::string name;
        if (!choose(next->second, name, now)) {
            const bool isGroupFull =
                std::none_of(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
                    return entry.second.isUsable
                        && underWay(entry.second, now) < usableLimit(entry.second);
                });
            if (isGroupFull) {
                return;
            }
            // Only targets that it has tried have free capacity.
            m_contendedGrants += isForLeastUrgent ? 1 : 0;
            it = isForLeastUrgent ? it : std::next(it);
            continue;
        }
        m_contendedGrants += isContended ? 1 : 0;
        const waiting_request &waiting = next->second;
        startGrant({waiting.from, waiting.request.number}, name, waiting.deadline);
        decisions.push_back(
            {waiting.from, {waiting.request.number, capacity_verdict::Granted, name, {}}});
        const auto after = std::next(it);
        const bool isSame = next == it;
        erase(next);
        if (isSame) {
            it = after;
        }
    }
}

/// Refuses the requests whose turn comes too late for their deadlines, by the measured throughput.
void room_ledger::refuseInfeasible(std::vector<addressed_decision> &decisions, time_point now)
{
    m_feasibleCheckAt = now + feasibleCheckInterval;
    const double perMilli = requestsPerMilli();
    const double work = m_meanWorkMillis > 0.0 ? m_meanWorkMillis : assumedWorkMillis;
    const double atTarget = startLimitPerSlot * work; // Behind the others that are under way.
    double ahead = 0.0;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const auto current = it++;
        const waiting_request &waiting = current->second;
        const double left =
            std::chrono::duration<double, std::milli>(waiting.deadline - now).count();
        const double wait = perMilli > 0.0 ? (ahead + 1.0) / perMilli : left;
        if (wait + atTarget <= left) {
            ahead += 1.0;
            continue;
        }
        const double after = std::max(0.0, std::min(wait, left / retryAfterParts));
        decisions.push_back({waiting.from,
                             {waiting.request.number,
                              capacity_verdict::Refused,
                              {},
                              milliseconds(static_cast<std::int64_t>(after))}});
        erase(current);
    }
}

/// \returns the first of the waiting requests of the least urgent priority.
room_ledger::waiting_queue::iterator room_ledger::leastUrgent()
{
    const int priority = std::get<0>(m_waiting.rbegin()->first);
    return m_waiting.lower_bound({priority, std::numeric_limits<std::int64_t>::min(), 0, 0});
}

/// Chooses the target with free capacity that is expected to answer first.
room_ledger::target_use *room_ledger::choose(const waiting_request &waiting, std::string &name,
                                             time_point now)
{
    target_use *best = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    for (auto &[candidate, t] : m_targets) {
        const int used = underWay(t, now);
        const auto &tried = waiting.request.tried;
        if (!t.isUsable || used >= usableLimit(t)
            || std::find(tried.begin(), tried.end(), candidate) != tried.end()) {
            continue;
        }
        constexpr double utilizationWeight = 0.1; // A nearly full target is slightly slower.
        const double score = workOf(t) * (waitFactor(t, used) + utilizationWeight * used / t.slots);
        if (score < bestScore) {
            bestScore = score;
            best = &t;
            name = candidate;
        }
    }
    return best;
}

/// Keeps capacity in use that nobody has returned, until the target has worked off its queue.
void room_ledger::holdOverdue(std::map<request_key, grant>::iterator it, time_point now)
{
    if (it->second.isOverdue) {
        return;
    }
    target_use &t = m_targets[it->second.target];
    if (t.inUse > t.slots) {
        lowerLimit(t, t.slots, now); // It was probably still waiting there.
    }
    const double span = std::min(maxOverdueMillis, workOf(t) * waitFactor(t, t.inUse));
    m_expiries.erase({it->second.expiresAt, it->first});
    it->second.expiresAt = now + milliseconds(static_cast<std::int64_t>(span));
    it->second.isOverdue = true;
    m_expiries.emplace(it->second.expiresAt, it->first);
}

void room_ledger::startGrant(const request_key &key, const std::string &target,
                             time_point expiresAt)
{
    target_use &t = m_targets[target];
    m_grants[key] = {target, expiresAt, t.inUse, false};
    m_expiries.emplace(expiresAt, key);
    ++t.inUse;
}

void room_ledger::endGrant(std::map<request_key, grant>::iterator it)
{
    --m_targets[it->second.target].inUse;
    m_expiries.erase({it->second.expiresAt, it->first});
    m_grants.erase(it);
}

void room_ledger::erase(waiting_queue::iterator it)
{
    const waiting_request &waiting = it->second;
    const auto team = m_waitingOfTeam.find(waiting.request.team);
    if (--team->second == 0) {
        m_waitingOfTeam.erase(team);
    }
    m_waitingKeys.erase({waiting.from, waiting.request.number});
    m_waiting.erase(it);
}

void room_ledger::learnWork(target_use &t, const grant &used, const capacity_return &result)
{
    const double sample =
        static_cast<double>(result.elapsed.count()) / waitFactor(t, used.aheadAtStart);
    const auto update = [sample](double &mean) {
        mean = mean > 0.0 ? mean + workWeight * (sample - mean) : sample;
    };
    update(t.workMillis);
    update(m_meanWorkMillis);
}

void room_ledger::raiseLimit(target_use &t, const capacity_return &result, time_point now)
{
    const double start = startLimitPerSlot * t.slots;
    if (t.limit < start) {
        const double age =
            std::chrono::duration<double>(now - std::max(t.raisedAt, t.loweredAt)).count();
        t.limit = std::min(start, t.limit + limitRisePerSecond * std::min(age, 1.0));
    } else if (result.running >= 0 && result.running < t.slots - 1 && t.inUse >= usableLimit(t)) {
        // One slot has just become free with this answer.
        t.limit = std::min(maxLimitPerSlot * t.slots, t.limit + idleSlotsRise);
    }
    t.raisedAt = now;
}

void room_ledger::lowerLimit(target_use &t, double lowest, time_point now)
{
    if (now >= t.loweredAt + rejectionInterval) {
        t.limit = std::max(lowest, std::min<double>(t.limit, t.inUse) * rejectionFactor);
        t.loweredAt = now;
    }
}

int room_ledger::usableLimit(const target_use &t) const
{
    return std::max(1, static_cast<int>(std::lround(std::floor(t.limit) * m_reachableShare)));
}

int room_ledger::underWay(const target_use &t, time_point now) const
{
    return now < m_takeoverEndsAt ? std::max(t.inUse, t.underWay) : t.inUse;
}

double room_ledger::workOf(const target_use &t) const
{
    return t.workMillis > 0.0    ? t.workMillis
        : m_meanWorkMillis > 0.0 ? m_meanWorkMillis
                                 : assumedWorkMillis;
}

/// \returns the expected answer time behind \a underWay requests relative to the service time.
double room_ledger::waitFactor(const target_use &t, int underWay)
{
    return std::max(1.0, (underWay + 1.0) / t.slots);
}

double room_ledger::requestsPerMilli() const
{
    double sum = 0.0;
    for (const auto &[name, t] : m_targets) {
        sum += t.isUsable ? t.slots / workOf(t) : 0.0;
    }
    return sum;
}

} // namespace damaskward
