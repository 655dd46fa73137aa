/// \file
/// \brief The router process of one VM: connects its components to one event loop.

#pragma once

#include "../Admission/rate_limiter.h"
#include "../Fleet/membership.h"
#include "../Fleet/registration_schedule.h"
#include "../Fleet/registry_age.h"
#include "../Fleet/registry_filter.h"
#include "../Fleet/target_pool.h"
#include "../Fleet/vm_environment.h"
#include "../Fleet/warmup_probe.h"
#include "../Proxy/deadline_queue.h"
#include "../Proxy/handler_guard.h"
#include "../Proxy/http_listener.h"
#include "../Proxy/memory_report.h"
#include "../Proxy/outgoing_pool.h"
#include "../Proxy/request_log.h"
#include "../Proxy/request_router.h"
#include "../Rollout/owner_selection.h"
#include "coordinator_role.h"
#include "heartbeat_exchange.h"
#include "operator_follower.h"
#include "owner_distribution.h"
#include "peer_socket.h"
#include "platform_port.h"
#include "rollout_role.h"
#include "room_exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace damaskward {

/// \class node
/// \brief Serves callers, keeps the configuration and the registry up to date, fulfils the roles
/// assigned to this VM, and completes running requests before it shuts down.
///
/// \code
/// boost::asio::io_context loop;
/// node vm(loop, environment, makePort);
/// vm.run();
/// \endcode
class node
{
public:
    /// Creates the platform adapter, which uses this node's connection pool.
    using port_maker = std::function<platform_port(outgoing_pool &)>;

    /// \param requestIdField header field that identifies the call an answer belongs to
    /// \throws boost::system::system_error if a listening socket cannot be bound
    node(boost::asio::io_context &loop, vm_environment environment,
         const std::string &requestIdField, const port_maker &makePort);

    /// Runs the event loop until this VM has shut down. An exception that no component has confined
    /// is reported, and the loop continues.
    void run();

private:
    void start();
    void heartbeatTick();
    std::uint64_t configVersion() const;
    heartbeat ownHeartbeat(time_point now) const;
    void sendTo(const std::vector<std::string> &ips, const peer_message &message);
    void sendBytesTo(const std::vector<std::string> &ips, const std::string &bytes);
    void sendToDataCenter(const peer_message &message);
    void coordinatorTick();
    void logTick();
    bool isStoreReader(time_point now) const;
    bool hasRecentReads(time_point now) const;
    const member *followedReader(time_point now) const;
    bool shouldReadStore(time_point now);
    void syncWithReader(const heartbeat &beat, time_point heardAt, time_point now);
    void recordRegistryRead(time_point at);
    void scheduleStoreTick();
    registry_delta completeRegistry(time_point now) const;
    void applyRegistryDelta(const registry_delta &delta);
    void fetchRegistry(const std::string &ip);
    void storeTick();
    operator_events operatorEvents();
    void applyConfig(const std::shared_ptr<const deployment> &config, const std::string &text);
    void logReload(const deployment &config);
    void applyDrainedDataCenters(time_point now);
    void readTargets();
    void fetchFromPeer(const std::string &ip, const std::string &path,
                       std::function<void(const std::string &body)> done);
    void applyTargets(const row_set &rows);
    void registerSelf();
    void discoverVms();
    void rediscoverVms();
    void scheduleRediscovery();
    void handleMessage(peer_message &&message, const std::string &fromIp);
    void handleHeartbeat(const heartbeat &beat, const std::string &fromIp);
    void handleUpdate(const member_update &update, const std::string &fromIp);
    void handleOwnerMessage(const peer_message &message, const std::string &fromIp, time_point now);
    void noteMapVersion(const heartbeat &beat);
    void syncVersions(const heartbeat &beat, const std::string &fromIp);
    void sendTokenRequests();
    void applyTokenResponse(const limit_token_response &response, time_point now);
    void sendDemand(time_point now);
    void sendToCoordinator(const peer_message &message, time_point now);
    void sendRolloutState(time_point now);
    void sendCommand(const range_command &command, const std::string &address,
                     coordinator_role::command_callback done);
    std::optional<fleet_limit> limitOf(std::string_view name) const;
    void updateLimits(time_point now);
    void serveReadiness(http_exchange &exchange);
    void servePeerRequest(http_exchange &exchange);
    void serveMetrics(http_exchange &exchange);
    void updateGauges(time_point now);
    void probeWarmups(time_point now);
    void applyWarmup(const warmup_notice &notice, time_point now);
    void fetchConfig(const std::string &ip);
    bool isReady() const;
    void handleStoreAnswer(bool isSuccess, time_point now);
    void noteStoreEra(store_era era, time_point now);
    void learnStoreEra(store_era era, time_point now);
    void startShutdown();
    void continueShutdown();
    void scheduleAfter(duration span, std::function<void()> action);
    void reportFailure(std::string_view part, std::string_view error);

    boost::asio::io_context &m_loop;
    vm_environment m_environment;
    std::int64_t m_incarnation;
    request_log m_log;
    metrics m_metrics;
    handler_guard m_guard;
    deadline_queue m_deadlines;
    std::shared_ptr<memory_account> m_account;
    memory_report m_memoryReport;
    outgoing_pool m_pool;
    platform_port m_platform;
    target_pool m_targets;
    warmup_probe m_warmupProbe;
    membership m_membership;
    rate_limiter m_tokens;
    rollout_share m_rollouts;
    owner_selection m_ownerSelection;
    request_router m_router;
    room_exchange m_room;
    owner_distribution m_owners;
    coordinator_role m_coordinatorRole;
    rollout_role m_rolloutRole;
    heartbeat_exchange m_exchange;
    peer_socket m_socket;
    http_listener m_callerListener;
    http_listener m_readinessListener;
    http_listener m_peerListener;
    http_listener m_metricsListener;
    boost::asio::signal_set m_signals;

    operator_follower m_operators;
    registration_schedule m_registration;
    bool m_discoveryStarted = false; ///< it repeats by itself
    std::string m_configText; ///< the active configuration, in the form that peers fetch
    bool m_fetchingConfig = false;
    bool m_fetchingRegistry = false;
    registry_replica m_registryReplica;
    registry_age m_registryAge;
    bool m_readingTargets = false;
    time_point m_targetsRequestedAt{};
    time_point m_targetsReadAt{}; ///< start of this VM's own last successful read of the registry
    int m_heartbeatCount = 0;
    std::uint64_t m_loggedMalformed = 0; ///< messages of peers, as far as logged
    std::uint64_t m_loggedUnsent = 0; ///< messages to peers above the limits, as far as logged
    time_point m_tokenRetryAt{}; ///< when unanswered token requests are sent again
    time_point m_storeAnsweredAt{}; ///< last success of this VM or of its store reader
    /// Until then, records may be missing from the store, which was away or restored.
    time_point m_recoveringUntil{};
    bool m_storeUnreachable = false;
    store_era m_storeEra = 0; ///< the newest known, 0 before the first answer
    time_point m_startedAt{};
    time_point m_readerMissingSince{}; ///< since when this VM has no store reader to follow
    time_point m_storeRetryAt{}; ///< earliest time of the next read, after failed reads
    milliseconds m_storeBackoff{0}; ///< set by the last failed read, else 0
    bool m_shuttingDown = false;
    time_point m_shutdownDeadline{};
    time_point m_shutdownStepAt{}; ///< when continueShutdown() is due
};

} // namespace damaskward
