/// \file
/// \brief One VM's copy of the rows that concern ownership.

#pragma once

#include "../Core/time.h"
#include "../Table/rows.h"
#include "../Table/table.h"

#include <map>
#include <string>

namespace damaskward {

/// A row with its version and the time at which this VM first saw that version.
/// \tparam Row the decoded row
template <typename Row>
struct seen_row
{
    Row row;
    row_version version = 0;
    time_point firstSeen{}; ///< on this VM's clock
};

/// \class table_mirror
/// \brief The session, role and shard rows as this VM last saw them.
///
/// Answers may arrive late and out of order; a row is only ever replaced by a higher version.
///
/// \code
/// table_mirror mirror;
/// mirror.apply(changes, now);
/// if (const auto *session = mirror.session(vm_id("vm-1"))) { ... }
/// \endcode
class table_mirror
{
public:
    /// Takes in the answer to a read.
    void apply(const table_changes &changes, time_point now);
    /// Takes in this VM's own transaction once it is known to be applied at \a revision.
    void applyOwn(const table_transaction &transaction, table_revision revision, time_point now);
    /// Forgets how long sessions have been unchanged, as after a time without the table:
    /// their VMs could not renew either.
    void restartObservation(time_point now);

    /// \returns whether the table has been read at all; an empty table has revision 0.
    bool wasRead() const { return m_wasRead; }
    /// \returns the revision up to which every change is known.
    table_revision revision() const { return m_revision; }
    /// \returns the version of the rules that the table names; version 0 when it names none.
    const head_row &head() const { return m_head; }

    const seen_row<session_row> *session(const vm_id &vm) const;
    const seen_row<role_row> *role(const std::string &rowName) const;
    const seen_row<shard_row> *shard(const shard_id &shard) const;

    const std::map<vm_id, seen_row<session_row>> &sessions() const { return m_sessions; }
    const std::map<std::string, seen_row<role_row>> &roles() const { return m_roles; }
    const std::map<shard_id, seen_row<shard_row>> &shards() const { return m_shards; }

    /// \returns whether the incarnation \a term of \a vm is live as far as the table says.
    bool isLive(const vm_id &vm, std::uint64_t term) const;
    /// \returns a number that changes whenever a session begins, ends or moves; not when it is
    /// renewed.
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
