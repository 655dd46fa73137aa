/// \file
/// \brief Detects requests that crash the targets they run on.

#pragma once

#include "../Core/time.h"

#include <cstdint>
#include <map>

namespace damaskward {

/// A request that has crashed this many targets is quarantined.
inline constexpr int crashesBeforeQuarantine = 2;
/// Time for which a quarantined request is refused.
inline constexpr minutes quarantineTime{10};

/// \class crash_tracker
/// \brief Counts by request fingerprint how many targets crashed while the request ran. Not
/// thread-safe.
///
/// A crash also counts for the other requests that ran on the target at the time. Their count is
/// reset when a target answers them.
///
/// \code
/// if (crashes.isQuarantined(fingerprint, now))
///     refuse();
/// \endcode
class crash_tracker
{
public:
    /// Records that a target crashed while this request ran.
    /// \returns whether the request is quarantined now.
    bool recordCrash(std::uint64_t fingerprint, time_point now)
    {
        removeExpired(now);
        entry &record = m_entries[fingerprint];
        ++record.crashes;
        record.expiresAt = now + quarantineTime;
        return record.crashes >= crashesBeforeQuarantine;
    }

    /// Records that a target answered this request, and resets its count.
    void recordAnswer(std::uint64_t fingerprint)
    {
        if (!m_entries.empty()) {
            m_entries.erase(fingerprint);
        }
    }

    /// Applies the quarantine of this request by another gate.
    void quarantine(std::uint64_t fingerprint, time_point now)
    {
        m_entries[fingerprint] = {crashesBeforeQuarantine, now + quarantineTime};
    }

    bool isQuarantined(std::uint64_t fingerprint, time_point now) const
    {
        const auto it = m_entries.find(fingerprint);
        return it != m_entries.end() && it->second.crashes >= crashesBeforeQuarantine
            && now < it->second.expiresAt;
    }

    /// \returns the number of targets that crashed while the request ran.
    int crashes(std::uint64_t fingerprint) const
    {
        const auto it = m_entries.find(fingerprint);
        return it == m_entries.end() ? 0 : it->second.crashes;
    }

private:
    struct entry
    {
        int crashes = 0;
        time_point expiresAt;
    };

    void removeExpired(time_point now)
    {
        for (auto it = m_entries.begin(); it != m_entries.end();) {
            it = it->second.expiresAt <= now ? m_entries.erase(it) : std::next(it);
        }
    }

    std::map<std::uint64_t, entry> m_entries;
};

} // namespace damaskward
