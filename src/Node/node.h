/// \file
/// \brief One VM's process on a platform: joins the parts round one event loop.

#pragma once

#include "../Admission/token_desk.h"
#include "../Fleet/peer_book.h"
#include "../Fleet/target_book.h"
#include "../Fleet/vm_environment.h"
#include "../Proxy/deadline_queue.h"
#include "../Proxy/http_listener.h"
#include "../Proxy/outgoing_pool.h"
#include "../Proxy/request_log.h"
#include "../Proxy/request_router.h"
#include "keeper_seat.h"
#include "peer_socket.h"
#include "platform_port.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace damaskward {

/// \class node
/// \brief Serves callers, follows the configuration and the registry, takes its part in the
/// fleet's duties, and stops without cutting a request.
///
/// \code
/// boost::asio::io_context loop;
/// node vm(loop, environment, makePort);
/// loop.run();
/// \endcode
class node
{
public:
    /// Makes the adapter to the platform on this node's connections.
    using port_maker = std::function<platform_port(outgoing_pool &)>;

    /// \param requestIdField the field that identifies a call in its answer
    /// \throws boost::system::system_error when an address cannot be listened at
    node(boost::asio::io_context &loop, vm_environment environment,
         const std::string &requestIdField, const port_maker &makePort);

private:
    void begin();
    void beatTick();
    std::uint64_t configVersion() const;
    peer_beat ownBeat(time_point now) const;
    void sendBeats();
    void sendDigests(const peer_beat &self, time_point now);
    void heardDigest(const peer_digest &digest, const std::string &fromIp);
    void sumInFlight(time_point now);
    void sendNear(const peer_message &message);
    void keeperTick();
    void logTick();
    bool readsForOthers(time_point now) const;
    bool readsWell(time_point now) const;
    const peer_state *readerFollowed(time_point now) const;
    bool readsItself(time_point now);
    void followReader(const peer_beat &beat, time_point now);
    void followRegistry(const registry_delta &delta);
    void fetchRegistry(const std::string &ip);
    void storeTick();
    void readOperators();
    void followOperators(table_revision after);
    void applyOperatorRows(const row_set &rows);
    void applyOperatorRow(const table_row &row);
    void logReload(const deployment &config);
    void applyOut();
    void readTargets();
    void callPeer(const std::string &ip, const std::string &path,
                  std::function<void(const std::string &body)> done);
    void applyTargets(const row_set &rows);
    void registerSelf();
    void readPeers();
    void readPeersAgain();
    void received(peer_message &&message, const std::string &fromIp);
    void heard(const peer_beat &beat, const std::string &fromIp);
    void takeOwners(const owner_update &update);
    void publishOwners(const owner_update &update);
    void takeShares(const owner_shares &shares, time_point now);
    void publishShares(const owner_shares &shares);
    void sendToAll(const std::string &bytes);
    void sendDraws();
    void takeTokens(const token_grant &grant, time_point now);
    void sendDemand(time_point now);
    void sendOrder(const range_order &order, const std::string &address,
                   keeper_seat::order_callback done);
    std::optional<fleet_limit> limitOf(std::string_view name) const;
    void updateLimits(time_point now);
    void serveReady(http_exchange &exchange);
    void servePeer(http_exchange &exchange);
    void serveMetrics(http_exchange &exchange);
    void gaugeState(time_point now);
    void fetchConfig(const std::string &ip);
    bool ready() const;
    void storeAnswered(bool good, time_point now);
    void drain();
    void finishDrain();
    void after(duration span, std::function<void()> action);

    boost::asio::io_context &m_loop;
    vm_environment m_environment;
    std::int64_t m_incarnation;
    deadline_queue m_deadlines;
    request_log m_log;
    metrics m_metrics;
    outgoing_pool m_pool;
    platform_port m_platform;
    target_book m_targets;
    peer_book m_peers;
    token_desk m_tokens;
    request_router m_router;
    keeper_seat m_seat;
    peer_socket m_socket;
    http_listener m_front;
    http_listener m_ready;
    http_listener m_peerListener;
    http_listener m_metricsListener;
    boost::asio::signal_set m_signals;

    std::set<data_center_id> m_out;
    std::string m_configText; ///< the configuration in force, as peers fetch it
    bool m_fetching = false;
    bool m_fetchingRegistry = false;
    registry_relay m_relay;
    bool m_followingOperators = false; ///< a read or a wait for operators' rows is under way
    bool m_readingTargets = false;
    std::uint64_t m_operatorRevision = 0;
    time_point m_targetsReadAt{};
    time_point m_targetsGoodAt{}; ///< the last reading of the registry by this VM itself
    time_point m_operatorsGoodAt{}; ///< the same of the operators' rows
    owner_update m_owners;
    std::uint64_t m_sharesVersion = 0;
    std::string m_ownersBytes;
    int m_beatCount = 0;
    time_point m_drawsRepeatAt{}; ///< when unanswered draws are looked for again
    time_point m_storeGoodAt{}; ///< the last good answer of the store
    time_point m_storeBackAt{}; ///< the first good answer after an outage
    bool m_storeLost = false;
    time_point m_begunAt{};
    time_point m_noReaderSince{}; ///< since when no other VM reads the store for this one
    time_point m_storeRetryAt{}; ///< not before this point, after failed readings
    milliseconds m_storePause{0}; ///< after the last failed reading
    milliseconds m_registerPause{0}; ///< after the last failed attempt to register
    bool m_draining = false;
    time_point m_drainEnd{};
};

} // namespace damaskward
