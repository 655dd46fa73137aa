/// \file
/// \brief The service rates of targets, estimated from the service times that all VMs measure.

#pragma once

#include "key_demand.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace damaskward {

/// \class service_time_estimator
/// \brief A moving average of each target's service times, without queueing. Not thread-safe.
///
/// Handles targets of unequal speed: keys are distributed by the capacity of a target, not by its
/// slots alone.
///
/// \code
/// service_time_estimator estimator;
/// estimator.add("t1", {3, 450});
/// double capacity = slots * estimator.serviceRateOf("t1");
/// \endcode
class service_time_estimator
{
public:
    /// Adds samples of \a target.
    void add(const std::string &target, const service_time_sample &sample)
    {
        sample_sum &sum = m_targets[target];
        sum.count += sample.count;
        sum.millis += static_cast<double>(sample.millis);
        m_total.count += sample.count;
        m_total.millis += static_cast<double>(sample.millis);
        if (sum.count > maxSamples) {
            sum.millis *= maxSamples / sum.count;
            sum.count = maxSamples;
        }
        constexpr double maxTotalSamples = 2000.0;
        if (m_total.count > maxTotalSamples) {
            m_total.millis /= 2.0;
            m_total.count /= 2.0;
        }
    }

    /// \returns how many requests per second one slot of \a target serves.
    double serviceRateOf(std::string_view target) const
    {
        constexpr double millisPerSecond = 1000.0;
        const double overallMean =
            m_total.count < priorSamples ? defaultMillis : m_total.millis / m_total.count;
        const auto it = m_targets.find(target);
        if (it == m_targets.end()) {
            return millisPerSecond / overallMean;
        }
        // With few samples, the estimate stays close to the mean of all targets.
        const double estimate =
            (it->second.millis + priorSamples * overallMean) / (it->second.count + priorSamples);
        return millisPerSecond
            / std::clamp(estimate, overallMean * minRatio, overallMean * maxRatio);
    }

private:
    /// Weight, in samples, of the mean of all targets in the estimate for one target. A few samples
    /// alone are unreliable: single service times deviate from their mean by half of it.
    static constexpr double priorSamples = 6.0;
    /// Limits the weight of older samples, so that the estimate follows within seconds when a
    /// target becomes slow.
    static constexpr double maxSamples = 40.0;
    /// Bounds of a target's estimated service time relative to the mean of all targets.
    static constexpr double minRatio = 0.3;
    static constexpr double maxRatio = 5.0;
    /// Assumed mean until there are enough samples.
    static constexpr double defaultMillis = 150.0;

    struct sample_sum
    {
        double count = 0.0;
        double millis = 0.0;
    };

    std::map<std::string, sample_sum, std::less<>> m_targets;
    sample_sum m_total;
};

} // namespace damaskward
