/// \file
/// \brief After which time the caller of a refused request is asked to return. Without I/O.

#pragma once

#include "../Core/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace damaskward {

/// What the Retry-After of a refused request depends on.
struct retry_delay_query
{
    milliseconds drain{0}; ///< after this time, what refused the request has free capacity
    int priority = 0; ///< 0 is the most urgent
    /// The caller's remaining time, if it has stated one.
    std::optional<milliseconds> remaining{};
    milliseconds expectedAnswerTime{0}; ///< how long the answer to the returning request takes
};

/// \param random between 0 and 1
/// \returns the drain time plus up to half of it, so that callers refused together do not return
/// together. A less urgent request gets a longer time. The result is at most a third of the
/// caller's remaining time, since callers wait no longer, and leaves the time for an answer.
inline milliseconds retryDelay(const retry_delay_query &query, double random)
{
    constexpr double maxJitter = 0.5;
    /// Each step of priority prolongs the time by this part of it, up to maxSteps of them. So
    /// urgent callers find the capacity that has become free before the others return.
    constexpr double partPerStep = 0.25;
    constexpr int maxSteps = 4;
    const double steps = std::clamp(query.priority, 0, maxSteps);
    const double jitter = 1.0 + maxJitter * random;
    double millis = static_cast<double>(query.drain.count()) * (1.0 + partPerStep * steps);
    if (query.remaining) {
        const milliseconds spare = *query.remaining - query.expectedAnswerTime;
        const milliseconds latest =
            std::max(milliseconds(0), std::min(*query.remaining / 3, spare));
        // The jitter must not exceed the limit, but callers at the limit need it as well.
        millis = std::min(millis, static_cast<double>(latest.count()) / (1.0 + maxJitter));
    }
    return milliseconds(static_cast<std::int64_t>(millis * jitter));
}

} // namespace damaskward
