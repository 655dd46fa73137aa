/// \file
/// \brief One VM's copy of the table rows about ownership.

#pragma once

#include "../Core/time.h"
#include "../Table/rows.h"
#include "../Table/table.h"

#include <map>
#include <string>

namespace damaskward {

/// A row with its version and the time at which this VM first received that version.
/// \tparam Row the decoded row
template <typename Row>
struct seen_row
{
    Row row;
    row_version version = 0;
    time_point firstSeen{}; ///< on this VM's clock
};

/// \class table_replica
/// \brief A replica of the session, role and shard rows and of the head row.
///
/// Answers may arrive late and out of order, so a row is replaced only by a higher version.
///
/// \code
/// table_replica replica;
/// replica.apply(changes, now);
/// if (const auto *session = replica.session(vm_id("vm-1"))) { ... }
/// \endcode
class table_replica
{
public:
    /// Applies the result of a read.
    void apply(const table_changes &changes, time_point now);
    /// Applies a transaction of this VM that the table has applied at \a revision.
    void applyOwn(const table_transaction &transaction, table_revision revision, time_point now);
    /// Restarts the time for which each session has been unchanged. Used after an outage of the
    /// table, during which other VMs may not have been able to renew their sessions either.
    void restartObservation(time_point now);

    /// \returns whether the table has been read. The revision does not tell, since an empty table
    /// has revision 0.
    bool wasRead() const { return m_wasRead; }
    /// \returns the revision up to which all changes have been applied.
    table_revision revision() const { return m_revision; }
    /// \returns the version of the rules in force according to the table; version 0 if there is
    /// none.
    const head_row &head() const { return m_head; }

    const seen_row<session_row> *session(const vm_id &vm) const;
    const seen_row<role_row> *role(const std::string &rowName) const;
    const seen_row<shard_row> *shard(const shard_id &shard) const;

    const std::map<vm_id, seen_row<session_row>> &sessions() const { return m_sessions; }
    const std::map<std::string, seen_row<role_row>> &roles() const { return m_roles; }
    const std::map<shard_id, seen_row<shard_row>> &shards() const { return m_shards; }

    /// \returns whether the session of the incarnation \a term of \a vm is live in this replica.
    bool isLive(const vm_id &vm, std::uint64_t term) const;
    /// \returns a number that changes whenever a session begins, ends or changes its control
    /// address, but not when it is renewed.
    std::uint64_t sessionChanges() const { return m_sessionChanges; }
    /// \returns a number that changes whenever a role row changes.
    std::uint64_t roleChanges() const { return m_roleChanges; }
    /// \returns a number that changes whenever a shard row changes.
    std::uint64_t shardChanges() const { return m_shardChanges; }

private:
    void applyRow(const table_row &row, time_point now);
    void applySession(const table_row &row, time_point now);

    bool m_wasRead = false;
    table_revision m_revision = 0;
    head_row m_head;
    std::uint64_t m_sessionChanges = 0;
    std::uint64_t m_roleChanges = 0;
    std::uint64_t m_shardChanges = 0;
    std::map<vm_id, seen_row<session_row>> m_sessions;
    std::map<std::string, seen_row<role_row>> m_roles;
    std::map<shard_id, seen_row<shard_row>> m_shards;
};

} // namespace damaskward
