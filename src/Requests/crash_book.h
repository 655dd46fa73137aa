/// \file
/// \brief Finds the request that crashes each target it runs on.

#pragma once

#include "../Core/time.h"

#include <cstdint>
#include <map>

namespace damaskward {

/// How many targets a request may crash before it is refused.
inline constexpr int crashesBeforeQuarantine = 2;
/// How long a quarantined request is refused.
inline constexpr minutes quarantineTime{10};

/// \class crash_book
/// \brief Counts, by fingerprint, the targets that died while a request ran on them.
///
/// Requests that merely ran beside the culprit are counted too; a served answer clears them.
/// Not thread-safe.
///
/// \code
/// if (book.isQuarantined(fingerprint, now))
///     refuse();
/// \endcode
class crash_book
{
public:
    /// A target died while this request ran. \returns whether it is quarantined from now on.
    bool noteCrash(std::uint64_t fingerprint, time_point now)
    {
        forgetOld(now);
        entry &e = m_entries[fingerprint];
        ++e.crashes;
        e.forgetAt = now + quarantineTime;
        return e.crashes >= crashesBeforeQuarantine;
    }

    /// A target answered this request.
    void noteServed(std::uint64_t fingerprint)
    {
        if (!m_entries.empty()) {
            m_entries.erase(fingerprint);
        }
    }

    /// Another gate has quarantined this request.
    void quarantine(std::uint64_t fingerprint, time_point now)
    {
        m_entries[fingerprint] = {crashesBeforeQuarantine, now + quarantineTime};
    }

    bool isQuarantined(std::uint64_t fingerprint, time_point now) const
    {
        const auto it = m_entries.find(fingerprint);
        return it != m_entries.end() && it->second.crashes >= crashesBeforeQuarantine
            && now < it->second.forgetAt;
    }

    /// \returns how often the request has crashed a target.
    int crashes(std::uint64_t fingerprint) const
    {
        const auto it = m_entries.find(fingerprint);
        return it == m_entries.end() ? 0 : it->second.crashes;
    }

private:
    struct entry
    {
        int crashes = 0;
        time_point forgetAt;
    };

    void forgetOld(time_point now)
    {
        for (auto it = m_entries.begin(); it != m_entries.end();) {
            it = it->second.forgetAt <= now ? m_entries.erase(it) : std::next(it);
        }
    }

    std::map<std::uint64_t, entry> m_entries;
};

} // namespace damaskward
