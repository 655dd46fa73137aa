#include "rollout_share.h"

#include "../Hashing/key_hash.h"

#include <algorithm>
#include <utility>

namespace damaskward {
namespace {

/// Versions that appear within this time after the first target of a service are established
/// together, because the targets of a fleet register one after the other.
constexpr milliseconds startTime{3000};
/// A VM that joins a running fleet hears of a roll-out within this time from its store reader.
/// Until then only the version with the most targets is used.
constexpr milliseconds joinTime{1500};
/// Limits of the times in messages, beyond which they would move a roll-out out of the clock's
/// range.
constexpr milliseconds maxAge{86400000};
constexpr milliseconds maxValidity{10000};
/// A coordinator states a result within this time, also if its predecessor was lost before it
/// could.
constexpr milliseconds statusTime{10000};

} // namespace

void rollout_share::noteTargets(const target_pool &targets, time_point now)
{
    std::map<service_id, std::map<std::string, int>> counts;
    for (const auto &[name, t] : targets.all()) {
        if (t.isRegistered) {
            ++counts[t.record.service][t.record.version];
        }
    }
    for (const auto &[service, versionCounts] : counts) {
        service_versions &versions = m_services[service];
        versions.registered.clear();
        for (const auto &[version, count] : versionCounts) {
            versions.registered.insert(version);
        }
        establish(versions, versionCounts, now);
    }
}

void rollout_share::establish(service_versions &versions, const std::map<std::string, int> &counts,
                              time_point now) const
{
    const bool isFirst = versions.firstSeenAt == time_point{};
    if (isFirst) {
        versions.firstSeenAt = now;
    }
    std::set<std::string> candidates = versions.registered;
    if (m_isFirstStart) {
        if (now >= versions.firstSeenAt + startTime) {
            return;
        }
    } else if (isFirst) {
        const auto most =
            std::max_element(counts.begin(), counts.end(),
                             [](const auto &a, const auto &b) { return a.second < b.second; });
        candidates = {most->first};
    } else if (now < versions.firstSeenAt + joinTime || now >= versions.firstSeenAt + startTime) {
        return;
    }
    for (const std::string &version : candidates) {
        if (versions.retired.count(version) == 0
            && (!versions.rollout || versions.rollout->request.target != version)) {
            versions.established.insert(version);
        }
    }
}

void rollout_share::addRequest(const rollout_request &request, time_point requestedAt)
{
    service_versions &versions = m_services[request.service];
    if (versions.rollout) {
        if (isSameRequest(versions.rollout->request, request)) {
            versions.rollout->requestedAt = std::min(versions.rollout->requestedAt, requestedAt);
            return;
        }
        if (request.version <= versions.rollout->request.version) {
            return;
        }
        if (versions.rollout->state == rollout_state::Running) {
            finish(versions, rollout_state::RolledBack,
                   requestedAt); // The new request replaces it.
        }
    }
    known_rollout rollout;
    rollout.request = request;
    rollout.requestedAt = requestedAt;
    rollout.isInPlace = isOnlyVersion(request.service, request.target);
    versions.rollout = std::move(rollout);
    if (!versions.rollout->isInPlace) {
        versions.established.erase(request.target);
    }
}

/// Puts the result of a roll-out in force.
void rollout_share::finish(service_versions &versions, rollout_state state, time_point now)
{
    known_rollout &rollout = *versions.rollout;
    if (rollout.state != rollout_state::Running) {
        return;
    }
    rollout.state = state;
    rollout.share = 0.0;
    rollout.finishedAt = now;
    const std::string &target = rollout.request.target;
    if (state == rollout_state::Completed) {
        versions.retired.insert(versions.registered.begin(), versions.registered.end());
        versions.retired.insert(versions.established.begin(), versions.established.end());
        versions.retired.erase(target);
        versions.established = {target};
    } else if (!rollout.isInPlace) {
        versions.retired.insert(target);
        versions.established.erase(target);
    }
}

bool rollout_share::apply(const rollout_notices &notices, time_point now)
{
    const bool isOfCoordinator = notices.version != 0;
    if (isOfCoordinator && notices.version <= m_version) {
        return false;
    }
    for (const rollout_notice &notice : notices.rollouts) {
        addRequest(notice.request, now - std::clamp(notice.age, milliseconds(0), maxAge));
        service_versions &versions = m_services[notice.request.service];
        if (!isSameRequest(versions.rollout->request, notice.request)) {
            continue; // An older request.
        }
        if (notice.state != rollout_state::Running) {
            finish(versions, notice.state, now);
        } else if (isOfCoordinator) {
            versions.rollout->share = std::clamp(notice.share, 0.0, 1.0);
            versions.rollout->shareUntil =
                now + std::clamp(notice.validFor, milliseconds(0), maxValidity);
        }
    }
    if (isOfCoordinator) {
        m_version = notices.version;
    }
    return isOfCoordinator;
}

rollout_notices rollout_share::notices(time_point now) const
{
    rollout_notices result;
    for (const auto &[service, versions] : m_services) {
        if (versions.rollout) {
            rollout_notice notice;
            notice.request = versions.rollout->request;
            notice.state = versions.rollout->state;
            notice.age =
                std::chrono::duration_cast<milliseconds>(now - versions.rollout->requestedAt);
            result.rollouts.push_back(std::move(notice));
        }
    }
    return result;
}

int rollout_share::runningCount() const
{
    return static_cast<int>(
        std::count_if(m_services.begin(), m_services.end(), [](const auto &entry) {
            return entry.second.rollout && entry.second.rollout->state == rollout_state::Running;
        }));
}

bool rollout_share::needsCoordinator(time_point now) const
{
    return std::any_of(m_services.begin(), m_services.end(), [now](const auto &entry) {
        const auto &rollout = entry.second.rollout;
        return rollout
            && (rollout->state == rollout_state::Running || now < rollout->finishedAt + statusTime);
    });
}

double rollout_share::validShare(const known_rollout &rollout, time_point now) const
{
    return now < rollout.shareUntil ? rollout.share : 0.0;
}

/// \returns a credit that differs between VMs and routes, so that not all VMs send their first
/// request to the new version at the same time, or after the same number of requests.
double rollout_share::initialCredit(const std::string &route) const
{
    constexpr double hashRange = 18446744073709551616.0;
    return static_cast<double>(combineHash(keyHash(m_self), keyHash(route))) / hashRange;
}

version_side rollout_share::pick(const service_id &service, const std::string &route,
                                 time_point now)
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || !it->second.rollout
        || it->second.rollout->state != rollout_state::Running || it->second.rollout->isInPlace) {
        return version_side::Any;
    }
    known_rollout &rollout = *it->second.rollout;
    const double share = validShare(rollout, now);
    double &credit = rollout.credits.try_emplace(route, initialCredit(route)).first->second;
    credit += share;
    if (share <= 0.0 || credit < 1.0) {
        return version_side::Others;
    }
    credit -= 1.0;
    return version_side::Target;
}

target_state *rollout_share::choose(target_pool &targets, target_query query, version_side side,
                                    time_point now) const
{
    const auto it = m_services.find(query.service);
    if (it == m_services.end() || it->second.isUnrestricted()) {
        return targets.choose(query, now);
    }
    const auto &rollout = it->second.rollout;
    const auto isWanted = [&, isWanted = query.isAllowed](const target_state &t) {
        return (!isWanted || isWanted(t)) && isAllowed(t.record, now);
    };
    const auto isTarget = [&](const target_state &t) {
        return rollout && t.record.version == rollout->request.target;
    };
    const bool isFull = rollout && validShare(*rollout, now) >= 1.0;
    // A retry after an attempt at the new version goes to the others, as long as these serve.
    const bool isRetryAtOthers = !query.except.empty() && !isFull;
    if (side == version_side::Target && !query.allowWarmingUp && !isRetryAtOthers) {
        query.isAllowed = [&](const target_state &t) { return isTarget(t) && isWanted(t); };
        if (target_state *target = targets.choose(query, now)) {
            return target;
        }
    }
    const bool isRunning =
        rollout && rollout->state == rollout_state::Running && !rollout->isInPlace;
    query.isAllowed = [&](const target_state &t) {
        return !(isRunning && isTarget(t)) && isWanted(t);
    };
    return targets.choose(query, now);
}

bool rollout_share::isHeldBack(const service_versions &versions, const std::string &version) const
{
    if (versions.retired.count(version) != 0) {
        return true;
    }
    const bool hasEstablishedTargets =
        std::any_of(versions.registered.begin(), versions.registered.end(),
                    [&](const std::string &v) { return versions.established.count(v) != 0; });
    return m_holdsBack && hasEstablishedTargets && versions.established.count(version) == 0;
}

bool rollout_share::isAllowed(const target_record &record, time_point now) const
{
    const auto share = shareOf(record, now);
    return !share || *share > 0.0;
}

std::optional<double> rollout_share::shareOf(const target_record &record, time_point now) const
{
    const auto it = m_services.find(record.service);
    if (it == m_services.end()) {
        return std::nullopt;
    }
    const service_versions &versions = it->second;
    const auto &rollout = versions.rollout;
    if (rollout && rollout->state == rollout_state::Running && !rollout->isInPlace
        && record.version == rollout->request.target) {
        return validShare(*rollout, now);
    }
    return isHeldBack(versions, record.version) ? std::optional(0.0) : std::nullopt;
}

bool rollout_share::isOnlyVersion(const service_id &service, const std::string &version) const
{
    const auto it = m_services.find(service);
    return it != m_services.end() && it->second.established == std::set<std::string>{version};
}

void rollout_share::recordAnswer(const target_record &record, const std::string &route,
                                 std::optional<duration> answeredIn)
{
    const auto it = m_services.find(record.service);
    if (it == m_services.end() || !it->second.rollout
        || it->second.rollout->state != rollout_state::Running) {
        return;
    }
    version_counts &counts = it->second.rollout->routes[route];
    answer_counts &side =
        record.version == it->second.rollout->request.target ? counts.target : counts.others;
    if (answeredIn) {
        side.addAnswer(*answeredIn);
    } else {
        side.addFailure();
    }
}

std::vector<rollout_evidence> rollout_share::evidence() const
{
    std::vector<rollout_evidence> result;
    for (const auto &[service, versions] : m_services) {
        if (versions.rollout && versions.rollout->state == rollout_state::Running
            && !versions.rollout->routes.empty()) {
            const rollout_request &request = versions.rollout->request;
            result.push_back(
                {m_self, service, request.target, request.version, versions.rollout->routes});
        }
    }
    return result;
}

} // namespace damaskward
