/// \file
/// \brief Grants the keys of one service to targets: the state machine of the range coordinator.

#pragma once

#include "key_load.h"
#include "range_map.h"
#include "range_planner.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace damaskward {

/// Identifies a command, so that its answer finds the range it was sent for.
using command_id = std::uint64_t;

/// Grants keys to a target. The grant expires \a leaseDuration after the target has received it.
struct grant_command
{
    command_id number = 0;
    std::string target;
    std::int64_t incarnation = 0;
    key_range keys;
    std::uint64_t fencingToken = 0;
    milliseconds leaseDuration{0};
    std::string handover;
    time_point deadline{}; ///< the sender sends and repeats no part of the command from then on
};

/// Takes keys back: the target starts no more requests for them, and answers when the running ones
/// have ended.
struct release_command
{
    command_id number = 0;
    std::string target;
    std::int64_t incarnation = 0;
    key_range keys;
    std::uint64_t fencingToken = 0;
};

using range_command = std::variant<grant_command, release_command>;

/// The result of a command.
enum class command_outcome {
    Done,
    Outdated, ///< the target has seen a higher fencing token
    Unanswered, ///< the target may have applied it, or may still apply it
    NotSent ///< no part of it was sent, so the target can't apply it
};

/// The state of a target, as the caller of range_coordinator::step() knows it.
struct owner_view
{
    std::int64_t incarnation = 0;
    double capacity = 1.0; ///< in requests per second
    bool reachable = true; ///< listed in the registry
    bool mayOwn = true; ///< neither draining nor excluded
    /// Its process has certainly terminated: another one has its address.
    bool hasTerminated = false;
    bool isWarmingUp = false;
};

using owner_views = std::map<std::string, owner_view, std::less<>>;

/// Time spans of grants and commands.
struct coordinator_timing
{
    /// Of a grant in normal operation; the keys of an unresponsive target stay unserved this long.
    milliseconds leaseDuration{2400};
    /// Leaves the next coordinator the duration of a coordinator lease to take over.
    milliseconds renewInterval{600};
    milliseconds outageLeaseDuration{10000}; ///< of a grant while the store is unreachable
    milliseconds retryDelay{250}; ///< before an unanswered command is sent again
    /// Of a grant, from issuing it until its deadline: for two round trips, one of which
    /// establishes the connection.
    milliseconds grantTimeout{200};
    milliseconds maxNetworkDelay{50}; ///< from sending a packet until the target receives it
};

/// \param targets the number of targets of the service
/// \param maxLeaseDuration the longest lease duration that the platform's operators allow
/// \returns longer leases for many targets, since one VM renews all grants, but never above
/// \a maxLeaseDuration.
coordinator_timing timingFor(std::int64_t targets, milliseconds maxLeaseDuration);

/// \returns the longest time from the sending of a grant until it has certainly expired.
milliseconds longestGrantValidity(const coordinator_timing &timing);

/// \class range_coordinator
/// \brief Decides which target owns which keys, and ensures that every key has at most one owner.
///
/// Invariant: while the recorded map names a target as the owner of keys, no other target may own
/// them. A new owner is recorded only after the previous owner has released the keys or its last
/// grant has certainly expired. The new owner gets its first grant only after it was recorded.
///
/// No I/O; not thread-safe. The caller passes the present time.
///
/// \code
/// range_coordinator coordinator(timing, owners, unsettled, now);
/// for (const range_command &command : coordinator.step(views, leaseEnd, now))
///     send(command);
/// if (coordinator.hasUnrecordedChanges()) {
///     write(coordinator.prepareRecord(nextFencingToken));
///     coordinator.confirmRecord(now);
/// }
/// \endcode
/// \sa planMoves()
class range_coordinator
{
public:
    /// \param recorded the map that the previous coordinator recorded
    /// \param unsettled whether grants of the previous coordinator may still be in force
    range_coordinator(coordinator_timing timing, const std::vector<range_owner> &recorded,
                      bool unsettled, time_point now);

    /// Counts a request for \a key, as input to the planning of moves.
    void addRequest(shard_key key, time_point now) { m_load.add(key, now); }

    /// \returns the target that owns \a key, or empty while its owner changes.
    std::string_view ownerOf(shard_key key) const;

    /// Advances the state machine; to be called periodically.
    /// \param leaseEnd when this VM's coordinator lease expires; no grant is sent from then on
    /// \returns the commands to send now
    std::vector<range_command> step(const owner_views &views, time_point leaseEnd, time_point now);

    /// Processes the answer to a command, or its time-out.
    /// \param handover the token that the target returned for a completed release
    void onCommandFinished(command_id number, command_outcome outcome, std::string_view handover,
                           time_point now);

    /// Extends the leases for a store outage: renews the grant of every owner once with the outage
    /// lease duration.
    void extendLeasesForOutage(time_point now);

    /// \returns whether a new owner or fencing token is waiting to be recorded.
    bool hasUnrecordedChanges() const;
    /// \returns the map to record. New owners get no grant until confirmRecord() is called.
    /// \param nextFencingToken the next unused fencing token, incremented for every changed range
    std::vector<range_owner> prepareRecord(std::uint64_t &nextFencingToken);
    /// Confirms that the store contains the map that prepareRecord() returned last.
    void confirmRecord(time_point now);

    /// \returns the map for routing requests: without a target where the owner changes.
    range_map routingMap(time_point now) const;
    /// \returns a number that increases whenever routingMap() changes.
    std::uint64_t revision() const { return m_revision; }

private:
    enum class phase {
        Held, ///< recorded and granted; the grant is renewed
        Granting, ///< recorded; the first grant is not confirmed yet
        Releasing, ///< being released, until the owner confirms it or its last grant expires
        Free, ///< waits until a new owner, or a new fencing token of its owner, can be recorded
        Recording ///< the new owner or fencing token is being written to the store
    };
    struct range_state
    {
        range_owner owner;
        phase state = phase::Held;
        std::int64_t nextIncarnation = 0; ///< of the owner, if it has restarted, else 0
        std::string plannedTarget; ///< the planned new owner, or empty for any
        time_point grantExpiresAt{}; ///< when all its grants have certainly expired
        time_point previousGrantExpiresAt{}; ///< the same without the pending command
        /// When all unconfirmed grants have certainly expired.
        time_point unconfirmedUntil{};
        /// The same for unconfirmed grants with lower fencing tokens.
        time_point previousUnconfirmedUntil{};
        bool isRefencing = false; ///< the same owner gets a new fencing token
        std::string targetAfterRefence; ///< the planned new owner after that
        /// The same after the owner has answered a release; not confirmed since.
        bool triedRefenceAfterRelease = false;
        time_point nextCommandAt{};
        time_point unansweredSince{}; ///< sending of the first unanswered renewal in a row
        command_id pendingCommand = 0; ///< 0 for none
        time_point commandSentAt{};
        bool usesOutageLease = false;
        /// A release is unanswered or an unconfirmed grant may outlast it, so the keys may stay
        /// unserved until grantExpiresAt.
        bool mayWaitForExpiry = false;
    };

    void fillGaps(time_point now);
    void abandonCommand(range_state &range);
    void markFree(range_state &range);
    void releaseOrRefence(range_state &range, const std::string &to, time_point now);
    void startRelease(range_state &range, const std::string &to, time_point now);
    void startRefence(range_state &range, const std::string &to);
    static bool hasUnconfirmedGrant(const range_state &range, time_point now);
    void confirmGrant(range_state &range, time_point now);
    void reclaimIfOwnerUnfit(range_state &range, const owner_views &views, time_point now);
    void reclaimFromNextIncarnation(range_state &range, std::int64_t incarnation, time_point now);
    void startPlannedMoves(const owner_views &views, time_point now);
    void startMove(key_range keys, const std::string &to, time_point now);
    void chooseOwners(const owner_views &views, time_point now);
    void appendGrant(range_state &range, time_point now, std::vector<range_command> &commands);
    void appendRelease(range_state &range, time_point now, std::vector<range_command> &commands);
    void mergeAdjacentRanges();
    void recordResponse(const std::string &target, bool answered, time_point now);
    bool isEligible(const std::string &target, const owner_view &view, time_point now) const;
    void bumpRevision() { ++m_revision; }
    /// \returns how long after it was issued a grant may be in force.
    milliseconds maxGrantValidity(milliseconds leaseDuration) const;

    coordinator_timing m_timing;
    std::vector<range_state> m_ranges; ///< in the order of keys
    /// By target: when the first of its consecutive unanswered commands timed out.
    std::map<std::string, time_point, std::less<>> m_targetUnansweredSince;
    key_load m_load;
    command_id m_lastCommand = 0;
    std::uint64_t m_revision = 1;
    time_point m_nextPlanAt{};
};

} // namespace damaskward
