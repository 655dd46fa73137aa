/// \file
/// \brief Renews this VM's session and computes until when the VM may act.

#pragma once

#include "events.h"
#include "ownership_config.h"
#include "platform_route.h"
#include "table_replica.h"
#include "transaction_slot.h"
#include "vote_record.h"

#include <map>
#include <optional>

namespace damaskward {

/// \class session_manager
/// \brief Maintains this VM's session, the lease under which it may hold roles.
///
/// The session is renewed by rewriting the VM's session row in the platform's table. While the
/// platform is unreachable, the VM can stay in *holdover*: it keeps acting because a quorum of the
/// voters listed in its session row has promised not to help declare the session expired.
///
/// The VM may act as a gate or as the owner of a token bucket only until its authority deadline.
/// The deadline follows from the last renewal that is known to be applied, counted from when the
/// renewal was *sent*, or from a quorum of promises, counted from when they were *requested*.
/// An observer counts the full session time from when it received the renewal, so it never
/// considers a session expired before the holder has stopped acting.
///
/// \code
/// session_manager session(config, route);
/// session.step(replica, rulesVersion, nextId, now, actions);
/// if (session.hasAuthority(now)) { ... }
/// \endcode
/// \sa vote_record, expiration_manager
class session_manager
{
public:
    session_manager(const ownership_config &config, platform_route &route);

    /// Starts the operations that are due: creating or renewing the session row and requesting
    /// promises from the voters.
    void step(const table_replica &replica, std::uint64_t rulesVersion, operation_id &nextId,
              time_point now, action_list &actions);
    /// Handles the result of a transaction.
    /// \returns false if this object did not start the transaction.
    bool handle(const commit_done &event, time_point now);
    /// Handles a voter's answer to a request for a promise.
    void handle(const hold_answered &event, time_point now);
    /// Ends the session: its row is marked as ended as soon as possible and never renewed again.
    void requestEnd() { m_endRequested = true; }

    /// \returns whether the session row is known to be marked as ended.
    bool hasEnded() const { return m_hasEnded; }
    /// \returns the term of this incarnation, or 0 while it has no session.
    std::uint64_t term() const { return m_applied ? m_applied->row.term : 0; }
    /// \returns the authority deadline; a time in the past when the VM may not act.
    time_point authority() const;
    bool hasAuthority(time_point now) const { return term() != 0 && now < authority(); }
    /// \returns whether the VM may act only because of promises, its renewal being too old.
    bool inHoldover(time_point now) const { return hasAuthority(now) && now >= m_tableAuthority; }

private:
    struct written_row
    {
        session_row row;
        row_version version = 0;
    };
    struct pending_row
    {
        session_row row;
        row_version base = 0; ///< the version that it replaces
        time_point firstSentAt;
    };
    struct promise
    {
        time_point until;
        std::uint64_t voterTerm = 0;
    };
    struct promise_request
    {
        vm_id voter;
        time_point sentAt;
    };

    void reconcileWith(const table_replica &replica);
    void prepareFirstRow(const table_replica &replica);
    void prepareRenewal(const table_replica &replica, std::uint64_t rulesVersion);
    void sendPending(operation_id &nextId, time_point now, action_list &actions);
    bool isPending(const seen_row<session_row> &seen) const;
    void requestPromises(operation_id &nextId, time_point now, action_list &actions);
    void confirmRow(const written_row &row, time_point sentAt);
    void discardSession();
    void onCompleted(const transaction_slot::finished &done, time_point now);
    std::vector<voter> currentVoters(const table_replica &replica, std::uint64_t ownTerm) const;
    time_point promisedUntil(const std::vector<voter> &voters) const;

    ownership_config m_config;
    platform_route &m_route;
    transaction_slot m_slot;
    std::optional<written_row>
        m_applied; ///< this incarnation's last row that is known to be applied
    std::optional<pending_row> m_pending; ///< to be sent, or sent with an unknown outcome
    time_point m_tableAuthority{};
    time_point m_renewAt{};
    time_point m_requestPromisesAt{};
    std::map<vm_id, promise> m_promises;
    std::map<operation_id, promise_request> m_promiseRequests;
    bool m_endRequested = false;
    bool m_hasEnded = false;
};

} // namespace damaskward
