#include "target_book.h"

#include "../Hashing/key_hash.h"

#include <algorithm>
#include <limits>

namespace damaskward {
namespace {

/// A refused connection keeps a target out until it registers again or this time has passed: the
/// time in which a crashed process usually starts again.
constexpr milliseconds refusedPause{1000};
/// After this many failures in a row a target gets requests only when no other can.
constexpr int failuresToAvoid = 3;
/// How long it is avoided: a few answer times, so that one probe a second finds it well again.
constexpr milliseconds avoidPause{1000};
/// Share of a new answer time in the running mean.
constexpr double workBlend = 0.1;
/// The time after which a load report says nothing more: about twice the mean work.
constexpr double reportAgeMillis = 300.0;
/// The time after which a target's slowdown says nothing more: it changes many times a second.
constexpr double slowdownAgeMillis = 400.0;
/// After this many connections in a row that were not opened in time, to any of its targets, a data
/// centre is taken for cut off: more than the targets of one machine that has died.
constexpr int failuresToBeSilent = 4;
/// Then one request in this time tries whether it is back.
constexpr milliseconds probePause{250};
/// Assumed answer time of a target that has not answered yet.
constexpr double unknownWorkMillis = 150.0;
/// A cross-data-centre answer must be expected this much sooner to be worth its bytes: a tenth of
/// the usual work, and for downloads their whole objective.
constexpr double farPenaltyMillis = 15.0;
constexpr double farDownloadPenaltyMillis = 400.0;

} // namespace

void target_book::setDeployment(const deployment &config)
{
    m_warmup.clear();
    for (const auto &[name, settings] : config.services) {
        m_warmup[name] = settings.warmup;
    }
}

milliseconds target_book::warmupOf(const service_id &service) const
{
    const auto it = m_warmup.find(service);
    return it == m_warmup.end() ? milliseconds(0) : it->second;
}

void target_book::setOut(std::set<data_center_id> out, time_point now)
{
    for (auto &[name, t] : m_targets) {
        const data_center_id &dc = t.record.dataCenter;
        if (m_out.count(dc) != 0 && out.count(dc) == 0) {
            // It may have gone cold while it was out; its next heartbeat tells.
            t.coldUntil = std::max(t.coldUntil, now + warmupOf(t.record.service));
        }
    }
    m_out = std::move(out);
    for (auto &[name, t] : m_targets) {
        noteLeaving(t, now);
    }
}

void target_book::noteLeaving(target_state &t, time_point now) const
{
    const bool leaving = !t.listed || t.record.draining || m_out.count(t.record.dataCenter) != 0;
    if (!leaving) {
        t.leavingSince = time_point{};
    } else if (t.leavingSince == time_point{}) {
        t.leavingSince = now;
    }
}

void target_book::add(const target_record &record, time_point now)
{
    target_state t;
    t.record = record;
    t.coldUntil = now + record.warmupLeft;
    m_targets[record.name] = std::move(t);
}

void target_book::applyRegistry(const std::vector<target_record> &records, time_point now)
{
    std::set<std::string_view> seen;
    for (const target_record &record : records) {
        seen.insert(record.name);
        applyRecord(record, now);
    }
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        if (seen.count(it->first) != 0) {
            ++it;
            continue;
        }
        it->second.listed = false;
        noteLeaving(it->second, now);
        // A target that is gone is remembered for a while: it may still answer.
        constexpr milliseconds remembered{15000};
        if (!it->second.listed && it->second.inFlight == 0
            && now >= it->second.leavingSince + remembered) {
            it = m_targets.erase(it);
        } else {
            ++it;
        }
    }
    for (auto &[name, t] : m_targets) {
        noteLeaving(t, now);
    }
    m_first = m_first && records.empty();
}

void target_book::applyRecord(const target_record &record, time_point now)
{
    target_state *known = find(record.name);
    if (!known || known->record.incarnation < record.incarnation) {
        add(record, now);
        if (!m_first && record.warmupLeft.count() == 0 && record.heartbeat <= 1) {
            find(record.name)->coldUntil = now + warmupOf(record.service);
        }
        return;
    }
    if (record.incarnation < known->record.incarnation) {
        return; // An older life's record that arrived late.
    }
    const bool fresh = record.heartbeat > known->record.heartbeat;
    known->record = record;
    known->listed = true;
    if (fresh || record.warmupLeft.count() > 0) {
        known->coldUntil = now + record.warmupLeft;
    }
    if (fresh) {
        known->refusingUntil = time_point{};
    }
    noteLeaving(*known, now);
}

void target_book::remove(std::string_view name, time_point now)
{
    if (target_state *known = find(name)) {
        known->listed = false;
        noteLeaving(*known, now);
    }
}

target_state *target_book::find(std::string_view name)
{
    const auto it = m_targets.find(name);
    return it == m_targets.end() ? nullptr : &it->second;
}

const target_state *target_book::find(std::string_view name) const
{
    const auto it = m_targets.find(name);
    return it == m_targets.end() ? nullptr : &it->second;
}

bool target_book::usable(const target_state &t, time_point now) const
{
    return t.listed && !t.record.draining && m_out.count(t.record.dataCenter) == 0
        && now >= t.refusingUntil && !away(t, now);
}

void target_book::unreachable(const target_state &t, time_point now)
{
    if (t.record.dataCenter != m_self) {
        silent_center &center = m_silentCenters[t.record.dataCenter];
        ++center.failures;
        center.probeAt = std::max(center.probeAt, now);
    }
}

void target_book::probing(const target_state &t, time_point now)
{
    const auto it = m_silentCenters.find(t.record.dataCenter);
    if (it != m_silentCenters.end() && it->second.failures >= failuresToBeSilent) {
        it->second.probeAt = now + probePause;
    }
}

bool target_book::away(const target_state &t, time_point now) const
{
    const auto it = m_silentCenters.find(t.record.dataCenter);
    return it != m_silentCenters.end() && it->second.failures >= failuresToBeSilent
        && now < it->second.probeAt;
}

double target_book::slowdownNow(const target_state &t, time_point now)
{
    const double age = static_cast<double>(toMillis(now - t.loadAt));
    if (t.loadAt == time_point{} || age >= slowdownAgeMillis) {
        return 1.0;
    }
    return 1.0 + (t.load.slowdown - 1.0) * (1.0 - age / slowdownAgeMillis);
}

double target_book::expectedLoad(const target_state &t, time_point now)
{
    const double own = t.inFlight + t.inFlightElsewhere;
    const double age = static_cast<double>(toMillis(now - t.loadAt));
    if (t.loadAt == time_point{} || age >= reportAgeMillis) {
        return own;
    }
    const double reported = t.load.running + t.load.waiting;
    const double trust = 1.0 - age / reportAgeMillis;
    return std::max<double>(t.inFlight, own + trust * (reported - own));
}

std::map<std::string_view, std::int64_t> target_book::newestLives() const
{
    std::map<std::string_view, std::int64_t> lives;
    for (const auto &[name, t] : m_targets) {
        if (t.listed) {
            std::int64_t &newest = lives[t.record.address];
            newest = std::max(newest, t.record.incarnation);
        }
    }
    return lives;
}

std::map<std::string, double> target_book::nearLoads(time_point now) const
{
    std::map<std::string, std::pair<double, int>> sums; // Requests and slots.
    for (const auto &[name, t] : m_targets) {
        if (t.record.dataCenter == m_self && usable(t, now) && !cold(t, now)) {
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

void target_book::setFarLoads(const data_center_id &dc, const std::map<std::string, double> &loads,
                              time_point now)
{
    // A few digests; older news of a queue says nothing more.
    constexpr milliseconds lifetime{1500};
    for (const auto &[service, perSlot] : loads) {
        m_farLoads[{dc, service_id(service)}] = {perSlot, now + lifetime};
    }
}

/// \returns expectedLoad(), for targets of other data centres at least the mean there: their VMs'
/// requests are not told one by one.
double target_book::loadOf(const target_state &t, time_point now) const
{
    const double seen = expectedLoad(t, now);
    if (t.record.dataCenter == m_self) {
        return seen;
    }
    const auto far = m_farLoads.find({t.record.dataCenter, t.record.service});
    return far == m_farLoads.end() || now >= far->second.until
        ? seen
        : std::max(seen, far->second.perSlot * t.record.slots);
}

target_state *target_book::choose(const service_id &service, const std::set<std::string> &except,
                                  bool preferNear, bool allowCold, time_point now)
{
    target_state *best = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    ++m_turn;
    for (auto &[name, t] : m_targets) {
        if (t.record.service != service || !usable(t, now) || except.count(name) != 0
            || (!allowCold && cold(t, now))) {
            continue;
        }
        const double work = t.workMillis > 0.0 ? t.workMillis : unknownWorkMillis;
        const double load = loadOf(t, now);
        const double queued = std::max(0.0, load + 1.0 - t.record.slots) / t.record.slots;
        constexpr double busyShare = 0.1; // A nearly full target is a little slower.
        double score =
            work * slowdownNow(t, now) * (1.0 + queued + busyShare * load / t.record.slots);
        if (t.record.dataCenter != m_self) {
            score += preferNear ? farDownloadPenaltyMillis : farPenaltyMillis;
        }
        if (now < t.avoidUntil) {
            constexpr double avoidPenaltyMillis = 5000.0;
            score += avoidPenaltyMillis;
        }
        constexpr double tieMillis = 0.5;
        constexpr double hashRange = 18446744073709551616.0;
        score += tieMillis * static_cast<double>(combineHash(keyHash(name), m_turn)) / hashRange;
        if (score < bestScore) {
            bestScore = score;
            best = &t;
        }
    }
    return best;
}

void target_book::ended(target_state &t, std::optional<duration> answeredIn, time_point now)
{
    t.inFlight = std::max(0, t.inFlight - 1);
    if (answeredIn) {
        const auto millis = std::chrono::duration<double, std::milli>(*answeredIn).count();
        t.workMillis =
            t.workMillis > 0.0 ? t.workMillis + workBlend * (millis - t.workMillis) : millis;
        t.failures = 0;
        t.avoidUntil = time_point{};
    } else if (++t.failures >= failuresToAvoid) {
        t.avoidUntil = now + avoidPause;
    }
}

void target_book::refused(target_state &t, time_point now)
{
    t.refusingUntil = now + refusedPause;
    // Whatever answers there next has just started.
    t.coldUntil = std::max(t.coldUntil, t.refusingUntil + warmupOf(t.record.service));
}

void target_book::reported(target_state &t, const load_report &load, time_point now)
{
    t.load = load;
    t.loadAt = now;
}

void target_book::warming(target_state &t, milliseconds left, time_point now)
{
    t.coldUntil = std::max(t.coldUntil, now + left);
}

} // namespace damaskward
