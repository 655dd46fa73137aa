/// \file
/// \brief Keeps this VM's session row, and knows until when the VM may act.

#pragma once

#include "events.h"
#include "ownership_config.h"
#include "platform_route.h"
#include "table_lane.h"
#include "table_mirror.h"
#include "vote_book.h"

#include <map>
#include <optional>

namespace damaskward {

/// \class session_keeper
/// \brief One VM's lease on its own roles: renewed in the table, or held over by its peers.
///
/// The authority deadline is the only thing that lets a VM act as a gate or a bank. It comes from
/// the last renewal that is known to be applied, counted from when that renewal was *sent*, or
/// from a quorum of promises, counted from when they were *asked for*. An observer counts the
/// full session time from when it saw the renewal, so it always lapses later than the holder
/// stops.
///
/// \sa vote_book, lapse_keeper
class session_keeper
{
public:
    session_keeper(const ownership_config &config, platform_route &route);

    /// Starts what is due: a first session, a renewal, requests for promises.
    void step(const table_mirror &mirror, std::uint64_t rulesVersion, operation_id &nextId,
              time_point now, action_list &actions);
    /// Takes the answer to a renewal. \returns whether it was this keeper's.
    bool handle(const commit_done &event, time_point now);
    /// Takes a peer's answer to a request for a promise.
    void handle(const hold_answered &event, time_point now);
    /// Writes the session's end as soon as that is possible, and never renews again.
    void end() { m_ending = true; }

    /// \returns whether the session's end is written.
    bool ended() const { return m_ended; }
    /// \returns the incarnation's term, or 0 before the first session.
    std::uint64_t term() const { return m_applied ? m_applied->row.term : 0; }
    /// \returns until when this VM may act; a point in the past when it may not.
    time_point authority() const;
    bool hasAuthority(time_point now) const { return term() != 0 && now < authority(); }
    /// \returns whether the VM acts on its peers' promises alone.
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
        row_version base = 0; ///< the version it replaces
        time_point firstSentAt;
    };
    struct promise
    {
        time_point until;
        std::uint64_t voterTerm = 0;
    };
    struct asked_promise
    {
        vm_id voter;
        time_point sentAt;
    };

    void learnFrom(const table_mirror &mirror);
    void begin(const table_mirror &mirror);
    void renew(const table_mirror &mirror, std::uint64_t rulesVersion);
    void sendPending(operation_id &nextId, time_point now, action_list &actions);
    bool isPending(const seen_row<session_row> &seen) const;
    void askPromises(operation_id &nextId, time_point now, action_list &actions);
    void settle(const written_row &row, time_point sentAt);
    void loseSession();
    void finish(const table_lane::ended &done, time_point now);
    std::vector<voter> currentVoters(const table_mirror &mirror, std::uint64_t ownTerm) const;
    time_point heldBy(const std::vector<voter> &voters) const;

    ownership_config m_config;
    platform_route &m_route;
    table_lane m_lane;
    std::optional<written_row> m_applied; ///< the last row of this incarnation known to be written
    std::optional<pending_row> m_pending; ///< sent, its outcome not yet known
    time_point m_tableAuthority{};
    time_point m_renewAt{};
    time_point m_askAt{};
    std::map<vm_id, promise> m_promises;
    std::map<operation_id, asked_promise> m_asked;
    bool m_ending = false;
    bool m_ended = false;
};

} // namespace damaskward
