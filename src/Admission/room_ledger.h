/// \file
/// \brief The capacity of a group of targets: requests under way, and requests that wait.

#pragma once

#include "../Core/time.h"
#include "capacity_messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace damaskward {

/// A target of a group.
struct capacity_target
{
    std::string name;
    int slots = 1; ///< requests that it runs concurrently
    int underWay = 0; ///< requests of all VMs, as far as their heartbeats tell
};

/// A decision and the VM that it is for.
struct addressed_decision
{
    std::string to;
    capacity_decision decision;
};

/// \class room_ledger
/// \brief Grants the capacity of a group of targets to requests of all VMs. Without I/O; not
/// thread-safe.
///
/// A target gets at most twice its slots at once: enough to keep its slots busy while a grant
/// travels, and few enough that nearly all waiting requests wait here, in the order of priority,
/// deadline and team fairness, and not in the target's own queue, which ignores these. The limit
/// falls when the target rejects requests or goes silent, and rises slowly.
///
/// A grant that has not been returned at its deadline stays counted for as long as the target is
/// expected to need for what is under way there, as the request may still be in its queue.
///
/// \code
/// ledger.setTargets({{"t1", 3}, {"t2", 3}});
/// ledger.request("vm1", {1, 0, "dojo", milliseconds(800)}, now);
/// for (const addressed_decision &d : ledger.decide(now))
///     send(d.to, d.decision);
/// \endcode
/// \sa room_client
class room_ledger
{
public:
    /// A new owner limits its grants also by the requests that heartbeats report for this long. It
    /// spans two heartbeats and the time-out after which VMs report what they have under way.
    static constexpr milliseconds takeoverTime{600};

    /// \param createdAt when this VM became the owner
    explicit room_ledger(time_point createdAt)
        : m_takeoverEndsAt(createdAt + takeoverTime)
    { }

    /// Sets the targets that may get requests. Grants at other targets stay counted.
    void setTargets(const std::vector<capacity_target> &targets);
    /// Sets the share of the fleet that this VM is in contact with: in a network partition each
    /// side grants its share of the capacity.
    void setReachableShare(double share) { m_reachableShare = share; }

    /// Adds a request of VM \a from. A repeated one is answered again.
    void request(const std::string &from, const capacity_request &request, time_point now);
    /// Counts capacity that VM \a from uses without a grant of this ledger.
    void recordUse(const std::string &from, const capacity_use &use, time_point now);
    /// Takes capacity back, or withdraws a waiting request.
    void finish(const std::string &from, const capacity_return &result, time_point now);
    /// Applies all that VM \a from reports.
    void apply(const std::string &from, const capacity_report &report, time_point now);

    /// Ends expired grants, grants free capacity, and refuses requests that cannot be served in
    /// time.
    /// \returns the decisions to send.
    std::vector<addressed_decision> decide(time_point now);

    std::size_t waitingCount() const { return m_waiting.size(); }
    /// \returns the number of grants and reported uses that have not ended.
    std::size_t inUse() const { return m_grants.size(); }
    /// \returns the same at one target.
    int inUseAt(const std::string &target) const;
    /// \returns how many requests may be under way at \a target at once.
    int limitOf(const std::string &target) const;

private:
    using request_key = std::pair<std::string, std::uint64_t>; ///< VM and number

    struct target_use
    {
        int slots = 1;
        bool isUsable = false;
        int inUse = 0;
        int underWay = 0; ///< as heartbeats tell
        double limit = 0.0;
        double workMillis = 0.0; ///< mean time of a request without waiting, 0 if unknown
        time_point raisedAt{};
        time_point loweredAt{};
    };

    struct grant
    {
        std::string target;
        time_point expiresAt{};
        int aheadAtStart = 0; ///< requests under way at the target when it was granted
        bool isOverdue = false; ///< given up without an answer; the target may still hold it
    };

    struct waiting_request
    {
        std::string from;
        capacity_request request;
        time_point deadline{};
    };
    /// Priority, rounded deadline, requests of the team under way or waiting, order of arrival.
    using waiting_key = std::tuple<int, std::int64_t, int, std::uint64_t>;
    using waiting_queue = std::map<waiting_key, waiting_request>;

    void expire(time_point now);
    void grantWaiting(std::vector<addressed_decision> &decisions, time_point now);
    void refuseInfeasible(std::vector<addressed_decision> &decisions, time_point now);
    waiting_queue::iterator leastUrgent();
    target_use *choose(const waiting_request &waiting, std::string &name, time_point now);
    void holdOverdue(std::map<request_key, grant>::iterator it, time_point now);
    void startGrant(const request_key &key, const std::string &target, time_point expiresAt);
    void endGrant(std::map<request_key, grant>::iterator it);
    void erase(waiting_queue::iterator it);
    void learnWork(target_use &t, const grant &used, const capacity_return &result);
    void raiseLimit(target_use &t, const capacity_return &result, time_point now);
    static void lowerLimit(target_use &t, double lowest, time_point now);
    int usableLimit(const target_use &t) const;
    int underWay(const target_use &t, time_point now) const;
    double workOf(const target_use &t) const;
    static double waitFactor(const target_use &t, int underWay);
    double requestsPerMilli() const;

    std::map<std::string, target_use> m_targets;
    std::map<request_key, grant> m_grants;
    std::set<std::pair<time_point, request_key>> m_expiries;
    waiting_queue m_waiting;
    std::map<request_key, waiting_key> m_waitingKeys;
    std::map<std::string, int> m_waitingOfTeam;
    std::vector<addressed_decision> m_repeated; ///< answers to repeated requests
    double m_meanWorkMillis = 0.0; ///< of all targets, 0 before the first answer
    double m_reachableShare = 1.0;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_contendedGrants = 0;
    time_point m_takeoverEndsAt{};
    time_point m_feasibleCheckAt{};
};

} // namespace damaskward
