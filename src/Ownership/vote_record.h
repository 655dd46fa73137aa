/// \file
/// \brief One VM's promises and approvals as a voter on the sessions of other VMs.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "../Table/table.h"

#include <cstddef>
#include <map>

namespace damaskward {

/// \returns how many voters must promise before a VM may stay in holdover, that is, act while the
/// platform is unreachable. The VM itself counts as one of them.
///
/// With a single voter the quorum is 2, so holdover is impossible: no other VM could tell a new VM
/// that this one is still running.
constexpr std::size_t promiseQuorum(std::size_t voters)
{
    return voters / 2 + 1 + (voters == 1 ? 1 : 0);
}

/// \returns how many voters must approve before a session may be declared expired.
///
/// This quorum and \ref promiseQuorum() add up to more than all voters, so any two such quorums
/// share a voter, and a voter never both promises and approves.
constexpr std::size_t expirationQuorum(std::size_t voters)
{
    return voters + 1 - promiseQuorum(voters);
}

/// \class vote_record
/// \brief Records the promises and approvals that one VM has given as a voter.
///
/// A promise protects the session of another VM in the data centre until a deadline on this VM's
/// clock. An approval to declare a session expired applies to one version of the session row and
/// is never withdrawn: the row must change, through the platform, before its VM can get another
/// promise.
///
/// \code
/// vote_record votes;
/// if (votes.tryPromise(peer, version, now + milliseconds(1000))) { ... }
/// \endcode
class vote_record
{
public:
    /// Promises not to approve, until \a deadline, that the session of \a vm is declared expired.
    /// \param version the version of the session row of \a vm
    /// \returns false, giving no promise, if that was approved for this version or a later one.
    bool tryPromise(const vm_id &vm, row_version version, time_point deadline)
    {
        const auto approved = m_approvedVersions.find(vm);
        if (approved != m_approvedVersions.end() && approved->second >= version) {
            return false;
        }
        time_point &until = m_promisedUntil[vm];
        until = until < deadline ? deadline : until;
        return true;
    }

    /// Approves that the session of \a vm is declared expired.
    /// \param version the version of its session row
    /// \returns false, giving no approval, while a promise to \a vm is in force.
    bool tryApprove(const vm_id &vm, row_version version, time_point now)
    {
        const auto found = m_promisedUntil.find(vm);
        if (found != m_promisedUntil.end() && now <= found->second) {
            return false;
        }
        row_version &approved = m_approvedVersions[vm];
        approved = approved < version ? version : approved;
        return true;
    }

private:
    std::map<vm_id, time_point> m_promisedUntil;
    std::map<vm_id, row_version> m_approvedVersions;
};

} // namespace damaskward
