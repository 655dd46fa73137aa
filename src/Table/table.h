/// \file
/// \brief The data model of the platform's tables: rows with versions, and transactions.

#pragma once

#include "../Core/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace damaskward {

/// The version of a row: the table revision that wrote it. 0 means that the row does not exist.
using row_version = std::uint64_t;

/// The revision of a whole table; each applied transaction increments it by one.
using table_revision = std::uint64_t;

/// The number of times that the store was restored from an older copy, plus a constant. Versions
/// and revisions are comparable only within one era.
using store_era = std::uint64_t;

/// A row as read from the table.
struct table_row
{
    std::string name;
    std::string value; ///< empty for a deleted row
    row_version version = 0;
    bool deleted = false;
};

/// A precondition: the transaction is applied only if the row has this version.
struct table_check
{
    std::string name;
    row_version version = 0;
};

/// A write of one row; an empty value deletes the row.
struct table_put
{
    std::string name;
    std::string value;
};

/// \class table_transaction
/// \brief An atomic transaction: its writes are applied, all together, only if all its checks hold.
///
/// \code
/// table_transaction t;
/// t.replace("shard/lookup/3", 17, newValue);
/// \endcode
struct table_transaction
{
    std::vector<table_check> checks;
    std::vector<table_put> puts;

    /// Adds a compare-and-set of one row.
    void replace(const std::string &name, row_version expected, const std::string &value)
    {
        checks.push_back({name, expected});
        puts.push_back({name, value});
    }
    bool empty() const { return puts.empty(); }
};

/// The outcome of a transaction.
enum class commit_outcome {
    Applied,
    Conflict, ///< a check failed; nothing was written
    Refused, ///< the table rejected the call and wrote nothing; it may be sent again
    Unknown ///< no answer: it may have been applied, may be applied later, or never
};

/// The answer to a transaction.
struct commit_answer
{
    commit_outcome outcome = commit_outcome::Unknown;
    table_revision revision = 0; ///< the revision of the write, if it was applied
    std::vector<std::string> conflicts; ///< the names of the rows whose check failed
    store_era era = 0; ///< the era of the answer, 0 if unknown
};

/// The rows changed after a revision.
struct table_changes
{
    table_revision revision = 0; ///< the revision of the table when it was read
    std::vector<table_row> rows;
};

} // namespace damaskward
