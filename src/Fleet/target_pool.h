/// \file
/// \brief The targets as seen by one VM, and the choice of a target for each request.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "deployment.h"
#include "heartbeat.h"
#include "vm_environment.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace damaskward {

/// The registry record of one incarnation of a target, written by the target itself.
struct target_record
{
    std::string name; ///< unique among all targets of all services
    std::int64_t incarnation = 0; ///< start time of its process, in milliseconds since 1970
    service_id service;
    std::string version; ///< of its software, empty if it states none
    data_center_id dataCenter;
    std::string address; ///< IP:PORT
    int slots = 1; ///< requests that it runs concurrently
    bool draining = false;
    std::int64_t heartbeatCounter = 0; ///< increases within one incarnation
    milliseconds warmupLeft{0}; ///< remaining warm-up time when it wrote the record
};

/// A target whose record was removed from the registry, and its last heartbeat.
struct removed_target
{
    std::string name;
    std::int64_t incarnation = 0;
    std::int64_t heartbeatCounter = 0;
};

/// The load that a target reports in an answer.
struct load_report
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    double slowdown = 1.0; ///< current processing time relative to the usual one
};

/// One target and what this VM has observed of it.
struct target_state
{
    target_record record;
    time_point warmupEndsAt{}; ///< end of its warm-up; before it, only the warm-up rate is sent
    time_point refusingUntil{}; ///< it refused a connection: nothing is sent before this point
    bool hasAnnouncedDrain = false; ///< an answer said so; holds whatever its record says
    time_point pausedUntil{}; ///< it has asked this VM for no requests before this point
    time_point drainingSince{}; ///< since then it takes no new work, but may finish what it owns
    time_point ownedWorkUntil{}; ///< while draining, it gets requests for its keys until then
    bool isRegistered = true; ///< its record is in the newest version of the registry
    int inFlight = 0; ///< requests of this VM that it has not answered
    int peerInFlight = 0; ///< the same of the other VMs, from their last heartbeats
    std::uint32_t hash = 0; ///< targetHash() of its name
    load_report load;
    time_point loadReportedAt{}; ///< when load was reported
    bool isUnprobed = false; ///< it has got a request since targetsToProbe() was last called
    /// Moving average of its answer times, 0 before the first answer.
    double meanAnswerMillis = 0.0;
    int failures = 0; ///< consecutive failures
    time_point avoidUntil{}; ///< after failures: until then it is chosen only as a last resort
};

/// What target_pool::choose() may choose.
struct target_query
{
    const service_id &service;
    const std::set<std::string> &except; ///< targets that this request was already sent to
    bool preferLocal = false; ///< choose a remote target only for a large gain, as for downloads
    bool allowWarmingUp = false; ///< targets that are warming up may be chosen
    /// Returns whether a target may be chosen; empty allows all.
    std::function<bool(const target_state &)> isAllowed{};
};

/// \returns the 24-bit hash that represents a target in messages about its load. Of two targets
/// with equal hashes each would count the other's requests as its own, which only misjudges its
/// load.
std::uint32_t targetHash(std::string_view name);

/// \class target_pool
/// \brief The targets in the registry, their state, and the choice among them. Without I/O; not
/// thread-safe.
///
/// Other programs may write to the registry. A record whose service the configuration does not name
/// is not that of a target: it is set aside until a configuration names its service, and all else
/// proceeds as if the registry did not contain it.
///
/// \code
/// targets.applyRegistry(records, now);
/// if (target_state *t = targets.choose({service, {}}, now))
///     send(t->record.address);
/// \endcode
class target_pool
{
public:
    /// \param local this VM's data centre; its targets are preferred
    /// \param drainTime the operators' bound on new work for a draining target
    explicit target_pool(data_center_id local, milliseconds drainTime = fleet_bounds().drainTime)
        : m_localDataCenter(std::move(local))
        , m_drainTime(drainTime)
    { }

    /// Applies a configuration. Targets whose service it does not name count as unregistered, and
    /// records that were set aside are applied if it names theirs.
    void setDeployment(const deployment &config, time_point now);
    /// \returns whether the configuration names the service of \a record, or there is none yet.
    bool namesServiceOf(const target_record &record) const
    {
        return !m_hasDeployment || m_warmup.count(record.service) != 0;
    }
    /// Sets the data centres that operators have drained. The targets of one that is no longer
    /// drained count as warming up.
    /// \param drained all drained data centres
    void setDrainedDataCenters(std::set<data_center_id> drained, time_point now);
    /// Applies a complete version of the registry.
    void applyRegistry(const std::vector<target_record> &records, time_point now);

    /// Applies one record of the registry.
    void applyRecord(const target_record &record, time_point now);
    /// Sets when the store was asked for the records that have been applied.
    void setRegistryReadAt(time_point at) { m_registryReadAt = at; }
    /// Marks a target as unregistered, after its record has been removed from the registry.
    void remove(const removed_target &target, time_point now);

    /// \returns the target named \a name, or null.
    target_state *find(std::string_view name);
    const target_state *find(std::string_view name) const;
    const std::map<std::string, target_state, std::less<>> &all() const { return m_targets; }

    /// \returns whether \a t may get new requests.
    bool isUsable(const target_state &t, time_point now) const;
    /// \returns whether \a t is warming up and handles only the warm-up rate of its service.
    static bool isWarmingUp(const target_state &t, time_point now) { return now < t.warmupEndsAt; }

    /// Chooses a target of a service that is not sharded by key.
    /// \returns the target expected to answer first, or null.
    target_state *choose(const target_query &query, time_point now);

    /// Records that a request has been sent to \a t.
    static void recordRequestSent(target_state &t)
    {
        ++t.inFlight;
        t.isUnprobed = true;
    }
    /// \param isAssigned returns whether this VM checks the local target of the given name for all
    /// VMs of the data centre
    /// \returns the names of the registered targets that are not known to warm up, and are assigned
    /// to this VM or have got a request of it since the last call.
    std::vector<std::string>
    targetsToProbe(const std::function<bool(const std::string &)> &isAssigned, time_point now);
    /// Records that a request to \a t has completed.
    /// \param answeredIn its answer time, or nothing if it failed
    void recordRequestCompleted(target_state &t, std::optional<duration> answeredIn,
                                time_point now);
    /// Records that \a t refused a connection, which means that its process has terminated.
    void recordConnectionRefused(target_state &t, time_point now);
    /// Sets by targetHash() how many requests of the other VMs a target has not answered.
    void setPeerInFlight(const std::map<std::uint32_t, std::int32_t> &counts)
    {
        for (auto &[name, t] : m_targets) {
            const auto it = counts.find(t.hash);
            t.peerInFlight = it == counts.end() ? 0 : std::max(0, it->second);
        }
    }
    /// \returns by targetHash() the requests of this VM that targets have not answered.
    std::vector<packed_requests> ownInFlight() const;
    /// Records that a connection to \a t timed out: its data centre may be unreachable from here.
    void recordConnectionTimeout(const target_state &t, time_point now);
    /// Records that \a t has answered: its data centre is reachable.
    void recordAnswer(const target_state &t) { m_reachability.erase(t.record.dataCenter); }
    /// Records that a request is sent to \a t. If its data centre is unreachable, the request is a
    /// probe, and no other is sent there until the probe interval has passed.
    void recordProbe(const target_state &t, time_point now);
    /// \returns whether the data centre of \a t is unreachable and no probe is due.
    bool isUnreachable(const target_state &t, time_point now) const;
    /// \returns by address the newest incarnation among the registered targets. The platform
    /// reassigns an address only after the process that used it has terminated.
    std::map<std::string_view, std::int64_t> newestIncarnations() const;
    /// \returns by service the number of requests per slot at this data centre's targets.
    std::map<std::string, double> localLoads(time_point now) const;
    /// Sets the localLoads() of another data centre, whose VMs' requests this VM does not see.
    void setRemoteLoads(const data_center_id &dc, const std::map<std::string, double> &loads,
                        time_point now);
    /// Records that \a t has announced in an answer that it is draining. The announcement holds for
    /// the rest of its incarnation, even if its record in the registry is older and says otherwise.
    void recordDrain(target_state &t, time_point now) const;
    /// Records that \a t has asked this VM to send it no requests before \a until. The longest
    /// pause that it has asked for applies.
    static void recordPause(target_state &t, time_point until);
    /// \returns the remaining pause that \a t has asked for, rounded up, or 0.
    static milliseconds pauseLeft(const target_state &t, time_point now);
    /// \returns the shortest remaining pause of the targets of \a service if all of those that may
    /// otherwise get requests are paused, or 0.
    milliseconds shortestPauseLeft(const service_id &service, time_point now) const;
    /// Records a load report.
    static void recordLoadReport(target_state &t, const load_report &load, time_point now);
    /// Records the remaining warm-up time that \a t has reported.
    static void recordWarmup(target_state &t, milliseconds left, time_point now);

    /// \returns the current processing time at \a t relative to the usual one: the last reported
    /// value, which approaches 1 with its age.
    static double currentSlowdown(const target_state &t, time_point now);
    /// \returns the estimated number of requests at \a t.
    static double expectedLoad(const target_state &t, time_point now);

private:
    struct remote_load
    {
        double perSlot = 0.0;
        time_point expiresAt{};
    };

    struct center_reachability
    {
        int failures = 0; ///< consecutive connection time-outs
        time_point probeAt{}; ///< when the next probe may be sent
    };

    double estimatedLoad(const target_state &t, time_point now) const;
    void applyTargetRecord(const target_record &record, time_point now);
    void setAside(const target_record &record, time_point now);
    void unregister(target_state &t, time_point now);
    void insert(const target_record &record, time_point now);
    void updateDrainingSince(target_state &t, time_point now) const;
    milliseconds warmupOf(const service_id &service) const;

    data_center_id m_localDataCenter;
    milliseconds m_drainTime;
    time_point m_registryReadAt{}; ///< empty before the first read
    std::map<std::string, target_state, std::less<>> m_targets;
    std::map<std::string, target_record> m_setAside; ///< records that name no known service
    std::map<service_id, milliseconds> m_warmup; ///< by service of the configuration
    bool m_hasDeployment = false;
    std::map<std::pair<data_center_id, service_id>, remote_load> m_remoteLoads;
    std::map<data_center_id, center_reachability> m_reachability;
    std::set<data_center_id> m_drainedDataCenters;
    bool m_isFirstRegistry = true; ///< no registry with a target has been applied yet
    std::uint64_t m_turn = 0; ///< breaks ties
};

} // namespace damaskward
