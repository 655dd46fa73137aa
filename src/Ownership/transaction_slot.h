/// \file
/// \brief Sends the transactions of one kind, at most one at a time.

#pragma once

#include "events.h"
#include "platform_route.h"
#include "table_replica.h"

#include <optional>

namespace damaskward {

/// The outcome of a transaction without an answer counts as unknown after this time.
inline constexpr milliseconds transactionTimeout{600};

/// \class transaction_slot
/// \brief Holds the transaction of one kind that is in flight, at most one, and times it out.
///
/// Transactions are sent directly or through a peer, as \ref platform_route chooses.
///
/// \code
/// transaction_slot slot(route);
/// if (slot.isIdle())
///     slot.start(transaction, ++nextId, now, actions);
/// if (slot.finishAndApply(event, replica, now)) { ... }
/// \endcode
class transaction_slot
{
public:
    /// A transaction with its outcome, which is unknown after a timeout.
    struct finished
    {
        table_transaction transaction;
        commit_answer answer;
        time_point startedAt;
    };

    /// \param route is notified of the outcome of each transaction
    explicit transaction_slot(platform_route &route)
        : m_route(route)
    { }

    bool isIdle() const { return !m_pending; }

    /// Starts a transaction. Requires isIdle().
    void start(table_transaction transaction, operation_id id, time_point now, action_list &actions)
    {
        const vm_id relay = m_route.chooseRelay(now);
        actions.emplace_back(commit_table{id, transaction, relay});
        m_pending =
            pending_transaction{id, std::move(transaction), relay, now, now + transactionTimeout};
    }

    /// Takes the transaction out of this object if \a event is its answer.
    /// \returns the transaction, or nothing if the answer belongs to another one.
    std::optional<finished> finish(const commit_done &event, time_point now)
    {
        if (!m_pending || m_pending->id != event.id) {
            return std::nullopt;
        }
        return complete(event.answer, now);
    }

    /// Takes the transaction out of this object, with unknown outcome, if it has timed out.
    /// \returns the transaction, or nothing if none has timed out.
    std::optional<finished> takeTimedOut(time_point now)
    {
        if (!m_pending || now < m_pending->deadline) {
            return std::nullopt;
        }
        return complete(commit_answer{}, now);
    }

    /// Like \ref finish(), but also writes the rows of an applied transaction to \a replica.
    /// \returns whether \a event is the answer to this object's transaction.
    bool finishAndApply(const commit_done &event, table_replica &replica, time_point now)
    {
        const std::optional<finished> result = finish(event, now);
        if (result && result->answer.outcome == commit_outcome::Applied) {
            replica.applyOwn(result->transaction, result->answer.revision, now);
        }
        return result.has_value();
    }

private:
    struct pending_transaction
    {
        operation_id id;
        table_transaction transaction;
        vm_id relay;
        time_point startedAt;
        time_point deadline;
    };

    finished complete(const commit_answer &answer, time_point now)
    {
        if (answer.outcome == commit_outcome::Unknown) {
            m_route.recordFailure(m_pending->relay);
        } else {
            m_route.recordSuccess(m_pending->relay, now);
        }
        finished result{std::move(m_pending->transaction), answer, m_pending->startedAt};
        m_pending.reset();
        return result;
    }

    platform_route &m_route;
    std::optional<pending_transaction> m_pending;
};

} // namespace damaskward
