/// \file
/// \brief Estimates how long a target needs to answer a request, from its load and its measured
/// service times. Without I/O.

#pragma once

#include "../Core/time.h"
#include "service_times.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace damaskward {

/// The load of a target, as known when a request would be sent to it.
struct target_load
{
    double requests = 0.0; ///< running and waiting ones
    int slots = 1;
    double slowdown = 1.0; ///< current service time relative to the usual one
};

/// \returns how many requests must complete before a new one starts.
inline double requestsAhead(const target_load &load)
{
    return std::max(0.0, load.requests - load.slots + 1.0);
}

inline milliseconds toWholeMillis(double millis)
{
    return milliseconds(static_cast<std::int64_t>(millis));
}

/// \returns the time in which a target is expected to work off the requests that wait, so that a
/// new one would start at once.
inline milliseconds expectedWait(const service_time_profile &profile, const target_load &load)
{
    return toWholeMillis(requestsAhead(load) / load.slots * profile.targetMeanMillis
                         * load.slowdown);
}

/// \returns a time in which the target almost certainly does not answer a new request. It refuses a
/// request that would have been served far less often than it accepts one that is not.
///
/// The wait for n completions varies by about 1/sqrt(n) of its mean, as service times vary by about
/// their mean. The lower bound assumes the faster one of target and service, and that a slowdown
/// ends at once.
inline milliseconds shortestAnswerTime(const service_time_profile &profile, const target_load &load)
{
    /// Deviations from the mean that 1 % of waits exceed downwards.
    constexpr double deviations = 2.33;
    const double ahead = requestsAhead(load);
    const double mean = std::min(profile.meanMillis, profile.targetMeanMillis);
    const double wait = ahead > 0.0
        ? ahead / load.slots * mean * std::max(0.0, 1.0 - deviations / std::sqrt(ahead))
        : 0.0;
    return toWholeMillis(wait + profile.shortestMillis);
}

/// \returns a time in which the target answers most requests; 0 if it is not known.
inline milliseconds longestUsualAnswerTime(const service_time_profile &profile,
                                           const target_load &load)
{
    return profile.highMillis > 0.0
        ? expectedWait(profile, load) + toWholeMillis(profile.highMillis * load.slowdown)
        : milliseconds(0);
}

} // namespace damaskward
