#include "target_chooser.h"

#include <algorithm>

namespace damaskward {
namespace internal {

/// The weight of a new latency in the moving average is the reciprocal of this.
constexpr int latencyWindow = 8;
/// A target whose latency exceeds the median by this factor is an outlier.
constexpr int outlierFactor = 3;
constexpr milliseconds ejectionTime{1000};
constexpr milliseconds minHedgeDelay{2};
/// A hedge is sent after the median latency times this factor.
constexpr int hedgeFactor = 3;

} // namespace internal

duration target_chooser::medianLatency() const
{
    std::vector<duration> latencies;
    for (const auto &[target, stats] : m_targets) {
        if (stats.meanLatency > duration::zero()) {
            latencies.push_back(stats.meanLatency);
        }
    }
    if (latencies.empty()) {
        return duration::zero();
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

duration target_chooser::hedgeDelay() const
{
    return std::max<duration>(medianLatency() * internal::hedgeFactor, internal::minHedgeDelay);
}

bool target_chooser::isEjected(const target_id &target, time_point now) const
{
    const auto it = m_targets.find(target);
    return it != m_targets.end() && now < it->second.ejectedUntil;
}

void target_chooser::ejectIfOutlier(target_stats &stats, time_point now)
{
    if (!m_useOutliers) {
        return;
    }
    const auto isEjectedNow = [now](const auto &entry) { return now < entry.second.ejectedUntil; };
    const auto ejected = std::count_if(m_targets.begin(), m_targets.end(), isEjectedNow);
    const bool mayEject = (static_cast<std::size_t>(ejected) + 1) * 2 <= m_targets.size();
    if (mayEject && stats.meanLatency > medianLatency() * internal::outlierFactor) {
        stats.ejectedUntil = now + internal::ejectionTime;
        // After the ejection, only new latencies count.
        stats.meanLatency = duration::zero();
    }
}

std::optional<target_id> target_chooser::choose(const std::vector<target_id> &candidates,
                                                const std::optional<target_id> &except,
                                                time_point now)
{
    const target_id *best = nullptr;
    int fewest = 0;
    ++m_turn;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const target_id &candidate = candidates[(i + m_turn) % candidates.size()];
        if ((except && candidate == *except) || isEjected(candidate, now)) {
            continue;
        }
        const target_stats &stats = m_targets[candidate];
        if (best == nullptr || stats.outstanding < fewest) {
            best = &candidate;
            fewest = stats.outstanding;
        }
    }
    if (best != nullptr) {
        return *best;
    }
    // Every candidate is ejected or excluded.
    return candidates.empty() ? std::nullopt
                              : std::optional<target_id>(candidates[m_turn % candidates.size()]);
}

void target_chooser::recordRequestCompleted(const target_id &target, duration latency,
                                            time_point now)
{
    target_stats &stats = m_targets[target];
    stats.outstanding = std::max(0, stats.outstanding - 1);
    const bool first = stats.meanLatency == duration::zero();
    stats.meanLatency = first
        ? latency
        : stats.meanLatency + (latency - stats.meanLatency) / internal::latencyWindow;
    ejectIfOutlier(stats, now);
}

void target_chooser::recordRequestRefused(const target_id &target)
{
    target_stats &stats = m_targets[target];
    stats.outstanding = std::max(0, stats.outstanding - 1);
}

} // namespace damaskward
