/// \file
/// \brief What this VM has promised to others, and what it may no longer promise.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "../Table/table.h"

#include <cstddef>
#include <map>

namespace damaskward {

/// \returns how many voters must promise before a VM may hold over without the platform.
///
/// A lone VM never may: nobody could tell a newcomer whether it still runs.
constexpr std::size_t promiseQuorum(std::size_t voters)
{
    return voters / 2 + 1 + (voters == 1 ? 1 : 0);
}

/// \returns how many voters must approve before a session may be declared lapsed.
///
/// Together with \ref promiseQuorum() more than all, so each pair of quorums shares a voter,
/// and that voter has either promised or approved, never both.
constexpr std::size_t lapseQuorum(std::size_t voters)
{
    return voters + 1 - promiseQuorum(voters);
}

/// \class vote_book
/// \brief One VM's promises and approvals about the other VMs of its data centre.
///
/// A promise protects a VM until a deadline on this VM's clock. An approval is for one version of
/// the suspect's session row and stands for ever: the row must change, through the platform,
/// before the suspect can be promised anything again.
///
/// \code
/// vote_book book;
/// if (book.tryPromise(peer, version, now + milliseconds(1000))) { ... }
/// \endcode
class vote_book
{
public:
    /// Promises not to approve a lapse of \a vm until \a deadline.
    /// \param version the asker's session row version
    /// \returns false when a lapse at that version has been approved.
    bool tryPromise(const vm_id &vm, row_version version, time_point deadline)
    {
        const auto denied = m_denied.find(vm);
        if (denied != m_denied.end() && denied->second >= version) {
            return false;
        }
        time_point &until = m_promisedUntil[vm];
        until = until < deadline ? deadline : until;
        return true;
    }

    /// Approves the lapse of \a vm at \a version of its session row.
    /// \returns false while a promise to it is outstanding.
    bool tryApprove(const vm_id &vm, row_version version, time_point now)
    {
        const auto promised = m_promisedUntil.find(vm);
        if (promised != m_promisedUntil.end() && now <= promised->second) {
            return false;
        }
        row_version &denied = m_denied[vm];
        denied = denied < version ? version : denied;
        return true;
    }

private:
    std::map<vm_id, time_point> m_promisedUntil;
    std::map<vm_id, row_version> m_denied;
};

} // namespace damaskward
