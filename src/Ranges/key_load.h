/// \file
/// \brief How often each key of a service was asked for lately.

#pragma once

#include "../Core/time.h"
#include "range_map.h"

#include <cmath>
#include <vector>

namespace damaskward {

/// \class key_load
/// \brief One exponentially decaying counter a key. Not thread-safe.
///
/// Counters are kept relative to a growing unit, so that time passing costs nothing.
///
/// \code
/// key_load load(now);
/// load.add(4711, now);
/// double lately = load.of({4000, 5000}, now);
/// \endcode
class key_load
{
public:
    explicit key_load(time_point now)
        : m_counts(keyCount, 0.0F)
        , m_unitAt(now)
    { }

    /// Counts one request for \a key.
    void add(shard_key key, time_point now)
    {
        m_counts[key] += static_cast<float>(growth(now));
        constexpr double rescaleAt = 1e6;
        if (growth(now) > rescaleAt) {
            const auto factor = static_cast<float>(1.0 / growth(now));
            for (float &count : m_counts) {
                count *= factor;
            }
            m_unitAt = now;
        }
    }

    /// \returns the requests for \a keys in the last few seconds, older ones counting less.
    double of(key_range keys, time_point now) const
    {
        double sum = 0.0;
        for (int key = keys.first; key <= keys.last; ++key) {
            sum += m_counts[static_cast<std::size_t>(key)];
        }
        return sum / growth(now);
    }

    /// \returns the requests for one key, as of() does.
    double ofKey(shard_key key, time_point now) const { return m_counts[key] / growth(now); }

    /// Requests older than a few of these no longer count: long enough for some hundred requests,
    /// short enough to follow a run of hot keys.
    static constexpr double decaySeconds = 5.0;

private:
    double growth(time_point now) const
    {
        return std::exp(std::chrono::duration<double>(now - m_unitAt).count() / decaySeconds);
    }

    std::vector<float> m_counts;
    time_point m_unitAt;
};

} // namespace damaskward
