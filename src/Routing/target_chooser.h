/// \file
/// \brief Chooses among the targets of a service that is not sharded by key.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"

#include <map>
#include <optional>
#include <vector>

namespace damaskward {

/// \class target_chooser
/// \brief Chooses the target with the fewest outstanding requests of this VM. Not thread-safe.
///
/// Load reports of the targets are not used, because they arrive too late.
///
/// With outlier ejection, a target whose average latency is far above the median gets no requests
/// for a while; at most half of the targets are ejected at a time. It is off by default: together
/// with hedging, it gained little at half load and lost at 0.9 of capacity (docs/DESIGN.md,
/// stragglers).
///
/// \code
/// if (auto target = chooser.choose(candidates, nothing, now)) {
///     chooser.recordRequestSent(*target);
///     ...
///     chooser.recordRequestCompleted(*target, latency, now);
/// }
/// \endcode
class target_chooser
{
public:
    /// \param useOutliers whether to eject outliers
    explicit target_chooser(bool useOutliers = false)
        : m_useOutliers(useOutliers)
    { }

    /// \param candidates the targets that may be chosen
    /// \param except a target already tried, or nothing
    /// \returns the target with the fewest outstanding requests; if every candidate is ejected or
    /// excluded, any of them; nothing if there are no candidates.
    std::optional<target_id> choose(const std::vector<target_id> &candidates,
                                    const std::optional<target_id> &except, time_point now);
    /// Records that a request has been sent to \a target.
    void recordRequestSent(const target_id &target) { ++m_targets[target].outstanding; }
    /// Records that a request to \a target was answered or abandoned after \a latency.
    void recordRequestCompleted(const target_id &target, duration latency, time_point now);
    /// Records that \a target refused a request without running it. The time does not count as a
    /// latency.
    void recordRequestRefused(const target_id &target);

    /// \returns whether \a target is ejected at \a now.
    bool isEjected(const target_id &target, time_point now) const;
    /// \returns the time after which an unanswered request is hedged; nearly all answers arrive
    /// earlier.
    duration hedgeDelay() const;

private:
    struct target_stats
    {
        int outstanding = 0;
        duration meanLatency{};
        time_point ejectedUntil{};
    };

    duration medianLatency() const;
    void ejectIfOutlier(target_stats &stats, time_point now);

    bool m_useOutliers;
    std::map<target_id, target_stats> m_targets;
    std::uint64_t m_turn = 0; ///< first candidate to consider, so that ties rotate
};

} // namespace damaskward
