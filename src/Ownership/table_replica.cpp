#include "table_replica.h"

#include <algorithm>

namespace damaskward {
namespace internal {

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

template <typename Map>
const typename Map::mapped_type *find(const Map &map, const typename Map::key_type &key)
{
    const auto it = map.find(key);
    return it == map.end() ? nullptr : &it->second;
}

/// Replaces the stored row if \a row was decoded and \a version is higher.
/// \returns whether it was replaced.
template <typename Map, typename Row>
bool replaceIfNewer(Map &map, const typename Map::key_type &key, const std::optional<Row> &row,
                    row_version version, time_point now)
{
    auto &known = map[key];
    if (!row || known.version >= version) {
        return false;
    }
    known.row = *row;
    known.version = version;
    known.firstSeen = now;
    return true;
}

} // namespace internal

void table_replica::applySession(const table_row &row, time_point now)
{
    const vm_id vm = vmOfSession(row.name);
    const session_row before = m_sessions[vm].row;
    const bool replaced =
        internal::replaceIfNewer(m_sessions, vm, decodeSession(row.value), row.version, now);
    const session_row &after = m_sessions[vm].row;
    const bool same = before.term == after.term && before.state == after.state
        && before.controlAddress == after.controlAddress;
    m_sessionChanges += replaced && !same ? 1 : 0;
}

void table_replica::applyRow(const table_row &row, time_point now)
{
    if (row.deleted) {
        return; // The router never deletes rows of the kinds replicated here.
    }
    if (internal::startsWith(row.name, sessionPrefix)) {
        applySession(row, now);
        return;
    }
    if (internal::startsWith(row.name, rolePrefix)) {
        const bool changed =
            internal::replaceIfNewer(m_roles, row.name, decodeRole(row.value), row.version, now);
        m_roleChanges += changed ? 1 : 0;
    } else if (const std::optional<shard_id> shard = shardOfName(row.name)) {
        const bool changed =
            internal::replaceIfNewer(m_shards, *shard, decodeShard(row.value), row.version, now);
        m_shardChanges += changed ? 1 : 0;
    } else if (row.name == headName) {
        const std::optional<head_row> head = decodeHead(row.value);
        if (head && head->version > m_head.version) {
            m_head = *head;
        }
    }
}

void table_replica::apply(const table_changes &changes, time_point now)
{
    for (const table_row &row : changes.rows) {
        applyRow(row, now);
    }
    m_revision = std::max(m_revision, changes.revision);
    m_wasRead = true;
}

void table_replica::applyOwn(const table_transaction &transaction, table_revision revision,
                             time_point now)
{
    for (const table_put &put : transaction.puts) {
        applyRow({put.name, put.value, revision, put.value.empty()}, now);
    }
}

void table_replica::restartObservation(time_point now)
{
    for (auto &[vm, session] : m_sessions) {
        session.firstSeen = now;
    }
}

const seen_row<session_row> *table_replica::session(const vm_id &vm) const
{
    return internal::find(m_sessions, vm);
}

const seen_row<role_row> *table_replica::role(const std::string &rowName) const
{
    return internal::find(m_roles, rowName);
}

const seen_row<shard_row> *table_replica::shard(const shard_id &shard) const
{
    return internal::find(m_shards, shard);
}

bool table_replica::isLive(const vm_id &vm, std::uint64_t term) const
{
    const seen_row<session_row> *seen = session(vm);
    return seen != nullptr && seen->row.state == session_state::Live && seen->row.term == term;
}

} // namespace damaskward
