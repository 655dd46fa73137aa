/// \file
/// \brief The platform's table as the core sees it: rows with versions, and transactions.

#pragma once

#include "../Core/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace damaskward {

/// A row's version: the table revision that wrote it. 0 stands for "there is no such row".
using row_version = std::uint64_t;

/// A revision of the whole table; each applied transaction raises it by one.
using table_revision = std::uint64_t;

/// One row as read.
struct table_row
{
    std::string name;
    std::string value; ///< empty for a deleted row
    row_version version = 0;
    bool deleted = false;
};

/// A precondition: the row must have this version when the transaction is applied.
struct table_check
{
    std::string name;
    row_version version = 0;
};

/// A write: an empty value deletes the row.
struct table_put
{
    std::string name;
    std::string value;
};

/// \class table_transaction
/// \brief All its checks hold and all its writes are applied, or nothing is.
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

/// How a transaction ended.
enum class commit_outcome {
    Applied,
    Conflict, ///< a check did not hold; nothing was written
    Refused, ///< the table turned the call away; nothing was written, and it may be sent again
    Unknown ///< no answer: it may have been applied, may still be, or never will
};

/// The answer to a transaction.
struct commit_answer
{
    commit_outcome outcome = commit_outcome::Unknown;
    table_revision revision = 0; ///< of the write, when it was applied
    std::vector<std::string> conflicts; ///< the rows whose check failed
};

/// Rows changed after a revision.
struct table_changes
{
    table_revision revision = 0; ///< the table's revision when it was read
    std::vector<table_row> rows;
};

} // namespace damaskward
