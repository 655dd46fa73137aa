/// \file
/// \brief Declares the sessions of failed VMs expired.

#pragma once

#include "events.h"
#include "ownership_config.h"
#include "platform_route.h"
#include "table_replica.h"
#include "transaction_slot.h"
#include "vote_record.h"

#include <map>
#include <set>

namespace damaskward {

/// \class expiration_manager
/// \brief Watches the sessions of one data centre and declares expired those not renewed in time.
///
/// A session may be declared expired when its row has not changed for the session time on this
/// VM's clock *and* a quorum of the voters listed in the row has approved. The transaction checks
/// the row's version, so a renewal that is applied first wins.
///
/// A restarted process declares the session of its previous incarnation expired without votes. That
/// incarnation has terminated, and this process first waits until every promise and session of
/// that incarnation has expired.
///
/// \code
/// expiration_manager expirations(config, route, votes);
/// expirations.step(replica, ownTerm, nextId, now, actions);
/// \endcode
/// \sa vote_record, session_manager
class expiration_manager
{
public:
    expiration_manager(const ownership_config &config, platform_route &route, vote_record &votes);

    /// \returns whether this process has run for longer than any promise or session lasts, so that
    /// those of its previous incarnations have expired.
    bool outlivesPreviousIncarnations(time_point now) const;

    /// Requests votes about sessions not renewed in time and declares them expired.
    /// \param ownTerm this VM's session term, 0 when it has none
    void step(const table_replica &replica, std::uint64_t ownTerm, operation_id &nextId,
              time_point now, action_list &actions);
    /// Handles the result of a transaction.
    /// \returns false if this object did not start the transaction.
    bool handle(const commit_done &event, table_replica &replica, time_point now)
    {
        return m_slot.finishAndApply(event, replica, now);
    }
    /// Handles a voter's answer to a vote request.
    void handle(const vote_answered &event);

private:
    struct suspicion
    {
        row_version version = 0; ///< of the suspect's session row
        std::set<vm_id> approvals;
        time_point requestAt{};
    };
    struct pending_vote
    {
        vm_id suspect;
        voter recipient;
        row_version version = 0;
    };

    bool isSuspect(const vm_id &vm, const seen_row<session_row> &seen, std::uint64_t ownTerm,
                   time_point now) const;
    void requestVotes(const vm_id &suspect, const seen_row<session_row> &seen,
                      std::uint64_t ownTerm, suspicion &votes, operation_id &nextId, time_point now,
                      action_list &actions);
    std::size_t countApprovals(const seen_row<session_row> &seen, const suspicion &votes,
                               const table_replica &replica, time_point now) const;
    void declareExpired(const vm_id &suspect, const seen_row<session_row> &seen,
                        operation_id &nextId, time_point now, action_list &actions);

    ownership_config m_config;
    platform_route &m_route;
    vote_record &m_votes;
    transaction_slot m_slot;
    std::optional<time_point> m_startedAt;
    std::map<vm_id, suspicion> m_suspicions;
    std::map<operation_id, pending_vote> m_pendingVotes;
};

} // namespace damaskward
