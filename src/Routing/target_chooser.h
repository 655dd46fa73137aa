/// \file
/// \brief Chooses among the targets of a service that is not divided by key.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"

#include <map>
#include <optional>
#include <vector>

namespace damaskward {

/// \class target_chooser
/// \brief Least outstanding requests, from what this VM has sent itself; load reports come too
/// late.
///
/// With the outlier view, a target whose running latency is far above the median gets no requests
/// for a while, at most half of the targets at a time. It is off unless asked for: together with
/// hedging it gained little at half load and lost at 0.9 of capacity (docs/DESIGN.md, stragglers).
/// Not thread-safe.
///
/// \code
/// if (auto target = chooser.choose(candidates, nothing, now)) {
///     chooser.started(*target);
///     ...
///     chooser.ended(*target, latency, now);
/// }
/// \endcode
class target_chooser
{
public:
    /// \param useOutliers keep outliers out
    explicit target_chooser(bool useOutliers = false)
        : m_useOutliers(useOutliers)
    { }

    /// \param candidates the targets that may be chosen
    /// \param except a target already tried, or nothing
    /// \returns the target with the fewest outstanding requests, or nothing without candidates.
    std::optional<target_id> choose(const std::vector<target_id> &candidates,
                                    const std::optional<target_id> &except, time_point now);
    /// A request has been sent to \a target.
    void started(const target_id &target) { ++m_targets[target].outstanding; }
    /// It has been answered or given up after \a latency.
    void ended(const target_id &target, duration latency, time_point now);
    /// It was refused without having run; says nothing about the target's speed.
    void refused(const target_id &target);

    /// \returns whether \a target is kept out at the moment.
    bool isEjected(const target_id &target, time_point now) const;
    /// \returns after which time an answer is later than nearly all.
    duration hedgeDelay() const;

private:
    struct view
    {
        int outstanding = 0;
        duration meanLatency{};
        time_point ejectedUntil{};
    };

    duration medianLatency() const;
    void ejectIfOutlier(view &v, time_point now);

    bool m_useOutliers;
    std::map<target_id, view> m_targets;
    std::uint64_t m_turn = 0; ///< breaks ties in turn
};

} // namespace damaskward
