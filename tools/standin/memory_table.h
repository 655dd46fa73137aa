/// \file
/// \brief An in-memory transactional table for the platform stand-in and the tests.

#pragma once

#include "damaskward/Table"

#include <map>
#include <string>
#include <vector>

namespace damaskward {
namespace standin {

/// \class memory_table
/// \brief Versioned rows with atomic transactions. Not thread-safe.
class memory_table
{
public:
    /// Applies \a transaction if each checked row has the expected version.
    commit_answer commit(const table_transaction &transaction)
    {
        commit_answer answer;
        for (const table_check &check : transaction.checks) {
            if (versionOf(check.name) != check.version) {
                answer.conflicts.push_back(check.name);
            }
        }
        if (!answer.conflicts.empty()) {
            answer.outcome = commit_outcome::Conflict;
            return answer;
        }
        ++m_revision;
        for (const table_put &put : transaction.puts) {
            store(put);
        }
        answer.outcome = commit_outcome::Applied;
        answer.revision = m_revision;
        return answer;
    }

    /// \returns the rows changed after \a since whose names start with one of \a prefixes, oldest
    /// change first; an empty list matches all rows.
    table_changes changes(table_revision since, const std::vector<std::string> &prefixes) const
    {
        table_changes found;
        found.revision = m_revision;
        for (auto it = m_byRevision.upper_bound(since); it != m_byRevision.end(); ++it) {
            for (const std::string &name : it->second) {
                const table_row &row = m_rows.at(name);
                if (row.version == it->first && matches(name, prefixes)) {
                    found.rows.push_back(row);
                }
            }
        }
        return found;
    }

    /// \returns the named rows that exist.
    table_changes read(const std::vector<std::string> &names) const
    {
        table_changes found;
        found.revision = m_revision;
        for (const std::string &name : names) {
            const auto row = m_rows.find(name);
            if (row != m_rows.end() && !row->second.deleted) {
                found.rows.push_back(row->second);
            }
        }
        return found;
    }

    const std::map<std::string, table_row> &rows() const { return m_rows; }

private:
    static bool matches(const std::string &name, const std::vector<std::string> &prefixes)
    {
        for (const std::string &prefix : prefixes) {
            if (name.compare(0, prefix.size(), prefix) == 0) {
                return true;
            }
        }
        return prefixes.empty();
    }

    row_version versionOf(const std::string &name) const
    {
        const auto row = m_rows.find(name);
        return row == m_rows.end() || row->second.deleted ? 0 : row->second.version;
    }

    void store(const table_put &put)
    {
        table_row &row = m_rows[put.name];
        if (row.version != 0) {
            removeChange(row);
        }
        row = {put.name, put.value, m_revision, put.value.empty()};
        m_byRevision[m_revision].push_back(put.name);
    }

    /// Removes the previous change of a row, which changes() no longer returns, so that
    /// m_byRevision does not grow with the number of writes.
    void removeChange(const table_row &row)
    {
        const auto change = m_byRevision.find(row.version);
        if (change == m_byRevision.end()) {
            return;
        }
        std::vector<std::string> &names = change->second;
        for (auto it = names.begin(); it != names.end(); ++it) {
            if (*it == row.name) {
                names.erase(it);
                break;
            }
        }
        if (names.empty()) {
            m_byRevision.erase(change);
        }
    }

    table_revision m_revision = 0;
    std::map<std::string, table_row> m_rows;
    std::map<table_revision, std::vector<std::string>> m_byRevision;
};

} // namespace standin
} // namespace damaskward
