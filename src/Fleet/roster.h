/// \file
/// \brief The roster of a relay: the VMs it knows, numbered, and its changes.

#pragma once

#include "../Core/time.h"
#include "heartbeat.h"
#include "membership.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// \returns the identity of the VM that sent \a beat.
vm_identity identityOf(const heartbeat &beat);

/// \class roster
/// \brief A relay's numbered list of VMs. Recipients that know a version get only what has changed
/// since. Without I/O; not thread-safe.
///
/// Whether a VM is alive is not part of a version, as it would change with every heartbeat: an
/// update lists only the silent VMs, so its size does not depend on the size of the fleet.
///
/// \code
/// roster.refresh(members, now);
/// roster.addTo(update, recipientsVersion);
/// \endcode
/// \sa roster_copy
class roster
{
public:
    /// VMs that were heard from within this time before the newest of their data centre are not
    /// silent. It spans one lost heartbeat.
    static constexpr milliseconds silentAfter{300};
    /// Changed VMs in one update. The rest follows with the next one, so that a datagram stays
    /// short.
    static constexpr std::size_t maxChanges = 100;

    /// \param dataCenter the data centre whose VMs are listed, or nothing for the whole fleet
    explicit roster(std::optional<std::string> dataCenter = {})
        : m_dataCenter(std::move(dataCenter))
    { }

    /// Brings the list up to date.
    void refresh(const membership &members, time_point now);

    /// Adds the changes since \a base, the silent VMs and the data centres to \a update. A
    /// recipient with a version that this roster does not know gets the complete list.
    void addTo(member_update &update, std::uint64_t base) const;

    std::uint64_t version() const { return m_version; }

private:
    struct listed_vm
    {
        roster_entry entry;
        std::uint64_t changedIn = 0; ///< version of its last change
        bool isSeen = false;
    };

    void apply(const member &peer);

    std::optional<std::string> m_dataCenter;
    std::map<std::string, listed_vm> m_vms;
    std::uint64_t m_version = 1;
    std::uint32_t m_lastId = 0;
    std::vector<silent_vm> m_silent;
    std::vector<center_state> m_centers;
};

/// \class roster_copy
/// \brief A recipient's copy of the roster of one relay. Without I/O; not thread-safe.
///
/// \code
/// if (copy.apply(update))
///     copy.refresh(members, update, false, now);
/// \endcode
/// \sa roster
class roster_copy
{
public:
    /// Applies the changes of \a update.
    /// \returns false if preceding changes are missing.
    bool apply(const member_update &update);

    /// Records in \a members which VMs the relay has heard from.
    /// \param isFirstHand whether the relay is in another data centre, and reports only its own
    void refresh(membership &members, const member_update &update, bool isFirstHand,
                 time_point now);

    /// \returns the version of the copy, 0 if it is not of the given incarnation of the relay.
    std::uint64_t versionOf(std::int64_t incarnation) const
    {
        return incarnation == m_incarnation ? m_version : 0;
    }

private:
    /// A VM counts as heard from this long before the update, if it is not silent: between the
    /// newest and the oldest heartbeat that the relay has received of VMs that are not.
    static constexpr milliseconds usualAge{250};

    struct listed_vm
    {
        vm_identity identity;
        member *peer = nullptr; ///< valid while m_revision is that of the membership
        std::size_t center = 0; ///< index in m_centers
    };

    void findPeers(membership &members);
    std::size_t centerIndex(const std::string &name);

    std::int64_t m_incarnation = 0; ///< of the relay
    std::uint64_t m_version = 0;
    std::map<std::uint32_t, listed_vm> m_vms;
    std::vector<std::string> m_centers;
    std::uint64_t m_revision = 0; ///< of the membership that the members belong to
};

} // namespace damaskward
