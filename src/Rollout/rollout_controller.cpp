#include "rollout_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace damaskward {
namespace {

struct rollout_stage
{
    double share = 0.0; ///< of the requests
    double seconds = 0.0; ///< shortest duration, of a roll-out of referenceDuration
};

/// A roll-out's duration for which the stages are planned; others are scaled. The stages before the
/// last one send as many requests to the new version as the service gets in 0.5 s. With the time to
/// find a fault that shows only at full load, about 0.8 s, this stays below the usual bound for bad
/// versions, a tenth of all requests.
constexpr double referenceDuration = 16.0;
constexpr std::array<rollout_stage, 5> stages{
    {{0.02, 2.0}, {0.05, 1.75}, {0.15, 1.0}, {0.4, 0.5}, {1.0, 1.5}}};
constexpr int lastStage = static_cast<int>(stages.size()) - 1;
/// Until this stage the other versions carry the full load as far as answer times show.
constexpr int lastSmallStage = 1;
/// Requests per second for the new version in the small stages, so that a service with few requests
/// gets answers to judge by; at most smallStageMaxShare of its requests.
constexpr double smallStageRate = 8.0;
constexpr double smallStageMaxShare = 0.25;
/// Fraction of the duration after which a version that is not completed is rolled back.
constexpr double timeLimit = 0.9;
/// Answers are compared by slices: all VMs report once in this time.
constexpr milliseconds sliceTime{250};
/// Factor on the recent answers of the other versions after each slice: a mean age of about 0.6 s.
constexpr double sliceDecay = 0.7;
/// Answers of a route, and of a service, with which a stage may end.
constexpr double routeAnswers = 20.0;
constexpr double serviceAnswers = 20.0;
/// Fraction of the expected answers with which the last stage may end; the rest is still under way.
constexpr double arrivedRatio = 0.5;
/// The same for the other stages. The planner of key ranges is content with owners that have 0.4 of
/// their share.
constexpr double smallArrivedRatio = 0.25;
/// Fewer answers of the other versions than this are not compared with.
constexpr double minComparedAnswers = 20.0;

/// Bounds of the tests. With the excess rates below, a good version reaches badSum by chance about
/// once in exp(10) answers; a version with a third of failures needs about 20 answers.
constexpr double badSum = 10.0;
/// A single slice is not enough up to this sum: the loss of one target fails its requests at once.
constexpr double certainSum = 25.0;
constexpr double doubtSum = 4.0;
/// Rates above the expected one that the tests look for. A bad version fails or slows a third of
/// its answers or more; of the slow ones only a part exceeds the bound below.
constexpr double failureExcess = 0.15;
constexpr double slowExcess = 0.2;
/// Lowest expected rates, since the other versions' are measured with few answers.
constexpr double minFailureRate = 0.03;
constexpr double minSlowRate = 0.05;
/// Slow answers are those above this quantile of the other versions.
constexpr double slowQuantile = 0.85;
/// With no other version at the same moment, answers must exceed the quantile by this many buckets
/// (1.25 times) to be slow, since the load may have risen since.
constexpr std::size_t marginBuckets = 1;

template <typename Buckets>
std::size_t quantileBucket(const Buckets &buckets, double total)
{
    double sum = 0.0;
    for (std::size_t i = 0; i < answer_counts::bucketCount; ++i) {
        sum += static_cast<double>(buckets[i]);
        if (sum >= slowQuantile * total) {
            return i;
        }
    }
    return answer_counts::bucketCount - 1;
}

template <typename Buckets>
double countFrom(const Buckets &buckets, std::size_t first)
{
    double sum = 0.0;
    for (std::size_t i = first; i < answer_counts::bucketCount; ++i) {
        sum += static_cast<double>(buckets[i]);
    }
    return sum;
}

} // namespace

rollout_controller::rollout_controller(rollout_request request, time_point requestedAt)
    : m_request(std::move(request))
    , m_requestedAt(requestedAt)
{ }

rollout_controller::rollout_controller(const rollout_progress &recorded, time_point requestedAt,
                                       time_point now)
    : m_request(recorded.request)
    , m_requestedAt(std::min(requestedAt, now - recorded.spent))
    , m_state(recorded.state)
    , m_reason(recorded.reason)
    , m_nextStage(std::clamp(recorded.stage, 0, lastStage))
{
    startStage(m_nextStage, now);
}

duration rollout_controller::scaled(double referenceSeconds) const
{
    return std::chrono::duration_cast<duration>(m_request.duration
                                                * (referenceSeconds / referenceDuration));
}

bool rollout_controller::isLastStage() const
{
    return m_stage == lastStage;
}

void rollout_controller::startStage(int stage, time_point now)
{
    m_stage = stage;
    m_stageSince = now;
    for (auto &[name, route] : m_routes) {
        route.answersInStage = 0;
        route.allInStage = 0;
    }
}

double rollout_controller::share() const
{
    if (m_state == rollout_state::Completed && m_isRecorded) {
        return 1.0;
    }
    if (m_state == rollout_state::RolledBack || m_stage < 0) {
        return 0.0;
    }
    const double share = stages.at(static_cast<std::size_t>(m_stage)).share;
    if (m_stage > lastSmallStage || m_answersPerSecond <= 0.0) {
        return share;
    }
    return std::max(share, std::min(smallStageMaxShare, smallStageRate / m_answersPerSecond));
}

void rollout_controller::add(const std::string &route, const version_counts &counts)
{
    for (route_state *state : {&m_routes[route], &m_allRoutes}) {
        state->pending.target.add(counts.target);
        state->pending.others.add(counts.others);
        state->answersInStage += counts.target.answers;
        state->allInStage += counts.target.answers + counts.others.answers;
    }
    m_answers += counts.target.answers;
}

void rollout_controller::cusum::add(std::uint64_t bad, std::uint64_t all, double expected,
                                    double excess)
{
    constexpr double maxExpected = 0.8;
    if (all == 0 || expected > maxExpected) {
        return; // The other versions are as bad as a bad version can be.
    }
    const double assumed = expected + excess;
    const double change = static_cast<double>(bad) * std::log(assumed / expected)
        + static_cast<double>(all - bad) * std::log((1.0 - assumed) / (1.0 - expected));
    rises += change > 0.0 ? 1 : 0;
    sum = std::max(0.0, sum + change);
    if (sum == 0.0) {
        rises = 0;
    }
}

bool rollout_controller::cusum::isBad() const
{
    return sum >= certainSum || (sum >= badSum && rises > 1);
}

/// \returns the rates of bad answers that a good version would have now on \a route.
rollout_controller::expectation rollout_controller::expectationOf(const route_state &route) const
{
    expectation result;
    const auto fill = [&](double answers, double failures, const auto &buckets,
                          std::size_t margin) {
        result.failureRate = std::max(minFailureRate, failures / answers);
        const double timed = answers - failures;
        result.hasTimes = timed >= minComparedAnswers;
        if (result.hasTimes) {
            result.slowFrom = quantileBucket(buckets, timed) + 1 + margin;
            result.slowRate = std::max(minSlowRate, countFrom(buckets, result.slowFrom) / timed);
        }
    };
    // At full load the others answer only what they got before, which leaves the slow answers.
    if (!isLastStage() && route.recentAnswers >= minComparedAnswers) {
        fill(route.recentAnswers, route.recentFailures, route.recentBuckets, 0);
    } else if (static_cast<double>(route.atFullLoad.answers) >= minComparedAnswers) {
        fill(static_cast<double>(route.atFullLoad.answers),
             static_cast<double>(route.atFullLoad.failures), route.atFullLoad.buckets,
             marginBuckets);
    } else {
        result.failureRate = minFailureRate;
    }
    return result;
}

void rollout_controller::test(route_state &route, const answer_counts &counts,
                              const expectation &expected) const
{
    route.failures.add(counts.failures, counts.answers, expected.failureRate, failureExcess);
    if (expected.hasTimes) {
        const auto slow = static_cast<std::uint64_t>(countFrom(counts.buckets, expected.slowFrom));
        route.slowness.add(slow, counts.answers - counts.failures, expected.slowRate, slowExcess);
    }
}

void rollout_controller::evaluateSlice(time_point now)
{
    const double age = std::chrono::duration<double>(now - m_firstSliceAt).count();
    const auto evaluate = [&](route_state &route) {
        const answer_counts &others = route.pending.others;
        route.recentAnswers += static_cast<double>(others.answers);
        route.recentFailures += static_cast<double>(others.failures);
        for (std::size_t i = 0; i < answer_counts::bucketCount; ++i) {
            route.recentBuckets[i] += others.buckets[i];
        }
        if (m_stage <= lastSmallStage || route.atFullLoad.answers == 0) {
            route.atFullLoad.add(others);
            const double all = static_cast<double>(route.atFullLoad.answers);
            route.answersPerSecond = age > 0.0 ? all / age : 0.0;
        }
        test(route, route.pending.target, expectationOf(route));
        route.recentAnswers *= sliceDecay;
        route.recentFailures *= sliceDecay;
        for (double &count : route.recentBuckets) {
            count *= sliceDecay;
        }
        route.pending = {};
    };
    for (auto &[name, route] : m_routes) {
        evaluate(route);
    }
    evaluate(m_allRoutes);
    m_answersPerSecond = m_allRoutes.answersPerSecond;
}

bool rollout_controller::isInDoubt() const
{
    const auto inDoubt = [](const route_state &route) {
        return route.failures.sum >= doubtSum || route.slowness.sum >= doubtSum;
    };
    return inDoubt(m_allRoutes)
        || std::any_of(m_routes.begin(), m_routes.end(),
                       [&](const auto &entry) { return inDoubt(entry.second); });
}

/// \returns the name of a test that the new version has failed, or null.
const char *rollout_controller::badTest() const
{
    const char *result = nullptr;
    const auto check = [&](const route_state &route) {
        if (route.failures.isBad()) {
            result = "failures";
        } else if (route.slowness.isBad()) {
            result = "slow answers";
        }
    };
    check(m_allRoutes);
    for (const auto &[name, route] : m_routes) {
        check(route);
    }
    return result;
}

/// \returns whether the new version has answered its share on each route in this stage.
bool rollout_controller::hasEnoughAnswers(time_point now) const
{
    if (static_cast<double>(m_answers) < serviceAnswers) {
        return false;
    }
    const double elapsed = std::chrono::duration<double>(now - m_stageSince).count();
    return std::all_of(m_routes.begin(), m_routes.end(), [&](const auto &entry) {
        const route_state &route = entry.second;
        const double all =
            std::max(static_cast<double>(route.allInStage), route.answersPerSecond * elapsed);
        const double ratio = isLastStage() ? arrivedRatio : smallArrivedRatio;
        const double expected = ratio * share() * all;
        return static_cast<double>(route.answersInStage)
            >= std::min(routeAnswers, std::floor(expected));
    });
}

void rollout_controller::abort(const char *reason)
{
    if (m_state == rollout_state::Running) {
        m_state = rollout_state::RolledBack;
        m_reason = reason;
        m_isRecorded = false;
    }
}

void rollout_controller::complete(const char *reason)
{
    if (m_state == rollout_state::Running) {
        m_state = rollout_state::Completed;
        m_reason = reason;
        m_isRecorded = false;
        m_nextStage = lastStage;
    }
}

void rollout_controller::step(bool ownsAllKeys, time_point now)
{
    if (m_firstSliceAt == time_point{}) {
        m_firstSliceAt = now;
        m_sliceAt = now + sliceTime;
    }
    if (now < m_sliceAt) {
        return;
    }
    m_sliceAt = now + sliceTime;
    evaluateSlice(now);
    if (m_state != rollout_state::Running) {
        return;
    }
    if (const char *test = badTest()) {
        abort(test);
        return;
    }
    const bool mayEndStage = m_stage >= 0 && m_nextStage == m_stage && !isInDoubt()
        && now >= m_stageSince + scaled(stages.at(static_cast<std::size_t>(m_stage)).seconds)
        && hasEnoughAnswers(now);
    if (mayEndStage && isLastStage() && ownsAllKeys) {
        complete("full load carried");
    } else if (mayEndStage && !isLastStage()) {
        m_nextStage = m_stage + 1;
    } else if (now >= m_requestedAt + scaled(timeLimit * referenceDuration)) {
        abort("out of time");
    }
}

std::optional<rollout_progress> rollout_controller::unrecorded(time_point now) const
{
    if (m_isRecorded && m_nextStage == m_stage) {
        return std::nullopt;
    }
    const auto spent = std::chrono::duration_cast<milliseconds>(now - m_requestedAt);
    return rollout_progress{m_request, m_state, m_nextStage, spent, m_reason};
}

void rollout_controller::confirm(const rollout_progress &recorded, time_point now)
{
    if (recorded.state == m_state) {
        m_isRecorded = true;
    }
    if (recorded.stage != m_stage) {
        startStage(recorded.stage, now);
    }
}

} // namespace damaskward
