#include "group_committer.h"

#include <algorithm>
#include <set>

namespace damaskward {
namespace internal {

constexpr std::size_t maxWritesPerTransaction = 128;

} // namespace internal

std::optional<table_transaction> group_committer::next()
{
    if (!m_inFlight.empty() || m_waiting.empty()) {
        return std::nullopt;
    }
    table_transaction transaction;
    std::set<std::string> rows;
    // A transaction can write a row only once; a second write waits for the next transaction.
    std::deque<pending_write> postponed;
    while (!m_waiting.empty()) {
        pending_write write = std::move(m_waiting.front());
        m_waiting.pop_front();
        const bool fits = m_inFlight.size() < internal::maxWritesPerTransaction
            && rows.insert(write.rowName).second;
        if (!fits) {
            postponed.push_back(std::move(write));
            continue;
        }
        transaction.replace(write.rowName, write.expected, write.value);
        m_inFlight.push_back(std::move(write));
    }
    m_waiting = std::move(postponed);
    return transaction;
}

std::vector<finished_write> group_committer::finish(const commit_answer &answer)
{
    std::vector<finished_write> finished;
    std::deque<pending_write> retried;
    for (pending_write &write : m_inFlight) {
        const auto &conflicts = answer.conflicts;
        const bool hasConflict =
            std::find(conflicts.begin(), conflicts.end(), write.rowName) != conflicts.end();
        if (answer.outcome == commit_outcome::Applied) {
            finished.push_back({write.ticket, write_outcome::Applied, answer.revision});
        } else if (answer.outcome == commit_outcome::Unknown) {
            finished.push_back({write.ticket, write_outcome::Unknown, 0});
        } else if (hasConflict || conflicts.empty()) {
            finished.push_back({write.ticket, write_outcome::Conflict, 0});
        } else {
            retried.push_back(std::move(write));
        }
    }
    m_inFlight.clear();
    m_waiting.insert(m_waiting.begin(), std::make_move_iterator(retried.begin()),
                     std::make_move_iterator(retried.end()));
    return finished;
}

} // namespace damaskward
