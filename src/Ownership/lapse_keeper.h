/// \file
/// \brief Declares the sessions of lost VMs lapsed.

#pragma once

#include "events.h"
#include "ownership_config.h"
#include "platform_route.h"
#include "table_lane.h"
#include "table_mirror.h"
#include "vote_book.h"

#include <map>
#include <set>

namespace damaskward {

/// \class lapse_keeper
/// \brief Watches the sessions of one data centre and declares the silent ones lapsed.
///
/// A session may be declared lapsed when its row has not changed for the session time on this
/// VM's clock *and* a quorum of the voters that the row itself names has approved. The transaction
/// checks the row's version, so a renewal that comes first wins.
///
/// A process that was started again declares its own former session lapsed without votes: its
/// former self is gone, and what that could still do has a deadline that this process waits for.
class lapse_keeper
{
public:
    lapse_keeper(const ownership_config &config, platform_route &route, vote_book &votes);

    /// \returns whether this process has run for longer than any promise or session lasts.
    bool outlastsFormer(time_point now) const;

    /// Asks for votes and writes lapses.
    /// \param ownTerm this VM's session term, 0 when it has none
    void step(const table_mirror &mirror, std::uint64_t ownTerm, operation_id &nextId,
              time_point now, action_list &actions);
    /// \returns whether the answer was this keeper's; then the table should be read at once.
    bool handle(const commit_done &event, table_mirror &mirror, time_point now)
    {
        return m_lane.settle(event, mirror, now);
    }
    void handle(const vote_answered &event);

private:
    struct suspicion
    {
        row_version version = 0;
        std::set<vm_id> approvals;
        time_point askAt{};
    };
    struct asked_vote
    {
        vm_id suspect;
        voter asked;
        row_version version = 0;
    };

    bool isSuspect(const vm_id &vm, const seen_row<session_row> &seen, std::uint64_t ownTerm,
                   time_point now) const;
    void askVotes(const vm_id &suspect, const seen_row<session_row> &seen, std::uint64_t ownTerm,
                  suspicion &about, operation_id &nextId, time_point now, action_list &actions);
    std::size_t countApprovals(const seen_row<session_row> &seen, const suspicion &about,
                               const table_mirror &mirror, time_point now) const;
    void declare(const vm_id &suspect, const seen_row<session_row> &seen, operation_id &nextId,
                 time_point now, action_list &actions);

    ownership_config m_config;
    platform_route &m_route;
    vote_book &m_votes;
    table_lane m_lane;
    std::optional<time_point> m_startedAt;
    std::map<vm_id, suspicion> m_suspicions;
    std::map<operation_id, asked_vote> m_asked;
};

} // namespace damaskward
