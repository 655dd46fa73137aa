/// \file
/// \brief Claims the roles that fall to this VM and hands over those that no longer do.

#pragma once

#include "events.h"
#include "ownership_config.h"
#include "platform_route.h"
#include "table_lane.h"
#include "table_mirror.h"

#include "../Hashing/rendezvous.h"

#include <map>
#include <string>
#include <vector>

namespace damaskward {

/// \class role_keeper
/// \brief Decides which gate and bank roles of its data centre this VM should hold.
///
/// Rendezvous hashing over the live VMs names one VM for each role; a compare-and-set of the
/// role's row makes the choice exclusive when two VMs see different lists.
class role_keeper
{
public:
    role_keeper(const ownership_config &config, platform_route &route);

    /// Claims and hands over what is due.
    /// \param stopping hand over every role
    void step(const table_mirror &mirror, const rule_set &rules, std::uint64_t ownTerm,
              bool stopping, operation_id &nextId, time_point now, action_list &actions);
    /// \returns whether the answer was this keeper's.
    bool handle(const commit_done &event, table_mirror &mirror, time_point now)
    {
        return m_lane.settle(event, mirror, now);
    }

    /// \returns whether the incarnation \a ownTerm of this VM holds the role of \a row.
    bool isMine(const role_row &row, std::uint64_t ownTerm) const
    {
        return ownTerm != 0 && row.vm == m_config.self && row.sessionTerm == ownTerm;
    }
    /// \returns whether this VM's claim of \a rowName at \a term took it from a lapsed session:
    /// then whatever the former holder granted has surely passed its deadline.
    bool takenFromLapsed(const std::string &rowName, std::uint64_t term) const;
    /// \returns whether the role may no longer be exercised because its hand-over is under way: the
    /// successor counts its waiting time from when it sees the row, so nothing may be granted once
    /// the row may have changed.
    bool isHandingOver(const std::string &rowName) const { return m_handing.count(rowName) != 0; }
    /// \returns whether this VM holds no role any more, as far as the table says.
    bool holdsNothing(const table_mirror &mirror, std::uint64_t ownTerm) const;

private:
    std::vector<std::string> wantedRoles(const rule_set &rules) const;
    std::vector<place> livePlaces(const table_mirror &mirror, bool withoutSelf) const;
    void considerRole(const std::string &rowName, const table_mirror &mirror,
                      const std::vector<place> &places, std::uint64_t ownTerm, bool stopping,
                      time_point now, table_transaction &transaction);
    void handOver(const std::string &rowName, const seen_row<role_row> &seen, const vm_id &to,
                  const table_mirror &mirror, table_transaction &transaction);
    void forgetSettledHandovers(const table_mirror &mirror);
    void claim(const std::string &rowName, const seen_row<role_row> *seen,
               const table_mirror &mirror, std::uint64_t ownTerm, table_transaction &transaction);

    ownership_config m_config;
    platform_route &m_route;
    table_lane m_lane;
    std::map<std::string, std::uint64_t> m_fromLapsed; ///< role row -> the term claimed
    std::map<std::string, time_point> m_misplacedSince;
    std::map<std::string, row_version> m_handing; ///< role row -> the version being replaced
};

} // namespace damaskward
