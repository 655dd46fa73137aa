/// \file
/// \brief One kind of transaction, one in flight at a time.

#pragma once

#include "events.h"
#include "platform_route.h"
#include "table_mirror.h"

#include <optional>

namespace damaskward {

/// How long a transaction may take before its outcome counts as unknown.
inline constexpr milliseconds transactionTimeout{600};

/// \class table_lane
/// \brief Keeps at most one transaction of its kind in flight, by whichever way reaches the
/// platform, and knows when to give it up.
///
/// \code
/// table_lane lane(route);
/// if (lane.idle())
///     lane.start(transaction, ++nextId, now, actions);
/// if (lane.settle(event, mirror, now)) { ... }
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

    /// \param route is told how each transaction ended
    explicit table_lane(platform_route &route)
        : m_route(route)
    { }

    bool idle() const { return !m_flight; }

    /// Starts a transaction. The lane must be idle.
    void start(table_transaction transaction, operation_id id, time_point now, action_list &actions)
    {
        const vm_id way = m_route.way(now);
        actions.emplace_back(commit_table{id, transaction, way});
        m_flight = flight{id, std::move(transaction), way, now, now + transactionTimeout};
    }

    /// \returns the transaction when \a event is its answer.
    std::optional<ended> finish(const commit_done &event, time_point now)
    {
        if (!m_flight || m_flight->id != event.id) {
            return std::nullopt;
        }
        return take(event.answer, now);
    }

    /// \returns the transaction, as unknown, when it has taken too long.
    std::optional<ended> expire(time_point now)
    {
        if (!m_flight || now < m_flight->giveUpAt) {
            return std::nullopt;
        }
        return take(commit_answer{}, now);
    }

    /// Finishes a transaction whose rows, once applied, belong into the mirror.
    /// \returns whether the answer was this lane's.
    bool settle(const commit_done &event, table_mirror &mirror, time_point now)
    {
        const std::optional<ended> done = finish(event, now);
        if (done && done->answer.outcome == commit_outcome::Applied) {
            mirror.applyOwn(done->transaction, done->answer.revision, now);
        }
        return done.has_value();
    }

private:
    struct flight
    {
        operation_id id;
        table_transaction transaction;
        vm_id way;
        time_point startedAt;
        time_point giveUpAt;
    };

    ended take(const commit_answer &answer, time_point now)
    {
        if (answer.outcome == commit_outcome::Unknown) {
            m_route.failed(m_flight->way);
        } else {
            m_route.succeeded(m_flight->way, now);
        }
        ended done{std::move(m_flight->transaction), answer, m_flight->startedAt};
        m_flight.reset();
        return done;
    }

    platform_route &m_route;
    std::optional<flight> m_flight;
};

} // namespace damaskward
