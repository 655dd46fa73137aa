/// \file
/// \brief How old a VM's copy of the registry is, and when it has to read the store itself.

#pragma once

#include "../Core/time.h"

#include <algorithm>

namespace damaskward {

/// \class registry_age
/// \brief The age of one VM's copy of the registry, whoever has read it. Without I/O; not
/// thread-safe.
///
/// A draining target may get no new work after the operators' drain time, so no copy may be older
/// than that. One VM of a data centre reads for all. It may be cut off from the store without
/// noticing, and so may those that would take over from it. Each VM therefore measures the age of
/// its own copy, and reads the store itself if the copy is outdated. The VMs begin one after the
/// other, in groups whose size doubles: a few reads if one VM is cut off, and all VMs have tried in
/// good time if many are.
///
/// \code
/// age.recordRead(beat.receivedAt - beat.age);
/// if (now >= age.readsItselfAt(rank))
///     readStore();
/// \endcode
/// \sa docs/design/registry-age.md
class registry_age
{
public:
    /// \param drainTime the operators' bound on new work for a draining target
    explicit registry_age(milliseconds drainTime)
        : m_drainTime(drainTime)
    { }

    /// Records that the VM has what the store contained at \a at. Earlier reads have no effect.
    /// \param at when the store was asked for it
    void recordRead(time_point at) { m_readAt = std::max(m_readAt, at); }
    /// \returns when the store was asked for what this VM has, empty before the first read.
    time_point readAt() const { return m_readAt; }
    /// \returns the age of the copy, 0 before the first read.
    milliseconds ageAt(time_point now) const
    {
        return m_readAt == time_point{} ? milliseconds(0) : milliseconds(toMillis(now - m_readAt));
    }

    /// \returns the age from which a copy is outdated.
    milliseconds maxAge() const { return m_drainTime / 2; }

    /// \param rank number of VMs of the data centre that are asked before this one
    /// \returns when this VM reads the store itself, unless it gets a newer copy before; the latest
    /// time if it has no copy yet.
    time_point readsItselfAt(int rank) const
    {
        return m_readAt == time_point{} ? time_point::max()
                                        : m_readAt + maxAge() + groupOf(rank) * groupInterval();
    }

private:
    /// All VMs have begun after three quarters of the time that is left, whatever their number.
    static constexpr int maxGroup = 6;
    milliseconds groupInterval() const { return m_drainTime / 2 * 3 / 4 / maxGroup; }

    /// \returns 0 for the first VM, 1 for the next two, 2 for the next four, and so on.
    static int groupOf(int rank)
    {
        int group = 0;
        while (group < maxGroup && rank + 1 >= 2 << group) {
            ++group;
        }
        return group;
    }

    milliseconds m_drainTime;
    time_point m_readAt{};
};

} // namespace damaskward
