/// \file
/// \brief Group commit: combines many small writes into few transactions.

#pragma once

#include "../Core/time.h"
#include "../Table/table.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace damaskward {

/// The outcome of one write of a group.
enum class write_outcome {
    Applied,
    Conflict, ///< the row does not have the expected version
    Unknown ///< no answer from the store; only a read of the row shows whether it was written
};

/// A requested compare-and-set of one row.
struct pending_write
{
    std::uint64_t ticket = 0; ///< identifies the write; returned with its outcome
    std::string rowName;
    row_version expected = 0;
    std::string value;
};

/// A completed write.
struct finished_write
{
    std::uint64_t ticket = 0;
    write_outcome outcome = write_outcome::Unknown;
    row_version version = 0; ///< the new version of the row, if the write was applied
};

/// \class group_committer
/// \brief Collects writes while a transaction is in flight and combines them in the next one. Not
/// thread-safe.
///
/// A conflict in one row makes the whole transaction fail. The writes of the rows named in the
/// conflict are completed with that outcome; the others are tried again in the next transaction.
///
/// \code
/// committer.add({ticket, "intent/…", 0, value});
/// if (auto transaction = committer.next())
///     for (const finished_write &write : committer.finish(commit(*transaction))) { ... }
/// \endcode
class group_committer
{
public:
    void add(pending_write write) { m_waiting.push_back(std::move(write)); }

    /// \returns the next transaction, or nothing while one is in flight or no write waits.
    std::optional<table_transaction> next();
    /// Applies the answer to the transaction in flight.
    /// \returns the writes that it completes.
    std::vector<finished_write> finish(const commit_answer &answer);

    std::size_t waiting() const { return m_waiting.size(); }

private:
    std::deque<pending_write> m_waiting;
    std::vector<pending_write> m_inFlight;
};

} // namespace damaskward
