/// \file
/// \brief Claims the roles assigned to this VM and hands over those assigned to other VMs.

#pragma once

#include "events.h"
#include "ownership_config.h"
#include "platform_route.h"
#include "table_replica.h"
#include "transaction_slot.h"

#include "../Hashing/rendezvous.h"

#include <map>
#include <string>
#include <vector>

namespace damaskward {

/// \class role_manager
/// \brief Decides which gate and token bucket roles of its data centre this VM should hold.
///
/// Rendezvous hashing over the live VMs assigns one VM to each role. Two VMs may see different
/// lists of live VMs; a compare-and-set of the role's row ensures that only one of them gets it.
///
/// \code
/// role_manager roles(config, route);
/// roles.step(replica, rules, ownTerm, stopping, nextId, now, actions);
/// \endcode
/// \sa gate_manager
class role_manager
{
public:
    role_manager(const ownership_config &config, platform_route &route);

    /// Claims unheld roles assigned to this VM and hands over roles assigned to other VMs.
    /// \param stopping hand over every role, since this VM is shutting down
    void step(const table_replica &replica, const rule_set &rules, std::uint64_t ownTerm,
              bool stopping, operation_id &nextId, time_point now, action_list &actions);
    /// Handles the result of a transaction.
    /// \returns false if this object did not start the transaction.
    bool handle(const commit_done &event, table_replica &replica, time_point now)
    {
        return m_slot.finishAndApply(event, replica, now);
    }

    /// \returns whether the incarnation \a ownTerm of this VM holds the role of \a row.
    bool isMine(const role_row &row, std::uint64_t ownTerm) const
    {
        return ownTerm != 0 && row.vm == m_config.self && row.sessionTerm == ownTerm;
    }
    /// \returns whether this VM claimed \a rowName at \a term from a holder whose session was
    /// declared expired. All grants of the previous holder are then guaranteed to have expired.
    bool takenFromLapsed(const std::string &rowName, std::uint64_t term) const;
    /// \returns whether a handover of the role has been sent and the row has not changed yet. The
    /// new holder counts its waiting time from when it first sees the changed row, so this VM must
    /// not grant anything once the row may have changed.
    bool isHandingOver(const std::string &rowName) const
    {
        return m_pendingHandovers.count(rowName) != 0;
    }
    /// \returns whether this VM holds no role according to the mirrored table, and no change of
    /// a role row is in flight.
    bool holdsNoRole(const table_replica &replica, std::uint64_t ownTerm) const;

private:
    std::vector<std::string> rolesOfDataCenter(const rule_set &rules) const;
    std::vector<place> liveCandidates(const table_replica &replica, bool withoutSelf) const;
    void addRoleChange(const std::string &rowName, const table_replica &replica,
                       const std::vector<place> &candidates, std::uint64_t ownTerm, bool stopping,
                       time_point now, table_transaction &transaction);
    void addHandover(const std::string &rowName, const seen_row<role_row> &seen, const vm_id &to,
                     const table_replica &replica, table_transaction &transaction);
    void eraseResolvedHandovers(const table_replica &replica);
    void addClaim(const std::string &rowName, const seen_row<role_row> *seen,
                  const table_replica &replica, std::uint64_t ownTerm,
                  table_transaction &transaction);

    ownership_config m_config;
    platform_route &m_route;
    transaction_slot m_slot;
    std::map<std::string, std::uint64_t> m_claimsFromExpired; ///< role row -> the claimed term
    std::map<std::string, time_point> m_misplacedSince; ///< own roles assigned to another VM
    std::map<std::string, row_version> m_pendingHandovers; ///< role row -> the replaced version
};

} // namespace damaskward
