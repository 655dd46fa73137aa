#include "node.h"

#include <boost/beast/http/verb.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>

namespace damaskward {
namespace {

constexpr milliseconds heartbeatInterval = heartbeat_exchange::interval;
constexpr milliseconds coordinatorInterval{50};
constexpr milliseconds logFlushInterval{200};
/// Interval of registry reads. A draining target accepts new work for two seconds only, so the
/// interval stays well below that.
constexpr milliseconds registryReadInterval{750};
constexpr milliseconds minRetryBackoff{250};
constexpr milliseconds maxRetryBackoff{2000};
/// Takeover delay per rank when a data centre has no store reader. It covers one read and the
/// heartbeat that announces it, so that the VMs start reading one after the other.
constexpr milliseconds readerTakeoverDelay{500};
/// Within this time after its start a VM has received heartbeats from the other VMs, if any exist.
constexpr milliseconds discoveryTime{600};
constexpr milliseconds rediscoveryInterval{10000};
/// The same within startTime, when many VMs may have started at once.
constexpr milliseconds startRediscoveryInterval{2000};
constexpr milliseconds startTime{4000};
/// The store is considered unreachable after this time without a successful answer.
constexpr milliseconds storeUnreachableAfter{2000};
/// The registry is outdated after this time without a successful answer of the store, here or at
/// the store reader: two reads have failed or are missing.
constexpr milliseconds registryStaleAfter{1500};
/// Targets whose records expired during a store outage, or were lost by its restore, need this long
/// after its end to write them again.
constexpr milliseconds recordRecoveryTime{2000};
/// Fraction of the operators' bounds on retries that this router uses.
constexpr double usedBoundShare = 0.7;
/// A VM that is shutting down accepts connections for this long, because the platform needs two
/// readiness checks to notice it.
constexpr milliseconds shutdownAcceptTime{2300};
constexpr milliseconds shutdownMargin{500};
/// A VM that is shutting down closes a connection that has been idle for this long. The first
/// request of a new connection follows within it.
constexpr milliseconds shutdownIdleTime{200};
/// Targets answer a release only when the running work on the keys has ended.
constexpr milliseconds releaseTimeout{1500};
constexpr const char *vmRowPrefix = "vm/";
constexpr const char *configPath = "/config";
constexpr const char *registryPath = "/registry";
constexpr const char *metricsPath = "/metrics";
/// Role name of the store reader, the VM that reads the store for its data centre. Input of the
/// hash that selects this VM.
constexpr const char *storeReaderRole = heartbeat_exchange::relayRole;
/// A store reader is no longer followed after this time without a heartbeat: three heartbeats.
constexpr milliseconds readerTimeout{700};
/// The operators' rows of a store reader are outdated this long after the end of a long poll.
constexpr milliseconds operatorRowsMargin{1300};

/// Fraction of a team's tolerated overshoot that a new token bucket contains at its start. Within
/// one window the bucket may move to another VM and back, which uses two thirds; the last third is
/// left for tokens that are spent late.
constexpr double initialTokenShare = 1.0 / 3.0;

/// \returns the number of tokens in a new token bucket of \a team.
double initialTokens(const team_settings &team, const fleet_bounds &bounds)
{
    const double window = std::chrono::duration<double>(bounds.teamWindow).count();
    return initialTokenShare
        * (bounds.teamOvershoot * (team.rate * window + team.burst) + bounds.teamSlack);
}

std::int64_t wallClockMillis()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

caller_limits internalListenerLimits()
{
    return {};
}

} // namespace

node::node(boost::asio::io_context &loop, vm_environment environment,
           const std::string &requestIdField, const port_maker &makePort)
    : m_loop(loop)
    , m_environment(std::move(environment))
    , m_incarnation(wallClockMillis())
    , m_log(m_environment.name.str())
    , m_guard([this](std::string_view part, std::string_view error) { reportFailure(part, error); })
    , m_deadlines(loop, m_guard)
    , m_account(std::make_shared<memory_account>(memoryBoundsOf(m_environment.capacity)))
    , m_memoryReport(*m_account, m_metrics, m_log)
    , m_pool(loop, m_deadlines, m_guard, requestIdField, m_account->bounds().answerBytes, m_account)
    , m_platform(makePort(m_pool))
    , m_targets(m_environment.dataCenter, m_environment.bounds.drainTime)
    , m_warmupProbe(m_targets)
    , m_membership(m_environment.name.str(), m_environment.dataCenter.str(),
                   rateCapacity(m_environment.capacity))
    , m_tokens(
          m_environment.name.str(), [this](std::string_view name) { return limitOf(name); },
          [this] { return m_membership.reachableShare(mono_clock::now()); })
    , m_rollouts(m_environment.name.str(), m_environment.bounds.exposedShare > 0.0,
                 m_environment.firstStart)
    , m_ownerSelection(m_rollouts)
    , m_router(
          m_deadlines, m_guard, m_pool, m_targets, m_tokens, m_platform.headers, m_log, m_metrics,
          [this] { sendTokenRequests(); }, m_rollouts)
    , m_room(
          fleetOf(m_membership), m_targets, m_metrics, m_log, m_incarnation,
          [] { return mono_clock::now(); },
          [this](const std::string &ip, const peer_message &message) {
              m_socket.send(ip, message);
          },
          [this](time_point at) {
              m_deadlines.add(at, [this] { m_room.wake(mono_clock::now()); });
          })
    , m_owners(
          m_membership, storeReaderRole,
          [this](const std::vector<std::string> &ips, const std::string &bytes) {
              sendBytesTo(ips, bytes);
          },
          [this](const service_id &service, const range_map &map) {
              m_router.setOwners(service, map);
          },
          [this](const owner_shares &shares, time_point until) {
              m_router.ownerThrottle().setShares(shares.shares, shares.byPriority, until);
          })
    , m_coordinatorRole(
          m_platform.store, m_platform.ownTable,
          [this](const range_command &command, const std::string &address,
                 coordinator_role::command_callback done) {
              sendCommand(command, address, std::move(done));
          },
          m_targets, m_membership, m_log, m_incarnation, m_environment.bounds.maxLeaseDuration,
          m_environment.firstStart, [] { return mono_clock::now(); },
          [this](const owner_update &update) { m_owners.publish(update, mono_clock::now()); },
          [this](const owner_shares &shares) { m_owners.publish(shares, mono_clock::now()); },
          [this](const service_id &service, time_point now) {
              return m_ownerSelection.excluded(service, m_targets, now);
          })
    , m_rolloutRole(
          m_platform, m_rollouts, m_log, [] { return mono_clock::now(); },
          [this](const service_id &service, const std::string &version) {
              const service_settings *settings =
                  m_router.config() ? m_router.config()->service(service) : nullptr;
              return !settings || !settings->keyed
                  || owner_selection::ownsAll(
                      version, m_coordinatorRole.ownersOf(service, mono_clock::now()), m_targets);
          },
          [this](const rollout_notices &notices) {
              m_rollouts.apply(notices, mono_clock::now());
              sendBytesTo(m_owners.recipients(mono_clock::now()), encodeMessage(notices));
          })
    , m_exchange(
          m_membership, m_environment.seedIps, [this](time_point now) { return ownHeartbeat(now); },
          [this](time_point now) { return m_targets.localLoads(now); },
          [this](const std::vector<std::string> &ips, const peer_message &message) {
              sendTo(ips, message);
          })
    , m_socket(loop, m_guard, m_environment.ip, m_environment.peerPort,
               [this](peer_message &&message, const std::string &ip) {
                   handleMessage(std::move(message), ip);
               })
    , m_callerListener(
          loop, m_deadlines, m_guard, m_environment.callerAddress,
          [this] { return m_router.config() ? m_router.config()->limits : caller_limits{}; },
          [this](std::shared_ptr<http_exchange> exchange) { m_router.serve(std::move(exchange)); },
          m_account)
    , m_readinessListener(
          loop, m_deadlines, m_guard, m_environment.readyAddress, internalListenerLimits,
          [this](const std::shared_ptr<http_exchange> &exchange) { serveReadiness(*exchange); })
    , m_peerListener(
          loop, m_deadlines, m_guard,
          m_environment.ip + ":" + std::to_string(m_environment.peerPort), internalListenerLimits,
          [this](const std::shared_ptr<http_exchange> &exchange) { servePeerRequest(*exchange); })
    , m_metricsListener(
          loop, m_deadlines, m_guard,
          m_environment.ip + ":" + std::to_string(m_environment.metricsPort),
          internalListenerLimits,
          [this](const std::shared_ptr<http_exchange> &exchange) { serveMetrics(*exchange); })
    , m_signals(loop, SIGTERM, SIGINT)
    , m_operators(m_platform, m_guard, m_log, operatorEvents())
    , m_registration(m_environment.name.str())
    , m_registryReplica(m_environment.name.str(), static_cast<std::uint64_t>(m_incarnation))
    , m_registryAge(m_environment.bounds.drainTime)
{
    start();
}

/// \returns the handlers of what the operators' rows say.
operator_events node::operatorEvents()
{
    operator_events events;
    events.config = [this](const std::shared_ptr<const deployment> &config,
                           const std::string &text) { applyConfig(config, text); };
    events.rollout = [this](const rollout_request &request) {
        m_rollouts.addRequest(request, mono_clock::now());
        sendToDataCenter(m_rollouts.notices(mono_clock::now()));
    };
    events.drains = [this](time_point now) { applyDrainedDataCenters(now); };
    events.storeAnswer = [this](bool isSuccess, time_point now) {
        handleStoreAnswer(isSuccess, now);
    };
    events.era = [this](store_era era, time_point now) { noteStoreEra(era, now); };
    events.isFollowedElsewhere = [this](time_point now) { return followedReader(now) != nullptr; };
    return events;
}

void node::start()
{
    m_log.write(log_line("start")
                    .add("dataCenter", m_environment.dataCenter.str())
                    .add("callers", m_environment.callerAddress)
                    .add("store", m_environment.storeAddress));
    m_signals.async_wait([this](boost::system::error_code error, int) {
        if (!error) {
            m_guard.run("shutdown", [this] { startShutdown(); });
        }
    });
    m_startedAt = mono_clock::now();
    m_router.setCapacitySource(m_room);
    updateLimits(m_startedAt);
    storeTick();
    heartbeatTick();
    coordinatorTick();
    logTick();
}

void node::run()
{
    while (!m_guard.run("event loop", [this] { m_loop.run(); })) { }
}

void node::scheduleAfter(duration span, std::function<void()> action)
{
    m_deadlines.add(mono_clock::now() + span, std::move(action));
}

void node::reportFailure(std::string_view part, std::string_view error)
{
    m_metrics.count("handler_failures");
    m_log.write(log_line("handler failed").add("part", part).add("error", error));
}

// Heartbeats and roles.

void node::heartbeatTick()
{
    // Scheduled first, and each step in its own guard, so that a failed step stops no other.
    scheduleAfter(heartbeatInterval, [this] { heartbeatTick(); });
    const time_point now = mono_clock::now();
    m_guard.run("target state", [&] {
        m_targets.setPeerInFlight(m_exchange.requestsElsewhere(now));
        applyDrainedDataCenters(now); // Those remembered from before a restore end with time.
    });
    constexpr int heartbeatsPerLimitUpdate = 5;
    if (m_heartbeatCount++ % heartbeatsPerLimitUpdate == 0) {
        m_guard.run("limits", [&] { updateLimits(now); });
    }
    m_guard.run("demand", [&] { sendDemand(now); });
    m_guard.run("roll-outs", [&] { sendRolloutState(now); });
    m_guard.run("heartbeat", [&] { m_exchange.tick(now); });
    m_guard.run("token requests", [this] { sendTokenRequests(); });
    m_guard.run("target capacity", [&] { m_room.tick(now); });
    m_guard.run("warm-up probes", [&] { probeWarmups(now); });
    m_router.setConfigStale(!m_router.config()
                            || now >= m_storeAnsweredAt + m_environment.bounds.contactTimeout);
}

std::uint64_t node::configVersion() const
{
    return m_router.config() ? m_router.config()->version : 0;
}

/// \returns the heartbeat for the VMs of this data centre.
heartbeat node::ownHeartbeat(time_point now) const
{
    heartbeat beat;
    beat.name = m_environment.name.str();
    beat.dataCenter = m_environment.dataCenter.str();
    beat.ip = m_environment.ip;
    beat.incarnation = m_incarnation;
    beat.configVersion = configVersion();
    beat.mapVersion = m_owners.version();
    beat.newestMapVersion = m_owners.newestVersion();
    beat.coordinatorVersion = m_coordinatorRole.leaseVersion(now);
    beat.storeEra = m_storeEra;
    beat.isShuttingDown = m_shuttingDown;
    beat.rating = m_membership.rating();
    beat.inFlight = m_targets.ownInFlight();
    beat.readsStore = hasRecentReads(now);
    beat.registryAgeMillis = beat.readsStore ? toMillis(now - m_targetsReadAt) : 0;
    beat.registryVersion = m_registryReplica.version();
    beat.operatorPosition = m_operators.view().position();
    for (const data_center_id &dc : m_operators.view().drained(now)) {
        beat.drainedDataCenters.push_back(dc.str());
    }
    return beat;
}

void node::sendTo(const std::vector<std::string> &ips, const peer_message &message)
{
    if (!ips.empty()) {
        sendBytesTo(ips, encodeMessage(message));
    }
}

void node::sendBytesTo(const std::vector<std::string> &ips, const std::string &bytes)
{
    for (const std::string &ip : ips) {
        m_socket.sendBytes(ip, bytes);
    }
}

void node::sendToDataCenter(const peer_message &message)
{
    const std::string bytes = encodeMessage(message);
    for (const auto &[name, peer] : m_membership.members()) {
        if (peer.lastHeartbeat.dataCenter == m_environment.dataCenter.str()) {
            m_socket.sendBytes(peer.lastHeartbeat.ip, bytes);
        }
    }
}

void node::coordinatorTick()
{
    m_guard.run("coordinator", [this] {
        m_coordinatorRole.tick(mono_clock::now());
        learnStoreEra(m_coordinatorRole.storeEra(), mono_clock::now());
    });
    const bool isCoordinator = m_coordinatorRole.isCoordinator(mono_clock::now());
    m_guard.run("roll-outs", [&] {
        m_rolloutRole.tick(isCoordinator, m_coordinatorRole.epoch(), mono_clock::now());
    });
    scheduleAfter(isCoordinator ? coordinatorInterval : heartbeatInterval,
                  [this] { coordinatorTick(); });
}

void node::logTick()
{
    scheduleAfter(logFlushInterval, [this] { logTick(); });
    if (const std::uint64_t malformed = m_socket.counts().malformedCount;
        malformed > m_loggedMalformed) {
        m_log.write(log_line("malformed message").add("count", malformed - m_loggedMalformed));
        m_loggedMalformed = malformed;
    }
    if (const std::uint64_t unsent = m_socket.counts().unsentCount; unsent > m_loggedUnsent) {
        m_log.write(log_line("message above the limits").add("count", unsent - m_loggedUnsent));
        m_loggedUnsent = unsent;
    }
    m_memoryReport.writeLog();
    m_log.flush();
}

void node::handleMessage(peer_message &&message, const std::string &fromIp)
{
    const time_point now = mono_clock::now();
    if (m_room.handle(message, now)) {
        return;
    }
    if (const auto *beat = std::get_if<heartbeat>(&message)) {
        handleHeartbeat(*beat, fromIp);
    } else if (const auto *demand = std::get_if<key_demand>(&message)) {
        m_coordinatorRole.recordDemand(*demand, now);
    } else if (const auto *tokenRequest = std::get_if<peer_token_request>(&message)) {
        if (const auto response = m_tokens.handleRequest(tokenRequest->request, now)) {
            m_socket.send(fromIp, *response);
        }
    } else if (const auto *response = std::get_if<limit_token_response>(&message)) {
        applyTokenResponse(*response, now);
    } else if (const auto *delta = std::get_if<registry_delta>(&message)) {
        applyRegistryDelta(*delta);
    } else if (const auto *memberUpdate = std::get_if<member_update>(&message)) {
        handleUpdate(*memberUpdate, fromIp);
    } else if (const auto *ack = std::get_if<roster_ack>(&message)) {
        m_exchange.handle(*ack, fromIp);
    } else if (const auto *notice = std::get_if<warmup_notice>(&message)) {
        applyWarmup(*notice, now);
    } else if (const auto *notices = std::get_if<rollout_notices>(&message)) {
        if (m_rollouts.apply(*notices, now) && isStoreReader(now)) {
            sendToDataCenter(*notices);
        }
    } else if (const auto *evidence = std::get_if<rollout_evidence>(&message)) {
        m_rolloutRole.add(*evidence);
    } else {
        handleOwnerMessage(message, fromIp, now);
    }
}

void node::handleOwnerMessage(const peer_message &message, const std::string &fromIp,
                              time_point now)
{
    if (const auto *update = std::get_if<owner_update>(&message)) {
        m_owners.handle(*update, now);
    } else if (const auto *delta = std::get_if<owner_delta>(&message)) {
        m_owners.handle(*delta, fromIp, now);
    } else if (const auto *part = std::get_if<owner_part>(&message)) {
        m_owners.handle(*part, now);
    } else if (const auto *query = std::get_if<owner_query>(&message)) {
        m_owners.handle(*query, fromIp);
    } else if (const auto *shares = std::get_if<owner_shares>(&message)) {
        m_owners.handle(*shares, now);
    }
    m_coordinatorRole.onMapVersion(m_owners.newestVersion());
}

void node::handleHeartbeat(const heartbeat &beat, const std::string &fromIp)
{
    if (beat.name == m_environment.name.str()) {
        return;
    }
    noteMapVersion(beat); // Before the sender counts as alive.
    if (m_exchange.handle(beat, fromIp, mono_clock::now())) {
        m_log.write(log_line("peer").add("name", beat.name).add("ip", fromIp));
    }
    syncVersions(beat, fromIp);
}

/// Processes a relay's update. The sender's state counts like a heartbeat.
void node::handleUpdate(const member_update &update, const std::string &fromIp)
{
    const time_point now = mono_clock::now();
    noteMapVersion(update.sender); // Before the VMs that it reports count as alive.
    m_exchange.handle(update, fromIp, now);
    syncVersions(update.sender, fromIp);
    for (const relayed_heartbeat &relayed : update.relayed) {
        learnStoreEra(relayed.beat.storeEra, now);
        noteMapVersion(relayed.beat);
        syncWithReader(relayed.beat, now - boundedAge(relayed.ageMillis), now);
    }
    for (const center_state &center : update.centers) {
        if (center.name != m_environment.dataCenter.str()) {
            m_targets.setRemoteLoads(data_center_id(center.name), center.loads,
                                     now - boundedAge(center.ageMillis));
        }
    }
}

void node::noteMapVersion(const heartbeat &beat)
{
    m_owners.noteVersions(beat);
    m_coordinatorRole.onMapVersion(m_owners.newestVersion());
}

/// Gets what the sender of a heartbeat or an update has in a newer version.
void node::syncVersions(const heartbeat &beat, const std::string &fromIp)
{
    const time_point now = mono_clock::now();
    learnStoreEra(beat.storeEra, now);
    m_owners.queryIfNewer(beat, fromIp, now);
    if (beat.configVersion > configVersion()) {
        fetchConfig(fromIp);
    }
    syncWithReader(beat, now, now);
}

void node::sendDemand(time_point now)
{
    const key_demand demand = m_router.takeDemand();
    if (demand.empty()) {
        return;
    }
    if (m_coordinatorRole.isCoordinator(now)) {
        m_coordinatorRole.recordDemand(demand, now);
    } else {
        sendToCoordinator(demand, now);
    }
}

void node::sendToCoordinator(const peer_message &message, time_point now)
{
    for (const auto &[name, peer] : m_membership.members()) {
        if (peer.lastHeartbeat.coordinatorVersion != 0 && membership::isAlive(peer, now)) {
            m_socket.send(peer.lastHeartbeat.ip, message);
            return;
        }
    }
}

/// Sends the coordinator what this VM has counted of roll-outs, and the VMs of this data centre
/// which roll-outs there are.
void node::sendRolloutState(time_point now)
{
    m_rollouts.noteTargets(m_targets, now);
    m_coordinatorRole.setNeeded(m_rollouts.needsCoordinator(now));
    for (const rollout_evidence &evidence : m_rollouts.evidence()) {
        if (m_coordinatorRole.isCoordinator(now)) {
            m_rolloutRole.add(evidence);
        } else {
            sendToCoordinator(evidence, now);
        }
    }
    constexpr int heartbeatsPerResult = 5; // Results are only for VMs that have just started.
    const bool isDue = m_rollouts.runningCount() > 0 || m_heartbeatCount % heartbeatsPerResult == 0;
    if (const rollout_notices notices = m_rollouts.notices(now);
        isDue && !notices.rollouts.empty() && isStoreReader(now)) {
        sendToDataCenter(notices);
    }
}

void node::sendCommand(const range_command &command, const std::string &address,
                       coordinator_role::command_callback done)
{
    outgoing_call call = m_platform.encodeCommand(command, address);
    const auto *grant = std::get_if<grant_command>(&command);
    call.deadline = grant ? grant->deadline : mono_clock::now() + releaseTimeout;
    const time_point issuedAt = mono_clock::now();
    m_pool.send(std::move(call), [this, issuedAt, done = std::move(done)](call_result &&result) {
        if (result.sentAt != time_point{}) {
            m_metrics.count("commands_sent");
            m_metrics.count("commands_queued_ms",
                            static_cast<std::uint64_t>(toMillis(result.sentAt - issuedAt)));
        } else {
            m_metrics.count("commands_unsent");
        }
        done(m_platform.decodeCommandAnswer(result));
    });
}

/// Asks targets for their warm-up state while no recent registry states it.
void node::probeWarmups(time_point now)
{
    const bool registryIsFresh = now < m_storeAnsweredAt + registryStaleAfter;
    const auto isAssigned = [this, now](const std::string &target) {
        return m_membership.roleHolderIn(m_environment.dataCenter.str(), "probe/" + target, now)
            == m_environment.name.str();
    };
    for (const std::string &name : m_warmupProbe.targetsToProbe(registryIsFresh, isAssigned, now)) {
        const target_record &record = m_targets.find(name)->record;
        const service_settings *service =
            m_router.config() ? m_router.config()->service(record.service) : nullptr;
        if (!service || service->healthPath.empty()) {
            continue;
        }
        outgoing_call call =
            m_platform.encodeHealthCheck(name, record.address, service->healthPath);
        call.deadline = now + warmup_probe::interval;
        m_pool.send(std::move(call),
                    [this, notice = warmup_notice{name, record.incarnation, {}}](
                        call_result &&result) mutable {
                        const auto left = m_platform.decodeWarmup(result, notice.target);
                        if (left && left->count() > 0) {
                            notice.left = *left;
                            m_log.write(log_line("target warms up")
                                            .add("target", notice.target)
                                            .add("ms", left->count()));
                            applyWarmup(notice, mono_clock::now());
                            sendToDataCenter(notice);
                        }
                    });
    }
}

void node::applyWarmup(const warmup_notice &notice, time_point now)
{
    target_state *target = m_targets.find(notice.target);
    if (target && target->record.incarnation == notice.incarnation) {
        target_pool::recordWarmup(*target, notice.left, now);
    }
}

// Fleet-wide limits.

std::optional<fleet_limit> node::limitOf(std::string_view name) const
{
    const std::size_t slash = name.find('/');
    const auto &config = m_router.config();
    if (!config || slash == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view rest = name.substr(slash + 1);
    if (name.substr(0, slash) == "team") {
        const team_settings *team = config->team(team_id(rest));
        if (!team || team->rate <= 0.0) {
            return std::nullopt;
        }
        return fleet_limit{team->rate, team->burst, initialTokens(*team, m_environment.bounds)};
    }
    const target_state *target = m_targets.find(rest);
    const service_settings *service = target ? config->service(target->record.service) : nullptr;
    if (!service || service->warmupRate <= 0.0) {
        return std::nullopt;
    }
    return fleet_limit{service->warmupRate, 1.0};
}

void node::updateLimits(time_point now)
{
    const double knownVms = static_cast<double>(m_membership.knownCount());
    m_router.setRetryLimits(m_environment.bounds.retryShare * usedBoundShare,
                            m_environment.bounds.retrySlack * usedBoundShare / knownVms);
    const auto isBucketOwner = [this, now](const std::string &limit) {
        return m_membership.roleHolder(limit, now) == m_environment.name.str();
    };
    m_tokens.removeBuckets(isBucketOwner);
    if (!m_router.config()) {
        return;
    }
    for (const auto &[team, settings] : m_router.config()->teams) {
        const std::string limit = "team/" + team.str();
        if (settings.rate > 0.0 && isBucketOwner(limit)) {
            m_tokens.createBucket(limit, now);
        }
    }
}

void node::sendTokenRequests()
{
    const time_point now = mono_clock::now();
    const std::vector<limit_token_request> requests = m_tokens.requestsToSend(now);
    if (!requests.empty() && now >= m_tokenRetryAt) {
        m_tokenRetryAt = now + token_cache::drawRepeat;
        scheduleAfter(token_cache::drawRepeat, [this] { sendTokenRequests(); });
    }
    for (const limit_token_request &request : requests) {
        const std::string &bucketOwner = m_membership.roleHolder(request.limit, now);
        if (bucketOwner == m_environment.name.str()) {
            if (const auto response = m_tokens.handleRequest(request, now)) {
                // Deferred, because the request that needs the tokens is still on the call stack.
                scheduleAfter(duration::zero(), [this, response = *response] {
                    applyTokenResponse(response, mono_clock::now());
                });
            }
            continue;
        }
        const auto peer = m_membership.members().find(bucketOwner);
        if (peer != m_membership.members().end()) {
            m_socket.send(peer->second.lastHeartbeat.ip,
                          peer_token_request{m_environment.name.str(), request});
        }
    }
}

void node::applyTokenResponse(const limit_token_response &response, time_point now)
{
    if (m_tokens.applyResponse(response, now)) {
        // Lets one token request cover all callers' requests that arrive meanwhile.
        constexpr microseconds minRequestInterval{5000};
        scheduleAfter(std::max(minRequestInterval, microseconds(response.answer.retryMicros)),
                      [this] { sendTokenRequests(); });
    }
}

// The store.

void node::handleStoreAnswer(bool isSuccess, time_point now)
{
    if (isSuccess) {
        if (m_storeUnreachable) {
            m_log.write(
                log_line("store reachable again").add("ms", toMillis(now - m_storeAnsweredAt)));
            m_recoveringUntil = now + recordRecoveryTime;
        }
        m_storeUnreachable = false;
        m_storeAnsweredAt = now;
        m_storeBackoff = milliseconds(0);
        return;
    }
    // Exponential backoff, so that the VMs do not flood the store during an outage.
    m_storeBackoff = std::clamp(2 * m_storeBackoff, minRetryBackoff,
                                isStoreReader(now) ? 2 * minRetryBackoff : maxRetryBackoff);
    m_storeRetryAt = now + m_storeBackoff;
    if (!m_storeUnreachable && now >= m_storeAnsweredAt + storeUnreachableAfter) {
        m_storeUnreachable = true;
        m_log.write(log_line("store unreachable").add("step", "read"));
    }
}

/// Processes the store's era.
void node::noteStoreEra(store_era era, time_point now)
{
    m_coordinatorRole.onStoreEra(era, now);
    if (era <= m_storeEra) {
        return;
    }
    if (m_storeEra != 0) {
        m_log.write(log_line("store restored from an older copy")
                        .add("era", era)
                        .add("previous", m_storeEra)
                        .add("operatorRevision", m_operators.view().position().revision)
                        .add("config", configVersion()));
        m_recoveringUntil = now + recordRecoveryTime;
        m_operators.view().noteRestored(now);
        m_registration.noteRestored(now);
    }
    m_storeEra = era;
}

/// Processes the store's era, as stated by another VM or in the answer to another call than those
/// that follow the operators' rows. Their long poll may still wait for a change in an earlier era.
void node::learnStoreEra(store_era era, time_point now)
{
    const bool isRestored = m_storeEra != 0 && era > m_storeEra;
    noteStoreEra(era, now);
    if (isRestored && m_operators.isFollowing()) {
        m_operators.read();
    }
}

bool node::isStoreReader(time_point now) const
{
    return m_membership.roleHolderIn(m_environment.dataCenter.str(), storeReaderRole, now)
        == m_environment.name.str();
}

/// \returns whether this VM's last reads are recent enough for the other VMs of the data centre to
/// use. They are not at first on a VM whose network connection was interrupted, or while records
/// may be missing from a store that was away or restored.
bool node::hasRecentReads(time_point now) const
{
    return m_targetsReadAt >= m_recoveringUntil && now < m_targetsReadAt + m_registryAge.maxAge()
        && now < m_operators.updatedAt() + operator_follower::pollTimeout + operatorRowsMargin;
}

/// \returns the store reader whose data this VM uses, or null if there is none or this VM is the
/// store reader.
const member *node::followedReader(time_point now) const
{
    const bool ownReadsFail = m_storeBackoff.count() > 0;
    if (isStoreReader(now) && !ownReadsFail) {
        return nullptr;
    }
    const member *reader =
        m_membership.storeReader(storeReaderRole, readerTimeout, m_registryAge.maxAge(), now);
    // Two VMs that have taken over must not wait for each other.
    const bool isReader = hasRecentReads(now) && !ownReadsFail;
    return reader && isReader && !m_membership.ranksBefore(*reader, storeReaderRole) ? nullptr
                                                                                     : reader;
}

/// \returns whether this VM reads the store itself now. Without a store reader the VMs of the data
/// centre try one after the other, since the reader may have failed or may be the only VM that the
/// store refuses. They do not wait longer than the age of the registry allows, whatever the store
/// reader says.
bool node::shouldReadStore(time_point now)
{
    const bool hasReader = followedReader(now) != nullptr;
    if (hasReader) {
        m_readerMissingSince = time_point{};
    } else if (m_readerMissingSince == time_point{}) {
        m_readerMissingSince = now;
    }
    if (now < m_storeRetryAt) {
        return false;
    }
    // While records may be missing from the store, the slower order by rank is enough.
    const bool isRecovering = now < m_recoveringUntil;
    if (!isRecovering
        && now >= m_registryAge.readsItselfAt(m_membership.rankWithin(storeReaderRole, now))) {
        return true;
    }
    if (hasReader) {
        return false;
    }
    const bool lacksData = !m_router.config() || m_targets.all().empty();
    if (lacksData && !m_environment.firstStart) {
        return true; // Callers may already be waiting for an answer.
    }
    const int rank = m_membership.rankWithin(storeReaderRole, now);
    const bool mayBeOnlyVm =
        rank == 0 && m_membership.members().empty() && now < m_startedAt + discoveryTime;
    return !mayBeOnlyVm && now >= m_readerMissingSince + rank * readerTakeoverDelay;
}

/// Gets what a store reader has in a newer version.
/// \param heardAt when its heartbeat was received, here or by a relay
void node::syncWithReader(const heartbeat &beat, time_point heardAt, time_point now)
{
    if (!beat.readsStore) {
        return;
    }
    const member *reader = followedReader(now);
    if (!reader || reader->lastHeartbeat.name != beat.name) {
        return;
    }
    m_storeAnsweredAt = now;
    m_storeUnreachable = false;
    std::set<data_center_id> drained;
    for (const std::string &dc : beat.drainedDataCenters) {
        drained.insert(data_center_id(dc));
    }
    if (m_operators.view().applyReaderState(std::move(drained), beat.operatorPosition)) {
        applyDrainedDataCenters(now);
    }
    if (m_registryReplica.hasVersion(beat.name, beat.registryVersion)) {
        recordRegistryRead(heardAt - boundedAge(beat.registryAgeMillis));
    } else {
        fetchRegistry(beat.ip);
    }
}

/// Records that this VM has what the store contained at \a at.
void node::recordRegistryRead(time_point at)
{
    m_registryAge.recordRead(at);
    m_targets.setRegistryReadAt(m_registryAge.readAt());
}

void node::applyRegistryDelta(const registry_delta &delta)
{
    const time_point now = mono_clock::now();
    const member *reader = followedReader(now);
    if (!reader || reader->lastHeartbeat.name != delta.reader) {
        return;
    }
    if (!m_registryReplica.applyDelta(delta)) {
        fetchRegistry(reader->lastHeartbeat.ip);
        return;
    }
    if (delta.base == 0) {
        m_targets.applyRegistry(m_registryReplica.records(), now);
    }
    for (const target_record &record : delta.changed) {
        m_targets.applyRecord(record, now);
    }
    for (const removed_target &target : delta.removed) {
        m_targets.remove(target, now);
    }
    m_rollouts.noteTargets(m_targets, now);
    if (m_registryReplica.hasVersion(delta.reader, delta.version)) {
        // Only now, since the grace period of draining targets follows from the read before.
        recordRegistryRead(now - boundedAge(delta.ageMillis));
    }
}

void node::fetchRegistry(const std::string &ip)
{
    if (m_fetchingRegistry) {
        return;
    }
    m_fetchingRegistry = true;
    fetchFromPeer(ip, registryPath, [this](const std::string &body) {
        m_fetchingRegistry = false;
        const auto message = decodeMessage(body);
        if (message && std::holds_alternative<registry_delta>(*message)) {
            applyRegistryDelta(std::get<registry_delta>(*message));
        }
    });
}

/// Schedules the next storeTick(), in time for the next read of the registry.
void node::scheduleStoreTick()
{
    const time_point now = mono_clock::now();
    time_point next = now + minRetryBackoff;
    for (const time_point due :
         {m_targetsRequestedAt + registryReadInterval,
          m_registryAge.readsItselfAt(m_membership.rankWithin(storeReaderRole, now))}) {
        next = due > now ? std::min(next, due) : next;
    }
    scheduleAfter(next - now, [this] { storeTick(); });
}

/// Periodically starts the calls of the store that no other VM makes for this one.
void node::storeTick()
{
    scheduleStoreTick();
    const time_point now = mono_clock::now();
    m_guard.run("registration", [this] { registerSelf(); });
    if (shouldReadStore(now)) {
        if (!m_operators.isFollowing()) {
            m_operators.read();
        }
        if (!m_readingTargets && now >= m_targetsRequestedAt + registryReadInterval) {
            readTargets();
        }
    }
}

/// Applies a configuration, unless it is outdated.
/// \param text its encoded form
void node::applyConfig(const std::shared_ptr<const deployment> &config, const std::string &text)
{
    if (config->version <= configVersion()) {
        return; // Versions only increase.
    }
    logReload(*config);
    m_configText = text;
    m_router.setDeployment(config);
    m_targets.setDeployment(*config, mono_clock::now());
    m_targetsRequestedAt = time_point{}; // Entries that were skipped may name one of its services.
    m_coordinatorRole.setDeployment(*config);
}

/// Logs a new configuration and the team limits that it changes.
void node::logReload(const deployment &config)
{
    const auto &previous = m_router.config();
    m_log.write(log_line("reload").add("version", config.version).add("from", configVersion()));
    for (const std::string &reason : config.setAside) {
        m_metrics.count("config_entries_set_aside");
        m_log.write(log_line("configuration entry set aside").add("reason", reason));
    }
    for (const auto &[name, team] : config.teams) {
        const team_settings *previousTeam = previous ? previous->team(name) : nullptr;
        if (!previousTeam || previousTeam->rate != team.rate || previousTeam->burst != team.burst) {
            m_log.write(log_line("limit")
                            .add("team", name.str())
                            .add("rate", team.rate)
                            .add("burst", team.burst));
        }
    }
}

void node::applyDrainedDataCenters(time_point now)
{
    m_targets.setDrainedDataCenters(m_operators.view().drained(now), now);
}

void node::fetchConfig(const std::string &ip)
{
    if (m_fetchingConfig) {
        return;
    }
    m_fetchingConfig = true;
    fetchFromPeer(ip, configPath, [this](const std::string &body) {
        m_fetchingConfig = false;
        if (!body.empty()) {
            m_operators.process({{{configPath + 1, body, 0, false}}, 0, 0});
        }
    });
}

/// Sends a GET request to another VM.
/// \param done called with the body of the answer, empty if the call failed
void node::fetchFromPeer(const std::string &ip, const std::string &path,
                         std::function<void(const std::string &body)> done)
{
    outgoing_call call;
    call.connectionKey = "peer/" + ip;
    call.isControl = true;
    call.address = ip + ":" + std::to_string(m_environment.peerPort);
    call.head = "GET " + path + " HTTP/1.1\r\nHost: " + ip + "\r\n\r\n";
    constexpr milliseconds peerFetchTimeout{1000};
    call.deadline = mono_clock::now() + peerFetchTimeout;
    m_pool.send(std::move(call), [done = std::move(done)](call_result &&result) {
        constexpr unsigned httpOk = 200;
        const bool isSuccess =
            result.failure == call_failure::None && result.answer.result_int() == httpOk;
        done(isSuccess ? result.answer.body() : std::string());
    });
}

void node::readTargets()
{
    m_readingTargets = true;
    const time_point startedAt = mono_clock::now();
    m_targetsRequestedAt = startedAt;
    m_platform.store.read(m_platform.targetTable, "", [this, startedAt](row_result &&result) {
        m_readingTargets = false;
        const auto *rows = std::get_if<row_set>(&result);
        handleStoreAnswer(rows != nullptr, mono_clock::now());
        if (rows) {
            learnStoreEra(rows->era, mono_clock::now());
            const bool isTakeover = !hasRecentReads(mono_clock::now());
            m_targetsReadAt = startedAt;
            applyTargets(*rows);
            if (isTakeover && hasRecentReads(mono_clock::now())) {
                m_exchange.sendHeartbeats(mono_clock::now()); // Saves the other VMs their reads.
            }
        }
    });
}

void node::applyTargets(const row_set &rows)
{
    const time_point now = mono_clock::now();
    std::vector<target_record> records;
    for (const table_row &row : rows.rows) {
        std::optional<target_record> record;
        m_guard.run("target row", [&] { record = m_platform.decodeTarget(row); });
        // Other VMs need no records that name no target.
        if (record && m_targets.namesServiceOf(*record)) {
            records.push_back(std::move(*record));
        } else {
            m_log.write(log_line("row skipped").add("row", row.name));
        }
    }
    records = withoutOutdated(records, m_targets);
    const bool isRecovering = now < m_recoveringUntil;
    // Must precede the addition of remembered records below, which may be outdated.
    auto delta = m_registryReplica.applyRecords(records);
    if (delta && delta->base != 0 && !isRecovering) {
        delta->ageMillis = toMillis(now - m_targetsReadAt);
        sendToDataCenter(*delta); // Other VMs fetch a full version once a heartbeat announces it.
    }
    if (isRecovering) {
        records = withRemembered(std::move(records), m_targets);
    }
    m_targets.applyRegistry(records, now);
    m_rollouts.noteTargets(m_targets, now);
    recordRegistryRead(m_targetsReadAt);
}

/// Writes this VM's own row if it is due.
void node::registerSelf()
{
    if (!m_registration.start(mono_clock::now())) {
        return;
    }
    table_transaction transaction;
    transaction.puts.push_back({vmRowPrefix + m_environment.name.str(), m_environment.ip});
    m_platform.store.commit(m_platform.ownTable, transaction, [this](commit_answer &&answer) {
        const bool isApplied = answer.outcome == commit_outcome::Applied;
        m_registration.finish(isApplied, mono_clock::now());
        if (isApplied && !m_discoveryStarted) {
            m_discoveryStarted = true;
            scheduleAfter(discoveryTime, [this] { rediscoverVms(); });
        }
    });
}

/// Reads the addresses of all VMs and asks some of those that are not known for an introduction.
void node::discoverVms()
{
    m_platform.store.read(m_platform.ownTable, vmRowPrefix, [this](row_result &&result) {
        if (const auto *rows = std::get_if<row_set>(&result)) {
            std::vector<std::string> ips;
            for (const table_row &row : rows->rows) {
                ips.push_back(row.value);
            }
            m_exchange.setSeeds(std::move(ips), mono_clock::now());
        }
        scheduleRediscovery();
    });
}

/// Looks for VMs that no VM has received a heartbeat from. Done by one VM of each data centre, and
/// by VMs that know no other VM of it.
void node::rediscoverVms()
{
    if (isStoreReader(mono_clock::now())) {
        discoverVms();
    } else {
        scheduleRediscovery();
    }
}

void node::scheduleRediscovery()
{
    const bool isStarting = mono_clock::now() < m_startedAt + startTime;
    scheduleAfter(isStarting ? startRediscoveryInterval : rediscoveryInterval,
                  [this] { rediscoverVms(); });
}

// Readiness, requests of other VMs, and shutdown.

bool node::isReady() const
{
    return !m_shuttingDown && m_router.config() && !m_targets.all().empty();
}

registry_delta node::completeRegistry(time_point now) const
{
    registry_delta registry = m_registryReplica.completeVersion();
    registry.ageMillis = m_registryAge.ageAt(now).count();
    return registry;
}

void node::serveReadiness(http_exchange &exchange)
{
    const bool isReadyPath = exchange.request().target() == m_platform.readyPath;
    exchange.answer(plainAnswer(!isReadyPath ? 404 : isReady() ? 200 : 503));
}

void node::servePeerRequest(http_exchange &exchange)
{
    http_answer answer = plainAnswer(200);
    if (exchange.request().target() == configPath) {
        answer.body() = m_configText;
    } else if (exchange.request().target() == registryPath) {
        answer.body() = encodeMessage(completeRegistry(mono_clock::now()));
    }
    if (answer.body().empty()) {
        answer = plainAnswer(404);
    }
    exchange.answer(std::move(answer));
}

void node::serveMetrics(http_exchange &exchange)
{
    if (exchange.request().target() != metricsPath) {
        exchange.answer(plainAnswer(404));
        return;
    }
    updateGauges(mono_clock::now());
    http_answer answer = plainAnswer(200);
    answer.set(boost::beast::http::field::content_type, "text/plain; version=0.0.4");
    answer.body() = m_metrics.prometheus();
    exchange.answer(std::move(answer));
}

void node::updateGauges(time_point now)
{
    double usableTargets = 0.0;
    double coldTargets = 0.0;
    double aliveVms = 1.0;
    for (const auto &[name, t] : m_targets.all()) {
        usableTargets += m_targets.isUsable(t, now) ? 1.0 : 0.0;
        coldTargets += target_pool::isWarmingUp(t, now) ? 1.0 : 0.0;
    }
    for (const auto &[name, peer] : m_membership.members()) {
        aliveVms += membership::isAlive(peer, now) ? 1.0 : 0.0;
    }
    const auto age = [now](time_point since) {
        return since == time_point{} ? -1.0 : std::chrono::duration<double>(now - since).count();
    };
    m_memoryReport.updateGauges();
    m_metrics.gauge("requests_under_way", static_cast<double>(m_router.inFlightCount()));
    m_metrics.gauge("caller_connections", static_cast<double>(m_callerListener.connectionCount()));
    m_metrics.gauge("callers_lost", static_cast<double>(m_callerListener.lostCallerCount()));
    m_metrics.gauge("connections_opened", static_cast<double>(m_pool.openedCount()));
    m_metrics.gauge("targets_usable", usableTargets);
    m_metrics.gauge("targets_cold", coldTargets);
    m_metrics.gauge("vms_alive", aliveVms);
    m_metrics.gauge("rollouts_running", m_rollouts.runningCount());
    m_metrics.gauge("vms_known", static_cast<double>(m_membership.knownCount()));
    m_metrics.gauge("config_version",
                    m_router.config() ? static_cast<double>(m_router.config()->version) : 0.0);
    m_metrics.gauge("store_answer_age_seconds", age(m_storeAnsweredAt));
    m_metrics.gauge("owners_version", static_cast<double>(m_owners.version()));
    m_metrics.gauge("keeps_keys", m_coordinatorRole.isCoordinator(now) ? 1.0 : 0.0);
    m_metrics.gauge("log_lines_dropped", static_cast<double>(m_log.droppedCount()));
    m_socket.updateGauges(m_metrics);
    m_room.updateGauges();
}

void node::startShutdown()
{
    if (m_shuttingDown) {
        return;
    }
    m_shuttingDown = true;
    m_shutdownStepAt = mono_clock::now() + shutdownAcceptTime;
    scheduleAfter(shutdownAcceptTime, [this] { continueShutdown(); });
    m_log.write(log_line("stop").add("underWay", m_router.inFlightCount()));
    m_shutdownDeadline = mono_clock::now() + m_environment.bounds.gracePeriod - shutdownMargin;
    m_router.setAnswersUntil(m_shutdownDeadline);
    m_callerListener.drain();
    m_coordinatorRole.shutDown(mono_clock::now());
    m_exchange.sendHeartbeats(mono_clock::now());
}

void node::continueShutdown()
{
    // The platform may still send callers here when few VMs of a data centre are left. If they were
    // accepted until the deadline, the last requests would be aborted.
    scheduleAfter(heartbeatInterval, [this] { continueShutdown(); });
    m_callerListener.stopAccepting();
    const time_point now = mono_clock::now();
    if (const std::size_t closed = m_callerListener.closeIdle(now - shutdownIdleTime); closed > 0) {
        m_log.write(log_line("idle connections closed")
                        .add("count", closed)
                        .add("left", m_callerListener.connectionCount())
                        .add("underWay", m_router.inFlightCount())
                        .add("lateMs", toMillis(now - m_shutdownStepAt)));
    }
    m_shutdownStepAt = now + heartbeatInterval;
    if ((m_router.inFlightCount() == 0 && m_callerListener.connectionCount() == 0)
        || now >= m_shutdownDeadline) {
        m_log.write(log_line("stopped").add("underWay", m_router.inFlightCount()));
        m_log.flush();
        m_loop.stop();
    }
}

} // namespace damaskward
