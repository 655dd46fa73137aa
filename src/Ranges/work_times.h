/// \file
/// \brief How fast targets work, from the answer times that all VMs measure.

#pragma once

#include "key_demand.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace damaskward {

/// \class work_times
/// \brief A running mean of each target's answer times without queueing. Not thread-safe.
///
/// Answers the pattern of targets of unequal speed: keys are shared out by what a target gets
/// done, not by its slots alone.
///
/// \code
/// work_times work;
/// work.add("t1", {3, 450});
/// double capacity = slots * work.rateOf("t1");
/// \endcode
class work_times
{
public:
    /// Adds samples of one target.
    void add(const std::string &target, const work_sample &sample)
    {
        entry &e = m_targets[target];
        e.count += sample.count;
        e.millis += static_cast<double>(sample.millis);
        m_total.count += sample.count;
        m_total.millis += static_cast<double>(sample.millis);
        if (e.count > mostSamples) {
            e.millis *= mostSamples / e.count;
            e.count = mostSamples;
        }
        constexpr double mostTotal = 2000.0;
        if (m_total.count > mostTotal) {
            m_total.millis /= 2.0;
            m_total.count /= 2.0;
        }
    }

    /// \returns how many requests a second one slot of the target gets done.
    double rateOf(std::string_view target) const
    {
        constexpr double millisPerSecond = 1000.0;
        const double mean =
            m_total.count < priorSamples ? unknownMillis : m_total.millis / m_total.count;
        const auto it = m_targets.find(target);
        if (it == m_targets.end()) {
            return millisPerSecond / mean;
        }
        // Few samples count little: the target is taken for an average one.
        const double own =
            (it->second.millis + priorSamples * mean) / (it->second.count + priorSamples);
        return millisPerSecond / std::clamp(own, mean * leastRatio, mean * mostRatio);
    }

private:
    /// Weight of the mean of all in a target's own; single answers vary by half their mean.
    static constexpr double priorSamples = 6.0;
    /// Samples that count at most, so that a target that has become slow shows within seconds.
    static constexpr double mostSamples = 40.0;
    /// Bounds on a target's answer time relative to the mean of all.
    static constexpr double leastRatio = 0.3;
    static constexpr double mostRatio = 5.0;
    /// Assumed before there are samples.
    static constexpr double unknownMillis = 150.0;

    struct entry
    {
        double count = 0.0;
        double millis = 0.0;
    };

    std::map<std::string, entry, std::less<>> m_targets;
    entry m_total;
};

} // namespace damaskward
