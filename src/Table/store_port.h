/// \file
/// \brief The platform's store as the daemon calls it, without waiting for the answer.

#pragma once

#include "../Core/time.h"
#include "table.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace damaskward {

/// Rows of one table, as of one moment.
struct row_set
{
    std::vector<table_row> rows;
    table_revision revision = 0;
};

/// Why a call to the store brought nothing.
enum class store_failure {
    Unreachable, ///< no answer
    Refused, ///< the store turned the call away; nothing was done
    HistoryGone ///< a feed's revision is no longer kept: the table must be read anew
};

using row_result = std::variant<row_set, store_failure>;

using row_callback = std::function<void(row_result &&)>;
using commit_callback = std::function<void(commit_answer &&)>;

/// The calls of the store's client. Each calls back once, on the event loop's thread.
struct store_port
{
    /// Reads all rows of a table whose names begin with a prefix.
    std::function<void(const std::string &table, const std::string &prefix, row_callback)> read;
    /// Reads the rows changed after a revision, waiting for the first change.
    std::function<void(const std::string &table, table_revision after, milliseconds wait,
                       row_callback)>
        follow;
    /// Applies a transaction to rows of one table.
    std::function<void(const std::string &table, const table_transaction &, commit_callback)>
        commit;
};

} // namespace damaskward
