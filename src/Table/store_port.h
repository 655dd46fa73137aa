/// \file
/// \brief The asynchronous interface to the platform's store.

#pragma once

#include "../Core/time.h"
#include "table.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace damaskward {

/// Rows of one table, all read at the same revision.
struct row_set
{
    std::vector<table_row> rows;
    table_revision revision = 0;
    store_era era = 0; ///< the era of the answer, 0 if unknown
};

/// Why a call to the store failed.
enum class store_failure {
    Unreachable, ///< no answer
    Refused, ///< the store rejected the call and did nothing
    HistoryGone ///< the store no longer has the changes since that revision: read the table again
};

using row_result = std::variant<row_set, store_failure>;

using row_callback = std::function<void(row_result &&)>;
using commit_callback = std::function<void(commit_answer &&)>;

/// The calls of the store client. Each invokes its callback exactly once, in the thread of the
/// event loop.
struct store_port
{
    /// Reads all rows of a table whose names start with a prefix.
    std::function<void(const std::string &table, const std::string &prefix, row_callback)> read;
    /// Reads the rows changed after a revision. If there are none, waits up to \a wait for a
    /// change.
    std::function<void(const std::string &table, table_revision after, milliseconds wait,
                       row_callback)>
        follow;
    /// Applies a transaction to rows of one table.
    std::function<void(const std::string &table, const table_transaction &, commit_callback)>
        commit;
};

} // namespace damaskward
