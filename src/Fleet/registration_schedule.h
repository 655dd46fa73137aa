/// \file
/// \brief Schedule of the writes of a VM's own row.

#pragma once

#include "../Core/time.h"
#include "../Hashing/key_hash.h"

#include <algorithm>
#include <string_view>

namespace damaskward {

/// \class registration_schedule
/// \brief Decides when a VM writes the row by which other VMs discover it: at its start, again
/// after failed attempts, and whenever the store may have lost it. Without I/O; not thread-safe.
///
/// \code
/// if (schedule.start(now))
///     commit(row, [&](bool isSuccess) { schedule.finish(isSuccess, mono_clock::now()); });
/// \endcode
class registration_schedule
{
public:
    /// The VMs spread their writes over this time after a restore of the store.
    static constexpr milliseconds spread{1000};
    static constexpr milliseconds minBackoff{250};
    static constexpr milliseconds maxBackoff{2000};

    /// \param self name of this VM
    explicit registration_schedule(std::string_view self)
        : m_delay(keyHash(self) % static_cast<std::uint64_t>(spread.count()))
    { }

    /// Records that the store was restored from an older copy, which may lack the row.
    void noteRestored(time_point now)
    {
        m_isDue = true;
        m_writeAt = std::max(m_writeAt, now + m_delay);
    }

    /// \returns whether to write the row now. If so, finish() must be called with the outcome.
    bool start(time_point now)
    {
        if (!m_isDue || m_isWriting || now < m_writeAt) {
            return false;
        }
        m_isDue = false;
        m_isWriting = true;
        return true;
    }

    /// Records the outcome of a write.
    void finish(bool isSuccess, time_point now)
    {
        m_isWriting = false;
        if (isSuccess) {
            m_backoff = milliseconds(0);
            return;
        }
        m_isDue = true;
        m_backoff = std::clamp(2 * m_backoff, minBackoff, maxBackoff);
        m_writeAt = std::max(m_writeAt, now + m_backoff);
    }

private:
    milliseconds m_delay; ///< of this VM's write after a restore
    bool m_isDue = true;
    bool m_isWriting = false;
    time_point m_writeAt{};
    milliseconds m_backoff{0}; ///< set by the last failed attempt, else 0
};

} // namespace damaskward
