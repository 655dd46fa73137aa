/// \file
/// \brief The distribution of the service times that this VM has measured.

#pragma once

#include "../Core/ids.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <map>
#include <string>
#include <string_view>

namespace damaskward {

/// What is known of the service times of one service at one target, without queueing.
struct service_time_profile
{
    double shortestMillis = 0.0; ///< low quantile; 0 while there are too few samples
    double meanMillis = 0.0; ///< of the service's targets
    double targetMeanMillis = 0.0; ///< of this target; that of the service while there are too few
    double highMillis = 0.0; ///< high quantile; 0 while there are too few samples
};

/// \class service_times
/// \brief Measured service times by service, and their means by target. Without I/O; not
/// thread-safe.
///
/// Samples must not contain time spent in a target's queue. Older samples lose weight, so that the
/// quantiles follow a change within some hundred requests.
///
/// \code
/// times.add(service, "t1", 180.0);
/// const service_time_profile profile = times.of(service, "t1");
/// \endcode
/// \sa feasibility.h
class service_times
{
public:
    void add(const service_id &service, const std::string &target, double millis)
    {
        distribution &d = m_services[service];
        d.counts[bucketOf(millis)] += 1.0F;
        d.millis += millis;
        d.samples += 1.0;
        if (--d.samplesUntilQuantiles < 0) {
            d.samplesUntilQuantiles = quantileInterval;
            d.shortestMillis = lowerBound(quantileBucket(d, lowQuantile));
            d.highMillis = lowerBound(quantileBucket(d, highQuantile) + 1);
        }
        if (d.samples > maxSamples) {
            for (float &count : d.counts) {
                count /= 2.0F;
            }
            d.millis /= 2.0;
            d.samples /= 2.0;
        }
        mean &m = d.targets[target];
        m.samples = std::min(m.samples + 1.0, maxTargetSamples);
        m.millis += (millis - m.millis) / m.samples;
    }

    /// \param target may be empty, for the service as a whole
    service_time_profile of(const service_id &service, std::string_view target) const
    {
        service_time_profile profile{0.0, defaultMillis, defaultMillis, 0.0};
        const auto it = m_services.find(service);
        if (it == m_services.end()) {
            return profile;
        }
        const distribution &d = it->second;
        if (d.samples >= minSamples) {
            profile.meanMillis = d.millis / d.samples;
        }
        if (d.samples >= minQuantileSamples) {
            profile.shortestMillis = d.shortestMillis;
            profile.highMillis = d.highMillis;
        }
        const auto t = d.targets.find(target);
        profile.targetMeanMillis = t == d.targets.end() || t->second.samples < minSamples
            ? profile.meanMillis
            : t->second.millis;
        return profile;
    }

    /// Forgets the targets for which \a isKnown returns false.
    template <typename Predicate>
    void retainTargets(Predicate &&isKnown)
    {
        for (auto &[service, d] : m_services) {
            for (auto it = d.targets.begin(); it != d.targets.end();) {
                it = isKnown(it->first) ? std::next(it) : d.targets.erase(it);
            }
        }
    }

private:
    /// Assumed mean until there are enough samples.
    static constexpr double defaultMillis = 150.0;
    /// With fewer samples a mean is not used: single service times deviate from it by half of it.
    static constexpr double minSamples = 20.0;
    /// With fewer samples the low quantile is not reliable.
    static constexpr double minQuantileSamples = 200.0;
    static constexpr double lowQuantile = 0.01;
    static constexpr double highQuantile = 0.95;
    /// Interval, in samples, at which the quantiles are computed.
    static constexpr int quantileInterval = 20;
    /// At this number of samples their weight is halved.
    static constexpr double maxSamples = 2000.0;
    /// Limits the weight of a target's older samples, so that its mean follows within seconds.
    static constexpr double maxTargetSamples = 40.0;
    /// The buckets of the distribution start at 1 ms and end at about a minute.
    static constexpr double bucketRatio = 1.2;
    static constexpr std::size_t bucketCount = 60;

    struct mean
    {
        double samples = 0.0;
        double millis = 0.0;
    };

    struct distribution
    {
        std::array<float, bucketCount> counts{};
        double samples = 0.0;
        double millis = 0.0; ///< their sum
        int samplesUntilQuantiles = 0;
        double shortestMillis = 0.0;
        double highMillis = 0.0;
        std::map<std::string, mean, std::less<>> targets;
    };

    static std::size_t bucketOf(double millis)
    {
        const double index = std::log(std::max(millis, 1.0)) / std::log(bucketRatio);
        return std::min(static_cast<std::size_t>(index), bucketCount - 1);
    }

    static double lowerBound(std::size_t bucket)
    {
        return std::pow(bucketRatio, static_cast<double>(bucket));
    }

    static std::size_t quantileBucket(const distribution &d, double quantile)
    {
        double left = quantile * d.samples;
        std::size_t bucket = 0;
        for (; bucket + 1 < bucketCount; ++bucket) {
            left -= static_cast<double>(d.counts[bucket]);
            if (left < 0.0) {
                break;
            }
        }
        return bucket;
    }

    std::map<service_id, distribution> m_services;
};

} // namespace damaskward
