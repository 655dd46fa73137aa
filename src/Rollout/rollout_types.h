/// \file
/// \brief Requests, states and evidence of roll-outs of new service versions.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "../Table/table.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace damaskward {

/// The operators' request to move the traffic of a service to the targets of one version.
struct rollout_request
{
    service_id service;
    std::string target; ///< the version to move to
    milliseconds duration{0}; ///< within it the roll-out must be completed or rolled back
    row_version version = 0; ///< of the row with the request; tells repeated requests apart
};

/// \returns whether both are the same request.
inline bool isSameRequest(const rollout_request &a, const rollout_request &b)
{
    return a.service == b.service && a.target == b.target && a.version == b.version;
}

enum class rollout_state {
    Running,
    Completed, ///< the other versions get nothing more
    RolledBack ///< the version gets nothing more
};

/// What is recorded of a roll-out, from which the next coordinator continues.
struct rollout_progress
{
    rollout_request request;
    rollout_state state = rollout_state::Running;
    int stage = 0;
    milliseconds spent{0}; ///< time since the request when it was recorded
    std::string reason; ///< of the state, for logs
};

/// Counts of answers by their time, on a logarithmic scale.
struct answer_counts
{
    static constexpr std::size_t bucketCount = 32;

    std::uint64_t answers = 0; ///< including failures
    std::uint64_t failures = 0; ///< statuses of 500 or above, answers not of the target, no answer
    std::int64_t millis = 0; ///< sum of the answer times, without failures
    std::array<std::uint32_t, bucketCount> buckets{}; ///< answers by their time, without failures

    /// \returns the bucket of an answer time. Each bucket's times are 1.25 times longer than those
    /// of the one before; the first ends at 8 ms and the last begins at 6.5 s.
    static std::size_t bucketOf(duration answerTime)
    {
        constexpr double firstEnd = 8.0;
        constexpr double ratio = 1.25;
        const double ms = std::chrono::duration<double, std::milli>(answerTime).count();
        const double index =
            ms <= firstEnd ? 0.0 : std::ceil(std::log(ms / firstEnd) / std::log(ratio));
        return std::min(static_cast<std::size_t>(index), bucketCount - 1);
    }

    void addAnswer(duration answerTime)
    {
        ++answers;
        millis += toMillis(answerTime);
        ++buckets[bucketOf(answerTime)];
    }
    void addFailure()
    {
        ++answers;
        ++failures;
    }
    void add(const answer_counts &other)
    {
        answers += other.answers;
        failures += other.failures;
        millis += other.millis;
        for (std::size_t i = 0; i < bucketCount; ++i) {
            buckets[i] += other.buckets[i];
        }
    }
};

/// \returns the counts in \a now that \a before does not contain; \a now if it is not a later state
/// of the same counters.
inline answer_counts countsSince(const answer_counts &before, const answer_counts &now)
{
    if (now.answers < before.answers || now.failures < before.failures) {
        return now;
    }
    answer_counts delta = now;
    delta.answers -= before.answers;
    delta.failures -= before.failures;
    delta.millis -= before.millis;
    for (std::size_t i = 0; i < answer_counts::bucketCount; ++i) {
        delta.buckets[i] -= std::min(before.buckets[i], now.buckets[i]);
    }
    return delta;
}

/// Answers on one route of the version of a roll-out, and of all other versions of its service.
struct version_counts
{
    answer_counts target;
    answer_counts others;
};

/// What one VM has counted since it learnt of a roll-out. Complete in each report, so that a lost
/// report costs nothing and the next coordinator gets all of it.
struct rollout_evidence
{
    std::string from; ///< the name of the VM
    service_id service;
    std::string target;
    row_version version = 0; ///< of the request
    std::map<std::string, version_counts> routes;
};

/// A roll-out as VMs know it from the coordinator, or from the store reader of their data centre.
struct rollout_notice
{
    rollout_request request;
    rollout_state state = rollout_state::Running;
    milliseconds age{0}; ///< time since the request became known
    double share = 0.0; ///< of the requests, for the version of the roll-out
    /// How long the share holds; 0 in the notice of a store reader, which contains no share.
    milliseconds validFor{0};
};

/// The roll-outs known to the sender.
struct rollout_notices
{
    std::uint64_t version = 0; ///< increases from coordinator to coordinator; 0 from store readers
    std::vector<rollout_notice> rollouts;
};

} // namespace damaskward
