/// \file
/// \brief Connects the capacity of targets on this VM with the other VMs.

#pragma once

#include "../Admission/capacity_source.h"
#include "../Admission/room_client.h"
#include "../Admission/room_ledger.h"
#include "../Fleet/membership.h"
#include "../Fleet/target_pool.h"
#include "../Metrics/metrics.h"
#include "../Proxy/request_log.h"
#include "peer_message.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace damaskward {

/// What room_exchange needs to know of the fleet.
struct room_fleet
{
    std::string self; ///< name of this VM
    /// Returns the VM that has a role in a data centre, empty if none is known there.
    std::function<std::string(const std::string &dc, const std::string &role, time_point now)>
        holder;
    std::function<std::string(const std::string &vm)> addressOf; ///< empty if not known
    /// Returns the share of the fleet that this VM is in contact with.
    std::function<double(time_point now)> reachableShare;
    std::function<int()> vmCount; ///< VMs that may be running, this one included
    /// Returns the position of this VM among them for a role, from 0.
    std::function<int(std::string_view role)> rank;
};

/// \returns the view of the fleet that \a peers has. \a peers must outlive it.
room_fleet fleetOf(const membership &peers);

/// \class room_exchange
/// \brief Requests target capacity of its owners for this VM, and owns the capacity of the groups
/// that this VM has the role for. Event loop thread only.
///
/// A group is one target of a sharded service, or the targets of another service in one data
/// centre. In use only where the fleet has more VMs than a target can queue requests. Handles the
/// load pattern in which many VMs each send a few requests at once to a target that none of them
/// knows to be full.
///
/// \code
/// room_exchange room(fleetOf(peers), targets, counts, log, incarnation, clock, send, wakeAt);
/// room.handle(message, now); // from another VM
/// room.wake(now); // at the time given to wakeAt
/// room.tick(now); // with each heartbeat
/// \endcode
/// \sa room_ledger, room_client
class room_exchange : public capacity_source
{
public:
    using sender = std::function<void(const std::string &ip, const peer_message &message)>;
    using clock = std::function<time_point()>;

    /// \param incarnation of this VM's process, in milliseconds since 1970
    /// \param wakeAt lets wake() be called at the given time
    room_exchange(room_fleet fleet, target_pool &targets, metrics &counts, request_log &log,
                  std::int64_t incarnation, clock now, sender send,
                  std::function<void(time_point)> wakeAt);

    /// Switches the use of this class, to compare with VMs that send by their own estimates.
    void setEnabled(bool enabled) { m_enabled = enabled; }
    /// Switches the use for sharded services, where a request has only one target to go to. Off by
    /// default: their less urgent requests were refused too often (docs/design/target-capacity.md).
    void setUsedForSharded(bool used) { m_isUsedForSharded = used; }

    bool usesRoom(const service_id &service, bool isSharded) const override;
    std::uint64_t acquire(const capacity_query &query, callback done) override;
    void release(const capacity_return &result) override;

    /// Handles a message of another VM.
    /// \returns false if it does not concern target capacity.
    bool handle(const peer_message &message, time_point now);

    /// Called at the times given to wakeAt: sends what is due and ends what has timed out.
    void wake(time_point now);
    /// Adapts to changes of the fleet and of the registry.
    void tick(time_point now);

    /// Updates the gauges.
    void updateGauges();

    /// \returns the ledger of the group that \a query needs capacity of, or null if this VM does
    /// not own it.
    const room_ledger *ledgerOf(const capacity_query &query) const;

private:
    /// A group of targets whose capacity has one owner.
    struct group_name
    {
        std::string dataCenter;
        std::string service;
        std::string target; ///< empty if the group has several targets
    };

    void sendTo(const std::string &vm, const peer_message &message);
    static std::string textOf(const capacity_query &query);
    static group_name parse(const std::string &text);
    std::string ownerOf(const std::string &group, time_point now) const;
    room_ledger *findLedger(const std::string &group, time_point now);
    void updateTargets(const std::string &group, room_ledger &ledger, time_point now) const;
    void applyReport(const std::string &from, const capacity_report &report, time_point now);
    void sendDecisions(const std::string &group, room_ledger &ledger, time_point now);
    void finishAcquire(const std::string &group, const capacity_query &query,
                       const capacity_decision &decision, const callback &done);
    capacity_answer fallBack(const std::string &group, const capacity_query &query, time_point now);
    bool isWithinFallback(const target_state &target) const;
    void process(time_point now);
    void scheduleWake(time_point at);

    room_fleet m_fleet;
    target_pool &m_targets;
    metrics &m_metrics;
    request_log &m_log;
    clock m_now;
    sender m_send;
    std::function<void(time_point)> m_wakeAt;
    room_client m_client;
    std::map<std::string, room_ledger> m_ledgers; ///< by group
    time_point m_nextWake = time_point::max();
    bool m_enabled = true;
    bool m_isUsedForSharded = false;
};

} // namespace damaskward
