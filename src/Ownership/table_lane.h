/// \file
/// \brief One kind of transaction, one in flight at a time.

#pragma once

#include "events.h"

#include <optional>

namespace damaskward {

/// How long a transaction may take before its outcome counts as unknown.
inline constexpr milliseconds transactionTimeout{600};

/// \class table_lane
/// \brief Keeps at most one transaction of its kind in flight and knows when to give it up.
///
/// \code
/// if (lane.idle())
///     lane.start(transaction, ids, now, actions);
/// if (auto done = lane.finish(event, now)) { ... }
/// \endcode
class table_lane
{
public:
    /// A transaction that has ended.
    struct ended
    {
        table_transaction transaction;
        commit_answer answer;
        time_point startedAt;
    };

    bool idle() const { return !m_flight; }

    /// Starts a transaction. The lane must be idle.
    /// \param through a VM to go by, or empty for the direct way
    void start(table_transaction transaction, operation_id id, time_point now, action_list &actions,
               const vm_id &through = {})
    {
        actions.emplace_back(commit_table{id, transaction, through});
        m_flight = flight{id, std::move(transaction), now, now + transactionTimeout};
    }

    /// \returns the transaction when \a event is its answer.
    std::optional<ended> finish(const commit_done &event)
    {
        if (!m_flight || m_flight->id != event.id) {
            return std::nullopt;
        }
        return take(event.answer);
    }

    /// \returns the transaction, as unknown, when it has taken too long.
    std::optional<ended> expire(time_point now)
    {
        if (!m_flight || now < m_flight->giveUpAt) {
            return std::nullopt;
        }
        return take(commit_answer{});
    }

private:
    struct flight
    {
        operation_id id;
        table_transaction transaction;
        time_point startedAt;
        time_point giveUpAt;
    };

    ended take(const commit_answer &answer)
    {
        ended done{std::move(m_flight->transaction), answer, m_flight->startedAt};
        m_flight.reset();
        return done;
    }

    std::optional<flight> m_flight;
};

} // namespace damaskward
