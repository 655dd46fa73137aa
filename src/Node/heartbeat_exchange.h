/// \file
/// \brief The exchange of heartbeats among VMs through relays.

#pragma once

#include "../Core/time.h"
#include "../Fleet/heartbeat.h"
#include "../Fleet/membership.h"
#include "../Fleet/roster.h"
#include "peer_message.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// \class heartbeat_exchange
/// \brief Keeps the membership up to date. Performs I/O only through its callbacks; not
/// thread-safe.
///
/// A VM sends its heartbeats to two relays, the highest-ranked VMs of its data centre. A relay
/// sends each VM that it hears from an update with what it knows of the fleet. Relays send updates
/// on their data centre to the relays of the others. So the messages that a VM sends and receives
/// do not grow with the fleet, except at relays, where they grow with the data centre.
///
/// Any VM acts as a relay for those that send it heartbeats, so VMs need not agree on who the
/// relays are. A relay that sends no updates is replaced by the next one in rank.
///
/// A coordinator, and a VM that shuts down, also send heartbeats to the relays of other data
/// centres, as others must act on them within a second. A VM that knows no live VM of its data
/// centre asks others for an introduction.
///
/// \code
/// heartbeat_exchange exchange(members, seeds, ownState, ownLoads, send);
/// exchange.tick(now);
/// exchange.handle(update, fromIp, now);
/// \endcode
/// \sa membership, roster
class heartbeat_exchange
{
public:
    /// Interval of heartbeats, and of updates inside a data centre.
    static constexpr milliseconds interval{200};
    /// Number of relays that a VM sends heartbeats to.
    static constexpr std::size_t relayCount = 2;
    /// The role whose ranking selects relays. The store reader has the highest rank for it, so the
    /// state that it announces reaches all VMs directly.
    static constexpr const char *relayRole = "reader";

    /// \returns this VM's state for its next heartbeat.
    using state_source = std::function<heartbeat(time_point now)>;
    /// \returns by service the number of requests per slot at this data centre's targets.
    using load_source = std::function<std::map<std::string, double>(time_point now)>;
    /// Sends a message to VMs.
    using message_sender =
        std::function<void(const std::vector<std::string> &ips, const peer_message &message)>;

    /// \param seedIps VMs to ask for an introduction; they may no longer exist
    heartbeat_exchange(membership &members, std::vector<std::string> seedIps, state_source state,
                       load_source loads, message_sender send);

    /// Sends heartbeats and updates. To be called once per interval.
    void tick(time_point now);
    /// Sends heartbeats out of turn, after a change that others must learn of at once.
    void sendHeartbeats(time_point now);
    /// Replaces the VMs to ask for an introduction, and asks those that are not known to be alive.
    void setSeeds(std::vector<std::string> ips, time_point now);

    /// Processes a heartbeat.
    /// \returns whether its incarnation differs from the known one, also for an unknown VM.
    bool handle(const heartbeat &beat, const std::string &fromIp, time_point now);
    /// Processes an update of a relay.
    void handle(const member_update &update, const std::string &fromIp, time_point now);
    /// Processes the version that a recipient of this VM's updates has.
    void handle(const roster_ack &ack, const std::string &fromIp);

    /// \returns by target the unanswered requests of this data centre's other VMs, as far as known.
    std::map<std::uint32_t, std::int32_t> requestsElsewhere(time_point now) const;

private:
    /// A VM that this VM sends updates to.
    struct recipient
    {
        std::string ip;
        std::int64_t incarnation = 0;
        std::uint64_t version = 0; ///< of the roster, as far as acknowledged
        bool wantsRequests = false;
        std::vector<packed_requests> inFlight; ///< its own, from its last heartbeat
        time_point heardAt{}; ///< last heartbeat that asked for updates
    };

    /// A relay of another data centre.
    struct remote_relay
    {
        std::uint64_t version = 0; ///< of this VM's local roster, as far as acknowledged
        time_point heardAt{}; ///< its last digest
    };

    /// A relay of this VM.
    struct relay
    {
        time_point chosenAt{};
        time_point answeredAt{}; ///< its last update
        time_point avoidUntil{}; ///< it did not answer
    };

    bool isRelay(time_point now) const;
    std::vector<const member *> chooseRelays(time_point now);
    std::vector<const member *> chooseLost(bool hasRelay, time_point now) const;
    std::vector<std::string> remoteRelayIps(time_point now) const;
    std::vector<std::string> relayIpsOf(const std::string &dc, time_point now) const;
    void sendUpdates(time_point now);
    void sendUpdateTo(const recipient &to, time_point now);
    void sendDigests(time_point now);
    void sendDigestsTo(const std::vector<std::string> &ips, time_point now);
    void askForIntroduction(time_point now);
    void sendIntroduction(const std::string &ip, time_point now);
    member_update localUpdate(std::uint64_t base, bool withRequests, time_point now) const;
    bool knowsLiveNeighbour(time_point now) const;
    std::map<std::uint32_t, std::int32_t> heardRequests(time_point now) const;

    membership &m_members;
    std::vector<std::string> m_seedIps;
    state_source m_state;
    load_source m_loads;
    message_sender m_send;

    std::size_t m_turn = 0; ///< number of ticks
    time_point m_startedAt{};
    std::map<std::string, relay> m_relays;
    std::string m_firstRelay; ///< the one whose updates contain the requests in flight
    std::map<std::string, recipient> m_recipients; ///< VMs of this data centre
    std::map<std::string, remote_relay> m_remoteRelays; ///< by address
    bool m_wasRelay = false; ///< at the previous tick
    roster m_fleetRoster;
    roster m_localRoster;
    std::map<std::string, roster_copy> m_copies; ///< by relay
    /// Of other data centres: by service the number of requests per slot.
    std::map<std::string, std::map<std::string, double>> m_centerLoads;
    std::vector<packed_requests> m_relayedRequests;
    std::vector<packed_requests> m_sentRequests; ///< in this VM's last heartbeat
    time_point m_relayedRequestsAt{};
};

} // namespace damaskward
