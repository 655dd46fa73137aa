#include "admission_control.h"

#include "feasibility.h"

#include <algorithm>

namespace damaskward {
namespace {

/// Minimum time that a target needs to serve a request, while there are no measured times.
constexpr milliseconds minServiceTime{40};
/// A target counts as full at this multiple of its slots: its queue is then as long as its slots
/// serve at once.
constexpr int fullLoadPerSlot = 2;
/// A load report that is older says nothing certain about the present queue.
constexpr milliseconds maxReportAge{300};
/// Assumed time until a service without a usable target has one again.
constexpr milliseconds noTargetDrain{300};
/// Shortest Retry-After before jitter: a target serves about one request in this time.
constexpr milliseconds minDrain{150};
/// A connection is silent after this multiple of the time in which most requests are answered.
constexpr double silenceFactor = 1.5;
/// Shortest silence: covers delays of this VM's own event loop.
constexpr milliseconds minSilence{300};
/// Longest pause for a full target. By then its queue has changed.
constexpr milliseconds maxFullPause{300};
/// Interval, in samples, at which the means of targets that are gone are discarded.
constexpr int cleanUpInterval = 5000;

double millisOf(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// \returns the load of \a target that is certain: what it reported, less what it may have
/// completed since. Requests in flight are not counted, since a target that was full may have
/// dropped them.
target_load certainLoad(const target_state &target, const service_time_profile &profile,
                        time_point now)
{
    const int slots = std::max(1, target.record.slots);
    const duration age = now - target.loadReportedAt;
    if (target.loadReportedAt == time_point{} || age >= maxReportAge) {
        return {0.0, slots, 1.0};
    }
    const double mean = std::min(profile.meanMillis, profile.targetMeanMillis);
    const double completed = slots * millisOf(age) / mean;
    return {std::max(0.0, target.load.running + target.load.waiting - completed), slots, 1.0};
}

} // namespace

void admission_control::recordServiceTime(const target_state &target, duration time)
{
    m_serviceTimes.add(target.record.service, target.record.name, millisOf(time));
    if (--m_samplesUntilCleanUp < 0) {
        m_samplesUntilCleanUp = cleanUpInterval;
        m_serviceTimes.retainTargets(
            [this](const std::string &name) { return m_targets.find(name) != nullptr; });
    }
}

bool admission_control::hasTimeFor(const service_id &service, time_point deadline,
                                   time_point now) const
{
    const auto shortest = toWholeMillis(m_serviceTimes.of(service, {}).shortestMillis);
    return now + std::max(minServiceTime, shortest) < deadline;
}

bool admission_control::hasTimeForUsual(const service_id &service, time_point deadline,
                                        time_point now) const
{
    const auto usual = toWholeMillis(m_serviceTimes.of(service, {}).meanMillis);
    return now + std::max(minServiceTime, usual) < deadline;
}

bool admission_control::canAnswer(const target_state &target, time_point deadline,
                                  time_point now) const
{
    const auto profile = m_serviceTimes.of(target.record.service, target.record.name);
    return now + shortestAnswerTime(profile, certainLoad(target, profile, now)) < deadline;
}

target_choice admission_control::choose(const unsharded_request &request,
                                        const target_chooser_function &choose, time_point now)
{
    const char *refusal = request.tried.empty() ? "no target" : "no other target";
    for (const bool allowWarmingUp : {false, true}) {
        target_query query{request.service, request.tried, request.preferLocal, allowWarmingUp};
        target_state *target = choose(query);
        if (target && !canAnswer(*target, request.deadline, now)) {
            query.isAllowed = [&](const target_state &t) {
                return canAnswer(t, request.deadline, now);
            };
            target = choose(query);
            refusal = "no target can answer in time";
        }
        if (target && isFull(*target, now) && mustYield(request, choose, query, now)) {
            return {nullptr, "yields to urgent requests", drainTime(request.service, now)};
        }
        if (target) {
            return {target, nullptr, milliseconds(0)};
        }
    }
    return {nullptr, refusal, drainTime(request.service, now)};
}

bool admission_control::isFull(const target_state &target, time_point now)
{
    return target_pool::expectedLoad(target, now) >= fullLoadPerSlot * target.record.slots;
}

/// \returns whether all targets that \a query allows are full and the request is refused in favour
/// of more urgent ones.
bool admission_control::mustYield(const unsharded_request &request,
                                  const target_chooser_function &choose, target_query query,
                                  time_point now)
{
    query.isAllowed = [&, isAllowed = query.isAllowed](const target_state &t) {
        return !isFull(t, now) && (!isAllowed || isAllowed(t));
    };
    return !choose(query) && m_order.mustYield(request.service, request.priority, now);
}

milliseconds admission_control::drainTime(const target_state &target, time_point now) const
{
    const auto profile = m_serviceTimes.of(target.record.service, target.record.name);
    const milliseconds wait =
        expectedWait(profile,
                     {target_pool::expectedLoad(target, now), std::max(1, target.record.slots),
                      target_pool::currentSlowdown(target, now)});
    return std::max(wait, target_pool::pauseLeft(target, now));
}

milliseconds admission_control::drainTime(const service_id &service, time_point now) const
{
    std::optional<milliseconds> shortest;
    for (const auto &[name, t] : m_targets.all()) {
        // Targets that are unusable for another reason than a pause don't count.
        if (t.record.service == service && m_targets.isUsable(t, std::max(now, t.pausedUntil))) {
            const milliseconds time = drainTime(t, now);
            shortest = shortest ? std::min(*shortest, time) : time;
        }
    }
    return shortest.value_or(noTargetDrain);
}

milliseconds admission_control::silenceLimit(const target_state &target, time_point now) const
{
    const auto profile = m_serviceTimes.of(target.record.service, target.record.name);
    const milliseconds usual = longestUsualAnswerTime(profile,
                                                      {target_pool::expectedLoad(target, now),
                                                       std::max(1, target.record.slots),
                                                       target_pool::currentSlowdown(target, now)});
    return usual.count() == 0
        ? usual
        : std::max(minSilence, toWholeMillis(silenceFactor * static_cast<double>(usual.count())));
}

silence_cause admission_control::judgeSilence(const std::string &target, time_point sentAt,
                                              time_point now)
{
    const silence_cause cause = m_evidence.causeOfSilence(target, sentAt);
    target_state *full = cause == silence_cause::Full ? m_targets.find(target) : nullptr;
    // The verdict may be wrong, and a pause takes the target from all requests of this VM.
    if (full && queueIsFull(*full)) {
        const auto profile = m_serviceTimes.of(full->record.service, target);
        const milliseconds drain = expectedWait(profile, certainLoad(*full, profile, now));
        target_pool::recordPause(*full, now + std::min(drain, maxFullPause));
    }
    return cause;
}

bool admission_control::hasDropped(const std::string &target, time_point sentAt) const
{
    const target_state *known = m_targets.find(target);
    if (!known) {
        return false;
    }
    if (known->loadReportedAt != time_point{}) {
        return m_evidence.wasIdleAfter(target, sentAt);
    }
    const auto slots = static_cast<std::size_t>(std::max(1, known->record.slots));
    return m_evidence.answeredAfter(target, sentAt)
        >= std::min(slots + 1, connection_evidence::maxCountedAnswers);
}

milliseconds admission_control::retryAfter(const service_id &service, milliseconds drain,
                                           int priority, std::optional<time_point> callerDeadline,
                                           time_point now) const
{
    retry_delay_query query;
    query.drain = std::max(drain, minDrain);
    query.priority = priority;
    if (callerDeadline) {
        query.remaining = std::max(milliseconds(0),
                                   std::chrono::duration_cast<milliseconds>(*callerDeadline - now));
    }
    query.expectedAnswerTime = toWholeMillis(m_serviceTimes.of(service, {}).meanMillis);
    return retryDelay(query, m_random());
}

} // namespace damaskward
