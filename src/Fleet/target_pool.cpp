#include "target_pool.h"

#include "../Hashing/key_hash.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace damaskward {
namespace {

/// A target that refused a connection gets no requests until its next registration or heartbeat,
/// or until this time has passed, in which a crashed process usually restarts.
constexpr milliseconds refusedPause{1000};
/// A target with this many consecutive failures is chosen only as a last resort.
constexpr int failuresToAvoid = 3;
/// How long such a target is avoided. The time spans a few answer times; with one trial request a
/// second, a recovered target is soon noticed.
constexpr milliseconds avoidPause{1000};
/// Weight of a new answer time in the moving average.
constexpr double answerTimeWeight = 0.1;
/// A load report's weight decreases to zero over this time, which is about twice the mean
/// processing time of a request.
constexpr double reportLifetimeMillis = 300.0;
/// A reported slowdown's weight decreases to zero over this time, because a target's slowdown
/// changes many times a second.
constexpr double slowdownLifetimeMillis = 400.0;
/// A data centre counts as unreachable after this many consecutive connection time-outs to its
/// targets. The number exceeds the targets on one machine, so that the failure of one machine is
/// not taken for the loss of a data centre.
constexpr int failuresUntilUnreachable = 4;
/// Interval at which single requests probe an unreachable data centre.
constexpr milliseconds probeInterval{250};
/// Assumed answer time of a target that has not answered yet.
constexpr double assumedWorkMillis = 150.0;
/// A remote target is chosen only if its answer is expected earlier by this time, because traffic
/// between data centres is costly. The times are a tenth of the usual processing time and, for
/// downloads, their whole latency objective.
constexpr double remotePenaltyMillis = 15.0;
constexpr double remoteDownloadPenaltyMillis = 400.0;
/// A draining owner still gets requests for its keys until they have a new owner, but for at most
/// this long: half of the platform's usual limit.
constexpr milliseconds drainGrace{1000};
/// The last request is sent this long before the operators' bound, since it has to arrive in time.
constexpr milliseconds drainMargin{250};

} // namespace

std::uint32_t targetHash(std::string_view name)
{
    constexpr unsigned hashBits = 64;
    return static_cast<std::uint32_t>(keyHash(name) >> (hashBits - 32 + requestCountBits));
}

std::vector<packed_requests> target_pool::ownInFlight() const
{
    std::vector<packed_requests> result;
    for (const auto &[name, t] : m_targets) {
        if (t.inFlight > 0) {
            result.push_back(packRequests({t.hash, t.inFlight}));
        }
    }
    return result;
}

void target_pool::setDeployment(const deployment &config, time_point now)
{
    m_hasDeployment = true;
    m_warmup.clear();
    for (const auto &[name, settings] : config.services) {
        m_warmup[name] = settings.warmup;
    }
    for (const auto &[name, t] : m_targets) {
        if (t.isRegistered && !namesServiceOf(t.record)) {
            setAside(t.record, now);
        }
    }
    const auto records = std::exchange(m_setAside, {});
    for (const auto &[name, record] : records) {
        applyRecord(record, now);
    }
}

/// Keeps a record that does not name a service of the configuration, in case a later one does.
void target_pool::setAside(const target_record &record, time_point now)
{
    m_setAside[record.name] = record;
    if (target_state *known = find(record.name)) {
        unregister(*known, now);
    }
}

void target_pool::unregister(target_state &t, time_point now)
{
    t.isRegistered = false;
    updateDrainingSince(t, now);
}

milliseconds target_pool::warmupOf(const service_id &service) const
{
    const auto it = m_warmup.find(service);
    return it == m_warmup.end() ? milliseconds(0) : it->second;
}

void target_pool::setDrainedDataCenters(std::set<data_center_id> drained, time_point now)
{
    if (drained == m_drainedDataCenters) {
        return;
    }
    for (auto &[name, t] : m_targets) {
        const data_center_id &dc = t.record.dataCenter;
        if (m_drainedDataCenters.count(dc) != 0 && drained.count(dc) == 0) {
            // The target may need a new warm-up after the drain; its next heartbeat reports it.
            t.warmupEndsAt = std::max(t.warmupEndsAt, now + warmupOf(t.record.service));
        }
    }
    m_drainedDataCenters = std::move(drained);
    for (auto &[name, t] : m_targets) {
        updateDrainingSince(t, now);
    }
}

void target_pool::updateDrainingSince(target_state &t, time_point now) const
{
    const bool isLeaving = !t.isRegistered || t.record.draining || t.hasAnnouncedDrain;
    if (!isLeaving && m_drainedDataCenters.count(t.record.dataCenter) == 0) {
        t.drainingSince = time_point{};
    } else if (t.drainingSince == time_point{}) {
        t.drainingSince = now;
        t.ownedWorkUntil = now + drainGrace;
        if (isLeaving && m_registryReadAt != time_point{}) {
            // The store may have known it since just after the previous read.
            t.ownedWorkUntil =
                std::min(t.ownedWorkUntil, m_registryReadAt + m_drainTime - drainMargin);
        }
    }
}

void target_pool::insert(const target_record &record, time_point now)
{
    target_state t;
    t.record = record;
    t.warmupEndsAt = now + record.warmupLeft;
    t.hash = targetHash(record.name);
    m_targets[record.name] = std::move(t);
}

void target_pool::applyRegistry(const std::vector<target_record> &records, time_point now)
{
    std::set<std::string_view> seen;
    m_setAside.clear();
    for (const target_record &record : records) {
        if (namesServiceOf(record)) {
            seen.insert(record.name);
        }
        applyRecord(record, now);
    }
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        if (seen.count(it->first) != 0) {
            ++it;
            continue;
        }
        unregister(it->second, now);
        // An unregistered target is kept for a while, because it may still answer.
        constexpr milliseconds retention{15000};
        if (!it->second.isRegistered && it->second.inFlight == 0
            && now >= it->second.drainingSince + retention) {
            it = m_targets.erase(it);
        } else {
            ++it;
        }
    }
    for (auto &[name, t] : m_targets) {
        updateDrainingSince(t, now);
    }
    m_isFirstRegistry = m_isFirstRegistry && seen.empty();
}

void target_pool::applyRecord(const target_record &record, time_point now)
{
    if (namesServiceOf(record)) {
        m_setAside.erase(record.name);
        applyTargetRecord(record, now);
    } else {
        setAside(record, now);
    }
}

void target_pool::applyTargetRecord(const target_record &record, time_point now)
{
    target_state *known = find(record.name);
    if (!known || known->record.incarnation < record.incarnation) {
        insert(record, now);
        if (!m_isFirstRegistry && record.warmupLeft.count() == 0 && record.heartbeatCounter <= 1) {
            find(record.name)->warmupEndsAt = now + warmupOf(record.service);
        }
        updateDrainingSince(*find(record.name), now);
        return;
    }
    if (record.incarnation < known->record.incarnation) {
        return; // A late record of a previous incarnation.
    }
    const std::int64_t knownCounter = known->record.heartbeatCounter;
    const bool isNewer = record.heartbeatCounter > knownCounter;
    const bool wasDraining = known->record.draining;
    known->record = record;
    known->record.heartbeatCounter = std::max(record.heartbeatCounter, knownCounter);
    known->record.draining = record.draining || wasDraining; // Its process ends draining.
    known->isRegistered = true;
    if (isNewer || record.warmupLeft.count() > 0) {
        known->warmupEndsAt = now + record.warmupLeft;
    }
    if (isNewer) {
        known->refusingUntil = time_point{};
    }
    updateDrainingSince(*known, now);
}

void target_pool::remove(const removed_target &target, time_point now)
{
    m_setAside.erase(target.name);
    if (target_state *known = find(target.name)) {
        if (known->record.incarnation == target.incarnation) {
            known->record.heartbeatCounter =
                std::max(known->record.heartbeatCounter, target.heartbeatCounter);
        }
        unregister(*known, now);
    }
}

target_state *target_pool::find(std::string_view name)
{
    const auto it = m_targets.find(name);
    return it == m_targets.end() ? nullptr : &it->second;
}

const target_state *target_pool::find(std::string_view name) const
{
    const auto it = m_targets.find(name);
    return it == m_targets.end() ? nullptr : &it->second;
}

bool target_pool::isUsable(const target_state &t, time_point now) const
{
    return t.isRegistered && !t.record.draining && !t.hasAnnouncedDrain
        && m_drainedDataCenters.count(t.record.dataCenter) == 0 && now >= t.refusingUntil
        && now >= t.pausedUntil && !isUnreachable(t, now);
}

void target_pool::recordConnectionTimeout(const target_state &t, time_point now)
{
    if (t.record.dataCenter != m_localDataCenter) {
        center_reachability &remote = m_reachability[t.record.dataCenter];
        ++remote.failures;
        remote.probeAt = std::max(remote.probeAt, now);
    }
}

void target_pool::recordProbe(const target_state &t, time_point now)
{
    const auto it = m_reachability.find(t.record.dataCenter);
    if (it != m_reachability.end() && it->second.failures >= failuresUntilUnreachable) {
        it->second.probeAt = now + probeInterval;
    }
}

bool target_pool::isUnreachable(const target_state &t, time_point now) const
{
    const auto it = m_reachability.find(t.record.dataCenter);
    return it != m_reachability.end() && it->second.failures >= failuresUntilUnreachable
        && now < it->second.probeAt;
}

double target_pool::currentSlowdown(const target_state &t, time_point now)
{
    const double age = static_cast<double>(toMillis(now - t.loadReportedAt));
    if (t.loadReportedAt == time_point{} || age >= slowdownLifetimeMillis) {
        return 1.0;
    }
    return 1.0 + (t.load.slowdown - 1.0) * (1.0 - age / slowdownLifetimeMillis);
}

double target_pool::expectedLoad(const target_state &t, time_point now)
{
    const double own = t.inFlight + t.peerInFlight;
    const double age = static_cast<double>(toMillis(now - t.loadReportedAt));
    if (t.loadReportedAt == time_point{} || age >= reportLifetimeMillis) {
        return own;
    }
    const double reported = t.load.running + t.load.waiting;
    const double trust = 1.0 - age / reportLifetimeMillis;
    return std::max<double>(t.inFlight, own + trust * (reported - own));
}

std::map<std::string_view, std::int64_t> target_pool::newestIncarnations() const
{
    std::map<std::string_view, std::int64_t> incarnations;
    for (const auto &[name, t] : m_targets) {
        if (t.isRegistered) {
            std::int64_t &newest = incarnations[t.record.address];
            newest = std::max(newest, t.record.incarnation);
        }
    }
    return incarnations;
}

std::map<std::string, double> target_pool::localLoads(time_point now) const
{
    std::map<std::string, std::pair<double, int>> sums; // Requests and slots.
    for (const auto &[name, t] : m_targets) {
        if (t.record.dataCenter == m_localDataCenter && isUsable(t, now) && !isWarmingUp(t, now)) {
            auto &[requests, slots] = sums[t.record.service.str()];
            requests += expectedLoad(t, now);
            slots += t.record.slots;
        }
    }
    std::map<std::string, double> loads;
    for (const auto &[service, sum] : sums) {
        loads[service] = sum.first / sum.second;
    }
    return loads;
}

void target_pool::setRemoteLoads(const data_center_id &dc,
                                 const std::map<std::string, double> &loads, time_point now)
{
    // Spans a few digests; an older queue length no longer predicts the waiting time.
    constexpr milliseconds lifetime{1500};
    for (const auto &[service, perSlot] : loads) {
        m_remoteLoads[{dc, service_id(service)}] = {perSlot, now + lifetime};
    }
}

/// \returns expectedLoad(). For a target of another data centre, it is at least the mean load
/// there, because the requests of the VMs there are not reported by target.
double target_pool::estimatedLoad(const target_state &t, time_point now) const
{
    const double expected = expectedLoad(t, now);
    if (t.record.dataCenter == m_localDataCenter) {
        return expected;
    }
    const auto remote = m_remoteLoads.find({t.record.dataCenter, t.record.service});
    return remote == m_remoteLoads.end() || now >= remote->second.expiresAt
        ? expected
        : std::max(expected, remote->second.perSlot * t.record.slots);
}

target_state *target_pool::choose(const target_query &query, time_point now)
{
    target_state *best = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    ++m_turn;
    for (auto &[name, t] : m_targets) {
        if (t.record.service != query.service || !isUsable(t, now) || query.except.count(name) != 0
            || (!query.allowWarmingUp && isWarmingUp(t, now))
            || (query.isAllowed && !query.isAllowed(t))) {
            continue;
        }
        const double work = t.meanAnswerMillis > 0.0 ? t.meanAnswerMillis : assumedWorkMillis;
        const double load = estimatedLoad(t, now);
        const double queued = std::max(0.0, load + 1.0 - t.record.slots) / t.record.slots;
        constexpr double utilizationWeight = 0.1; // A nearly full target is slightly slower.
        double score = work * currentSlowdown(t, now)
            * (1.0 + queued + utilizationWeight * load / t.record.slots);
        if (t.record.dataCenter != m_localDataCenter) {
            score += query.preferLocal ? remoteDownloadPenaltyMillis : remotePenaltyMillis;
        }
        if (now < t.avoidUntil) {
            constexpr double avoidPenaltyMillis = 5000.0;
            score += avoidPenaltyMillis;
        }
        constexpr double tieBreakMillis = 0.5;
        constexpr double hashRange = 18446744073709551616.0;
        score +=
            tieBreakMillis * static_cast<double>(combineHash(keyHash(name), m_turn)) / hashRange;
        if (score < bestScore) {
            bestScore = score;
            best = &t;
        }
    }
    return best;
}

void target_pool::recordRequestCompleted(target_state &t, std::optional<duration> answeredIn,
                                         time_point now)
{
    t.inFlight = std::max(0, t.inFlight - 1);
    if (answeredIn) {
        const auto millis = std::chrono::duration<double, std::milli>(*answeredIn).count();
        t.meanAnswerMillis = t.meanAnswerMillis > 0.0
            ? t.meanAnswerMillis + answerTimeWeight * (millis - t.meanAnswerMillis)
            : millis;
        t.failures = 0;
        t.avoidUntil = time_point{};
    } else if (++t.failures >= failuresToAvoid) {
        t.avoidUntil = now + avoidPause;
    }
}

std::vector<std::string>
target_pool::targetsToProbe(const std::function<bool(const std::string &)> &isAssigned,
                            time_point now)
{
    std::vector<std::string> names;
    for (auto &[name, t] : m_targets) {
        const bool isMine =
            t.isUnprobed || (t.record.dataCenter == m_localDataCenter && isAssigned(name));
        if (t.isRegistered && !isWarmingUp(t, now) && isMine) {
            names.push_back(name);
        }
        t.isUnprobed = false;
    }
    return names;
}

void target_pool::recordConnectionRefused(target_state &t, time_point now)
{
    t.refusingUntil = now + refusedPause;
    // The next process at this address has just started and is warming up.
    t.warmupEndsAt = std::max(t.warmupEndsAt, t.refusingUntil + warmupOf(t.record.service));
}

void target_pool::recordDrain(target_state &t, time_point now) const
{
    t.hasAnnouncedDrain = true;
    updateDrainingSince(t, now);
}

void target_pool::recordPause(target_state &t, time_point until)
{
    t.pausedUntil = std::max(t.pausedUntil, until);
}

milliseconds target_pool::pauseLeft(const target_state &t, time_point now)
{
    return now < t.pausedUntil ? std::chrono::ceil<milliseconds>(t.pausedUntil - now)
                               : milliseconds(0);
}

milliseconds target_pool::shortestPauseLeft(const service_id &service, time_point now) const
{
    std::optional<milliseconds> shortest;
    for (const auto &[name, t] : m_targets) {
        // Targets that are unusable for another reason don't count.
        if (t.record.service == service && isUsable(t, std::max(now, t.pausedUntil))) {
            const milliseconds left = pauseLeft(t, now);
            shortest = shortest ? std::min(*shortest, left) : left;
        }
    }
    return shortest.value_or(milliseconds(0));
}

void target_pool::recordLoadReport(target_state &t, const load_report &load, time_point now)
{
    t.load = load;
    t.loadReportedAt = now;
}

void target_pool::recordWarmup(target_state &t, milliseconds left, time_point now)
{
    t.warmupEndsAt = std::max(t.warmupEndsAt, now + left);
}

} // namespace damaskward
