#include "target_chooser.h"

#include <algorithm>

namespace damaskward {
namespace internal {

/// The weight of one answer in the running mean is 1 / this.
constexpr int latencyWindow = 8;
/// A target this many times slower than the median is an outlier.
constexpr int outlierFactor = 3;
constexpr milliseconds ejectionTime{1000};
constexpr milliseconds leastHedgeDelay{2};
/// A hedge is sent after this many times the median latency.
constexpr int hedgeFactor = 3;

} // namespace internal

duration target_chooser::medianLatency() const
{
    std::vector<duration> latencies;
    for (const auto &[target, v] : m_targets) {
        if (v.meanLatency > duration::zero()) {
            latencies.push_back(v.meanLatency);
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
    return std::max<duration>(medianLatency() * internal::hedgeFactor, internal::leastHedgeDelay);
}

bool target_chooser::isEjected(const target_id &target, time_point now) const
{
    const auto it = m_targets.find(target);
    return it != m_targets.end() && now < it->second.ejectedUntil;
}

void target_chooser::ejectIfOutlier(view &v, time_point now)
{
    if (!m_useOutliers) {
        return;
    }
    const auto out = [now](const auto &entry) { return now < entry.second.ejectedUntil; };
    const auto ejected = std::count_if(m_targets.begin(), m_targets.end(), out);
    const bool mayEject = (static_cast<std::size_t>(ejected) + 1) * 2 <= m_targets.size();
    if (mayEject && v.meanLatency > medianLatency() * internal::outlierFactor) {
        v.ejectedUntil = now + internal::ejectionTime;
        // The next try is judged by itself, not by the slow past.
        v.meanLatency = duration::zero();
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
        const view &v = m_targets[candidate];
        if (best == nullptr || v.outstanding < fewest) {
            best = &candidate;
            fewest = v.outstanding;
        }
    }
    if (best != nullptr) {
        return *best;
    }
    // Nobody is left but the ejected ones and the one that was tried.
    return candidates.empty() ? std::nullopt
                              : std::optional<target_id>(candidates[m_turn % candidates.size()]);
}

void target_chooser::ended(const target_id &target, duration latency, time_point now)
{
    view &v = m_targets[target];
    v.outstanding = std::max(0, v.outstanding - 1);
    const bool first = v.meanLatency == duration::zero();
    v.meanLatency =
        first ? latency : v.meanLatency + (latency - v.meanLatency) / internal::latencyWindow;
    ejectIfOutlier(v, now);
}

void target_chooser::refused(const target_id &target)
{
    view &v = m_targets[target];
    v.outstanding = std::max(0, v.outstanding - 1);
}

} // namespace damaskward
