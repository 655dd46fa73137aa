/// \file
/// \brief What a VM knows about every target, and where the next request goes.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "deployment.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace damaskward {

/// One life of a target, as it registered itself.
struct target_record
{
    std::string name; ///< unique among all targets of all services
    std::int64_t incarnation = 0; ///< when this life began, in milliseconds since 1970
    service_id service;
    data_center_id dataCenter;
    std::string address; ///< IP:PORT
    int slots = 1; ///< requests that it runs at a time
    bool draining = false;
    std::int64_t heartbeat = 0; ///< counts up in one life
    milliseconds warmupLeft{0}; ///< how long it stays cold, when it wrote its record
};

/// What a target says of its load in an answer.
struct load_report
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    double slowdown = 1.0; ///< how long work takes there at present, 1 for as usual
};

/// One target with all that this VM has seen of it.
struct target_state
{
    target_record record;
    time_point coldUntil{}; ///< it bears little before this point
    time_point refusingUntil{}; ///< connections were refused: nothing is sent before this point
    time_point leavingSince{}; ///< it may still work on what it owns, but takes nothing new
    bool listed = true; ///< its record is in the newest reading of the registry
    int inFlight = 0; ///< requests of this VM that it has not answered
    int inFlightElsewhere = 0; ///< of the other VMs, by their last heartbeats
    load_report load;
    time_point loadAt{}; ///< when load was reported
    double workMillis = 0.0; ///< running mean of its answer times, 0 before the first
    int failures = 0; ///< failures in a row
    time_point avoidUntil{}; ///< after failures: it gets requests only when no other can
};

/// \class target_book
/// \brief The targets in the registry, their state, and the choice among them. Without I/O; not
/// thread-safe.
///
/// \code
/// book.applyRegistry(records, now);
/// if (target_state *t = book.choose(service, {}, now))
///     send(t->record.address);
/// \endcode
class target_book
{
public:
    /// \param self this VM's data centre; its targets are preferred
    explicit target_book(data_center_id self)
        : m_self(std::move(self))
    { }

    /// Takes over a configuration.
    void setDeployment(const deployment &config);
    /// Takes over the list of data centres that operators have taken out.
    /// \param out all data centres that are out
    void setOut(std::set<data_center_id> out, time_point now);
    /// Takes over a complete reading of the registry.
    void applyRegistry(const std::vector<target_record> &records, time_point now);

    /// Takes over one record of the registry.
    void applyRecord(const target_record &record, time_point now);
    /// A target's record has gone from the registry.
    void remove(std::string_view name, time_point now);

    /// \returns the target named \a name, or null.
    target_state *find(std::string_view name);
    const target_state *find(std::string_view name) const;
    const std::map<std::string, target_state, std::less<>> &all() const { return m_targets; }

    /// \returns whether \a t may get new requests.
    bool usable(const target_state &t, time_point now) const;
    /// \returns whether \a t bears only the cold rate of its service.
    static bool cold(const target_state &t, time_point now) { return now < t.coldUntil; }

    /// Chooses a target of a service that is not divided by key.
    /// \param except names that this request was already sent to
    /// \param allowCold whether cold targets may be chosen
    /// \returns the target expected to answer first, or null
    target_state *choose(const service_id &service, const std::set<std::string> &except,
                         bool preferNear, bool allowCold, time_point now);

    /// A request has been sent to \a t.
    static void started(target_state &t) { ++t.inFlight; }
    /// It has ended. \param answeredIn its answer time, or nothing when it failed
    void ended(target_state &t, std::optional<duration> answeredIn, time_point now);
    /// A connection to \a t was refused: its process is gone.
    void refused(target_state &t, time_point now);
    /// Takes over how many requests of the other VMs each target has not answered.
    void setInFlightElsewhere(const std::map<std::string, int> &counts)
    {
        for (auto &[name, t] : m_targets) {
            const auto it = counts.find(name);
            t.inFlightElsewhere = it == counts.end() ? 0 : it->second;
        }
    }
    /// A connection to \a t was not opened in time: its data centre may be cut off from this one.
    void unreachable(const target_state &t, time_point now);
    /// \a t has answered.
    void reached(const target_state &t) { m_silentCenters.erase(t.record.dataCenter); }
    /// A request is sent to \a t: where its data centre is silent, the only one for a while.
    void probing(const target_state &t, time_point now);
    /// \returns whether the data centre of \a t answers nobody here, and this is no time to probe.
    bool away(const target_state &t, time_point now) const;
    /// \returns by address when the newest life that is listed there began. The platform gives an
    /// address away only after the process that had it has ended.
    std::map<std::string_view, std::int64_t> newestLives() const;
    /// \returns by service how many requests there are per slot at this data centre's targets.
    std::map<std::string, double> nearLoads(time_point now) const;
    /// Takes over nearLoads() of another data centre, where this VM sees little for itself.
    void setFarLoads(const data_center_id &dc, const std::map<std::string, double> &loads,
                     time_point now);
    /// A load report arrived.
    static void reported(target_state &t, const load_report &load, time_point now);
    /// \a t says itself how long it stays cold.
    static void warming(target_state &t, milliseconds left, time_point now);

    /// \returns how much longer than usual work takes at \a t now: its own word, fading with age.
    static double slowdownNow(const target_state &t, time_point now);
    /// \returns requests expected to be at \a t.
    static double expectedLoad(const target_state &t, time_point now);

private:
    struct far_load
    {
        double perSlot = 0.0;
        time_point until{};
    };

    struct silent_center
    {
        int failures = 0; ///< connections in a row that were not opened in time
        time_point probeAt{}; ///< the next request that may try
    };

    double loadOf(const target_state &t, time_point now) const;
    void add(const target_record &record, time_point now);
    void noteLeaving(target_state &t, time_point now) const;
    milliseconds warmupOf(const service_id &service) const;

    data_center_id m_self;
    std::map<std::string, target_state, std::less<>> m_targets;
    std::map<service_id, milliseconds> m_warmup;
    std::map<std::pair<data_center_id, service_id>, far_load> m_farLoads;
    std::map<data_center_id, silent_center> m_silentCenters;
    std::set<data_center_id> m_out;
    bool m_first = true; ///< no registry has been read yet
    std::uint64_t m_turn = 0; ///< breaks ties
};

} // namespace damaskward
