/// \file
/// \brief Group commit: many small writes in few transactions.

#pragma once

#include "../Core/time.h"
#include "../Table/table.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace damaskward {

/// How one write of a group ended.
enum class write_outcome {
    Applied,
    Conflict, ///< the row has another version
    Unknown ///< no answer; a read of the row tells
};

/// One compare-and-set of one row, asked for by somebody who is told the outcome.
struct pending_write
{
    std::uint64_t ticket = 0; ///< given back with the outcome
    std::string rowName;
    row_version expected = 0;
    std::string value;
};

/// A write that has ended.
struct finished_write
{
    std::uint64_t ticket = 0;
    write_outcome outcome = write_outcome::Unknown;
    row_version version = 0; ///< the row's version when it was applied
};

/// \class group_committer
/// \brief Gathers writes while a transaction is in flight and sends them together in the next.
///
/// A conflict of one row makes the whole transaction fail; the rows named in the conflict are
/// told so and the others go again. Not thread-safe.
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

    /// \returns the next transaction, or nothing while one is in flight or nothing waits.
    std::optional<table_transaction> next();
    /// Takes the answer to the transaction in flight.
    /// \returns the writes that have ended with it.
    std::vector<finished_write> finish(const commit_answer &answer);

    std::size_t waiting() const { return m_waiting.size(); }

private:
    std::deque<pending_write> m_waiting;
    std::vector<pending_write> m_inFlight;
};

} // namespace damaskward
