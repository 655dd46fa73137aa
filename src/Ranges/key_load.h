/// \file
/// \brief How often each key of a service was requested recently.

#pragma once

#include "../Core/time.h"
#include "range_map.h"

#include <cmath>
#include <vector>

namespace damaskward {

/// \class key_load
/// \brief One exponentially decaying request counter per key. Not thread-safe.
///
/// The stored counters are scaled by a factor that grows with time. So the decay needs no update of
/// the counters, except for a rare rescaling.
///
/// \code
/// key_load load(now);
/// load.add(4711, now);
/// double recentRequests = load.of({4000, 5000}, now);
/// \endcode
class key_load
{
public:
    explicit key_load(time_point now)
        : m_scaledCounts(keyCount, 0.0F)
        , m_scaleStartAt(now)
    { }

    /// Counts one request for \a key.
    void add(shard_key key, time_point now)
    {
        m_scaledCounts[key] += static_cast<float>(scale(now));
        constexpr double maxScale = 1e6;
        if (scale(now) > maxScale) {
            const auto factor = static_cast<float>(1.0 / scale(now));
            for (float &count : m_scaledCounts) {
                count *= factor;
            }
            m_scaleStartAt = now;
        }
    }

    /// \returns the number of requests for \a keys in the last few seconds; older ones count less.
    double of(key_range keys, time_point now) const
    {
        double sum = 0.0;
        for (int key = keys.first; key <= keys.last; ++key) {
            sum += m_scaledCounts[static_cast<std::size_t>(key)];
        }
        return sum / scale(now);
    }

    /// \returns the number of requests for \a key, weighted as in of().
    double ofKey(shard_key key, time_point now) const { return m_scaledCounts[key] / scale(now); }

    /// Time constant of the decay: long enough to cover some hundred requests, short enough to
    /// follow a moving range of hot keys.
    static constexpr double decaySeconds = 5.0;

private:
    double scale(time_point now) const
    {
        return std::exp(std::chrono::duration<double>(now - m_scaleStartAt).count() / decaySeconds);
    }

    std::vector<float> m_scaledCounts;
    time_point m_scaleStartAt;
};

} // namespace damaskward
