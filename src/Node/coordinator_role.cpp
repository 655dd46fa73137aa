#include "coordinator_role.h"

#include <nlohmann/json.hpp>

namespace damaskward {
namespace {

using json = nlohmann::json;

constexpr const char *coordinatorRow = "keeper";
constexpr const char *coordinatorRoleName = "keeper";
/// Minimum interval between published updates. Changes of ownership come in bursts, and each update
/// contains the owners of all keys.
constexpr milliseconds publishInterval{100};
/// Interval of updates on overloaded owners, equal to the interval at which VMs report demand.
constexpr milliseconds overloadInterval{200};
/// The lease epoch forms the upper bits of update versions, so that the updates of a new
/// coordinator have higher versions than those of its predecessors.
constexpr unsigned epochShift = 32;

command_id numberOf(const range_command &command)
{
    return std::visit([](const auto &o) { return o.number; }, command);
}

key_range keysOf(const range_command &command)
{
    return std::visit([](const auto &o) { return o.keys; }, command);
}

std::uint64_t fencingTokenOf(const range_command &command)
{
    return std::visit([](const auto &o) { return o.fencingToken; }, command);
}

const std::string &targetOf(const range_command &command)
{
    return std::visit([](const auto &o) -> const std::string & { return o.target; }, command);
}

} // namespace

coordinator_role::coordinator_role(store_port &store, std::string table, command_sender send,
                                   target_pool &targets, membership &peers, request_log &log,
                                   std::int64_t incarnation, milliseconds maxLeaseDuration,
                                   clock_source clock,
                                   std::function<void(const owner_update &)> publish,
                                   std::function<void(const owner_shares &)> limit)
    : m_store(store)
    , m_table(std::move(table))
    , m_send(std::move(send))
    , m_targets(targets)
    , m_membership(peers)
    , m_log(log)
    , m_incarnation(incarnation)
    , m_maxLeaseDuration(maxLeaseDuration)
    , m_clock(std::move(clock))
    , m_publish(std::move(publish))
    , m_publishOverload(std::move(limit))
    , m_lease(lease_timing{})
{ }

void coordinator_role::setDeployment(const deployment &config)
{
    m_shardedServices.clear();
    for (const auto &[name, settings] : config.services) {
        if (settings.keyed) {
            m_shardedServices[name] = config.objectiveOf(name);
        }
    }
}

std::string coordinator_role::encodeRow(const coordinator_row &row)
{
    json services = json::object();
    for (const auto &[service, owners] : row.owners) {
        json list = json::array();
        for (const range_owner &o : owners) {
            list.push_back(
                {o.keys.first, o.keys.last, o.target, o.incarnation, o.fencingToken, o.handover});
        }
        services[service.str()] = std::move(list);
    }
    return json{{"holder", row.holder},
                {"incarnation", row.incarnation},
                {"epoch", row.epoch},
                {"nextFence", row.nextFencingToken},
                {"owners", std::move(services)}}
        .dump();
}

std::optional<coordinator_role::coordinator_row>
coordinator_role::decodeRow(const std::string &text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        coordinator_row row;
        row.holder = value.at("holder");
        row.incarnation = value.at("incarnation");
        row.epoch = value.at("epoch");
        row.nextFencingToken = value.at("nextFence");
        for (const auto &[service, list] : value.at("owners").items()) {
            auto &owners = row.owners[service_id(service)];
            for (const json &item : list) {
                range_owner o;
                o.keys = {item.at(0).get<shard_key>(), item.at(1).get<shard_key>()};
                o.target = item.at(2);
                o.incarnation = item.at(3);
                o.fencingToken = item.at(4);
                o.handover = item.at(5);
                owners.push_back(std::move(o));
            }
        }
        return row;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

bool coordinator_role::otherCoordinatorAlive(time_point now) const
{
    // Three heartbeats. Kept short because changes of ownership wait for the next coordinator.
    constexpr milliseconds coordinatorTimeout{700};
    for (const auto &[name, peer] : m_membership.members()) {
        if (peer.lastHeartbeat.coordinatorVersion != 0 && !peer.lastHeartbeat.isShuttingDown
            && now < peer.receivedAt + coordinatorTimeout) {
            return true;
        }
    }
    return false;
}

void coordinator_role::tick(time_point now)
{
    for (const auto &[name, t] : m_targets.all()) {
        if (m_shardedServices.count(t.record.service) != 0) {
            m_addresses[name] = t.record.address;
        }
    }
    if (m_shardedServices.empty() || m_shuttingDown) {
        return;
    }
    for (const auto &[name, peer] : m_membership.members()) {
        if (peer.lastHeartbeat.coordinatorVersion != 0) {
            m_lease.onHeartbeatVersion(peer.lastHeartbeat.coordinatorVersion, peer.receivedAt);
        }
    }
    const bool wasCoordinator = !m_coordinators.empty();
    // A VM without spare CPU assumes that some VMs have it, until it has received their heartbeats.
    constexpr int assumedCandidates = 4;
    const int rank = m_membership.hasSpareCpu()
        ? m_membership.rankFor(coordinatorRoleName, now)
        : std::max(assumedCandidates, m_membership.rankFor(coordinatorRoleName, now));
    const lease_action action = m_lease.step(otherCoordinatorAlive(now), rank, now);
    if (wasCoordinator && !m_lease.isHeld(now)) {
        stopCoordinating("lease expired");
    }
    switch (action) {
    case lease_action::Read:
        readRow(now);
        break;
    case lease_action::Claim:
        claimLease(now);
        break;
    case lease_action::Renew:
        renewLease(now);
        break;
    case lease_action::None:
        break;
    }
    if (m_lease.isHeld(now)
        && !(shouldYield(now) && releaseLease("a VM with spare CPU takes over"))) {
        runCoordinators(now);
    }
}

coordinator_timing coordinator_role::timingOf(const service_id &service) const
{
    std::int64_t targets = 0;
    for (const auto &[name, t] : m_targets.all()) {
        targets += t.isRegistered && t.record.service == service ? 1 : 0;
    }
    return timingFor(targets, m_maxLeaseDuration);
}

owner_views coordinator_role::viewsOf(const service_id &service, time_point now)
{
    owner_views views;
    const auto incarnations = m_targets.newestIncarnations();
    for (const auto &[name, t] : m_targets.all()) {
        if (t.record.service != service) {
            continue;
        }
        owner_view view;
        view.incarnation = t.record.incarnation;
        view.capacity = t.record.slots * m_serviceTimes.serviceRateOf(name);
        view.reachable = t.isRegistered;
        view.mayOwn = t.drainingSince == time_point{};
        const auto newest = incarnations.find(t.record.address);
        view.hasTerminated = !t.isRegistered && newest != incarnations.end()
            && newest->second > t.record.incarnation;
        if (view.hasTerminated && m_terminated.insert(name).second) {
            m_log.write(log_line("target terminated")
                            .add("target", name)
                            .add("address", t.record.address)
                            .add("incarnation", t.record.incarnation)
                            .add("next", newest->second));
        }
        view.isWarmingUp = target_pool::isWarmingUp(t, now);
        views[name] = view;
    }
    return views;
}

void coordinator_role::runCoordinators(time_point now)
{
    for (const auto &[service, objective] : m_shardedServices) {
        auto &coordinator = m_coordinators[service];
        if (!coordinator) {
            coordinator = std::make_shared<range_coordinator>(timingOf(service),
                                                              m_row.owners[service], true, now);
        }
        for (const range_command &command :
             coordinator->step(viewsOf(service, now), m_lease.leaseEnd(), now)) {
            sendCommand(command, coordinator);
        }
        if (coordinator->hasUnrecordedChanges() && m_pendingValue.empty()) {
            m_lease.scheduleWriteNow(now);
        }
    }
    if (m_lease.renewalOverdue(now) && !m_leasesExtended) {
        m_leasesExtended = true;
        m_log.write(
            log_line("leases extended for store outage").add("reason", "lease renewals fail"));
        for (const auto &[service, coordinator] : m_coordinators) {
            coordinator->extendLeasesForOutage(now);
        }
    }
    publishIfChanged(now);
    publishOverload(now);
}

owner_capacity coordinator_role::capacityOf(const std::string &target) const
{
    const target_state *t = m_targets.find(target);
    const auto service = t ? m_shardedServices.find(t->record.service) : m_shardedServices.end();
    if (service == m_shardedServices.end()) {
        return {};
    }
    // Half of the latency objective may be spent in the queue, because the service time sometimes
    // takes the other half.
    constexpr double queueShare = 0.5;
    const double objective = std::chrono::duration<double>(service->second).count();
    const double perSecond = t->record.slots * m_serviceTimes.serviceRateOf(target);
    return {perSecond, std::max(1.0, perSecond * objective * queueShare)};
}

/// Publishes to all VMs which owners are overloaded.
void coordinator_role::publishOverload(time_point now)
{
    if (now < m_overloadUpdateAt) {
        return;
    }
    m_overloadUpdateAt = now + overloadInterval;
    owner_shares update;
    update.shares = m_admission.admittedShares(
        [this](const std::string &target) { return capacityOf(target); }, now);
    if (update.shares.empty() && !m_overloadPublished) {
        return;
    }
    m_overloadPublished = !update.shares.empty();
    m_overloadVersion = std::max(m_overloadVersion + 1, m_row.epoch << epochShift);
    update.version = m_overloadVersion;
    m_publishOverload(update);
}

void coordinator_role::sendCommand(const range_command &command,
                                   const std::shared_ptr<range_coordinator> &coordinator)
{
    const auto address = m_addresses.find(targetOf(command));
    if (address == m_addresses.end()) {
        // This VM never knew the target's address, so its last grant must expire.
        coordinator->onCommandFinished(numberOf(command), command_outcome::Unanswered, {},
                                       m_clock());
        return;
    }
    std::visit([this](const auto &o) { logCommand(o); }, command);
    const std::weak_ptr<range_coordinator> weak = coordinator;
    const time_point issuedAt = m_clock();
    m_send(command, address->second, [this, weak, command, issuedAt](const command_answer &answer) {
        if (answer.outcome != command_outcome::Done) {
            logFailure(command, answer, issuedAt);
        }
        if (const auto current = weak.lock()) {
            current->onCommandFinished(numberOf(command), answer.outcome, answer.handover,
                                       m_clock());
        }
    });
}

void coordinator_role::logCommand(const grant_command &command)
{
    std::uint64_t &loggedToken = m_loggedFencingTokens[command.target];
    if (command.fencingToken > loggedToken) {
        loggedToken = command.fencingToken;
        m_log.write(log_line("grant")
                        .add("target", command.target)
                        .add("first", command.keys.first)
                        .add("last", command.keys.last)
                        .add("fence", command.fencingToken)
                        .add("warm", !command.handover.empty()));
    }
}

void coordinator_role::logCommand(const release_command &command)
{
    m_log.write(log_line("release")
                    .add("target", command.target)
                    .add("first", command.keys.first)
                    .add("last", command.keys.last)
                    .add("fence", command.fencingToken));
}

void coordinator_role::logFailure(const range_command &command, const command_answer &answer,
                                  time_point issuedAt)
{
    const key_range keys = keysOf(command);
    log_line line("order");
    line.add("target", targetOf(command))
        .add("grant", std::holds_alternative<grant_command>(command))
        .add("outdated", answer.outcome == command_outcome::Outdated)
        .add("first", keys.first)
        .add("last", keys.last)
        .add("fence", fencingTokenOf(command))
        .add("sent", answer.sentAt != time_point{})
        .add("ms", toMillis(m_clock() - issuedAt));
    if (answer.sentAt != time_point{}) {
        line.add("sentAfterMs", toMillis(answer.sentAt - issuedAt));
    }
    if (const auto *grant = std::get_if<grant_command>(&command)) {
        line.add("leaseMs", grant->leaseDuration.count());
    }
    m_log.write(line);
}

void coordinator_role::readRow(time_point)
{
    m_lease.onCallSent();
    m_store.read(m_table, coordinatorRow, [this](row_result &&result) {
        const time_point now = m_clock();
        const auto *rows = std::get_if<row_set>(&result);
        if (!rows) {
            m_lease.onCallFailed(now);
            return;
        }
        if (rows->rows.empty()) {
            m_row = {};
            m_lease.onRowRead(0, true, now);
            return;
        }
        const table_row &row = rows->rows.front();
        auto decoded = decodeRow(row.value);
        if (!decoded) {
            // A claim would replace this version by the owners of an older one.
            m_log.write(log_line("malformed row").add("row", coordinatorRow));
            m_lease.onLeaseLost(now);
            m_lease.onCallFailed(now); // The next read waits for the retry delay.
            return;
        }
        m_row = std::move(*decoded);
        const bool isOwnPreviousIncarnation =
            m_row.holder == m_membership.self() && m_row.incarnation != m_incarnation;
        m_lease.onRowRead(row.version, m_row.holder.empty() || isOwnPreviousIncarnation, now);
    });
}

void coordinator_role::claimLease(time_point now)
{
    m_claiming = true;
    m_row.holder = m_membership.self();
    m_row.incarnation = m_incarnation;
    ++m_row.epoch;
    m_pendingValue = encodeRow(m_row);
    m_pendingSentAt = now;
    writeRow(now);
}

void coordinator_role::renewLease(time_point now)
{
    if (m_pendingValue.empty()) {
        for (const auto &[service, coordinator] : m_coordinators) {
            m_row.owners[service] = coordinator->prepareRecord(m_row.nextFencingToken);
        }
        m_pendingValue = encodeRow(m_row);
        m_pendingSentAt = now;
    }
    writeRow(now);
}

void coordinator_role::writeRow(time_point now)
{
    table_transaction transaction;
    transaction.replace(coordinatorRow, m_lease.version(), m_pendingValue);
    m_lease.onCallSent();
    m_store.commit(m_table, transaction, [this, now](commit_answer &&answer) {
        handleWriteAnswer(std::move(answer), now);
    });
}

void coordinator_role::handleWriteAnswer(commit_answer &&answer, time_point sentAt)
{
    const time_point now = m_clock();
    switch (answer.outcome) {
    case commit_outcome::Applied:
        handleApplied(answer.revision, sentAt);
        return;
    case commit_outcome::Conflict:
        checkConflict(m_pendingSentAt);
        return;
    case commit_outcome::Refused:
    case commit_outcome::Unknown:
        break;
    }
    if (m_failingSince == time_point{}) {
        m_failingSince = now;
        m_log.write(log_line("store unreachable").add("step", "write the coordinator's row"));
    }
    if (m_claiming) {
        m_claiming = false;
        m_pendingValue.clear();
        m_lease.onLeaseLost(now);
    } else {
        // The retry sends the same value, so the row is correct whichever attempt is applied.
        m_lease.onCallFailed(now);
    }
}

void coordinator_role::handleApplied(row_version version, time_point sentAt)
{
    const time_point now = m_clock();
    m_lease.onRowWritten(version, sentAt);
    m_pendingValue.clear();
    if (m_failingSince != time_point{}) {
        m_log.write(log_line("store reachable again").add("ms", toMillis(now - m_failingSince)));
    }
    m_failingSince = time_point{};
    m_leasesExtended = false;
    if (m_claiming) {
        m_claiming = false;
        m_coordinators.clear();
        m_publishedRevisions.clear();
        m_log.write(log_line("coordinator started").add("epoch", m_row.epoch));
    }
    for (const auto &[service, coordinator] : m_coordinators) {
        coordinator->confirmRecord(now);
    }
    tick(now);
}

/// Handles a row version other than expected: either an earlier attempt to write the same value was
/// applied although its answer was lost, or another VM has written the row.
void coordinator_role::checkConflict(time_point sentAt)
{
    m_store.read(m_table, coordinatorRow, [this, sentAt](row_result &&result) {
        const time_point now = m_clock();
        const auto *rows = std::get_if<row_set>(&result);
        if (!rows) {
            m_lease.onCallFailed(now);
            return;
        }
        if (!rows->rows.empty() && rows->rows.front().value == m_pendingValue) {
            handleApplied(rows->rows.front().version, sentAt);
            return;
        }
        stopCoordinating("another VM has written the coordinator's row");
        m_lease.onLeaseLost(now);
    });
}

void coordinator_role::stopCoordinating(const char *reason)
{
    if (!m_coordinators.empty()) {
        m_log.write(
            log_line("coordinator stopped").add("reason", reason).add("epoch", m_row.epoch));
    }
    m_coordinators.clear();
    m_publishedRevisions.clear();
    m_pendingValue.clear();
    m_claiming = false;
    m_failingSince = time_point{};
    m_leasesExtended = false;
}

void coordinator_role::publishIfChanged(time_point now)
{
    bool changed = false;
    for (const auto &[service, coordinator] : m_coordinators) {
        changed = changed || m_publishedRevisions[service] != coordinator->revision();
    }
    if (!changed || now < m_publishAt) {
        return;
    }
    m_publishAt = now + publishInterval;
    owner_update update;
    for (const auto &[service, coordinator] : m_coordinators) {
        m_publishedRevisions[service] = coordinator->revision();
        update.rangeMaps[service] = coordinator->routingMap(now);
    }
    m_updateVersion = std::max(m_updateVersion + 1, m_row.epoch << epochShift);
    update.version = m_updateVersion;
    m_publish(update);
}

void coordinator_role::recordDemand(const key_demand &demand, time_point now)
{
    for (const auto &[target, sample] : demand.serviceTimes) {
        m_serviceTimes.add(target, sample);
    }
    for (const auto &[target, waiting] : demand.queueLengths) {
        m_admission.addQueueReport(target, waiting, now);
    }
    for (const auto &[service, list] : demand.keys) {
        const auto it = m_coordinators.find(service);
        if (it == m_coordinators.end() || !it->second) {
            continue;
        }
        for (const shard_key key : list) {
            it->second->addRequest(key, now);
            if (const auto owner = it->second->ownerOf(key); !owner.empty()) {
                m_admission.addRequest(std::string(owner), now);
            }
        }
    }
}

void coordinator_role::shutDown(time_point now)
{
    m_shuttingDown = true;
    if (!m_lease.isHeld(now) || !releaseLease("leaves")) {
        stopCoordinating("leaves");
    }
}

/// \returns whether a VM with spare CPU should replace this coordinator, which has none and may
/// have claimed the lease while it knew no better VM. Renewing all grants takes more CPU time than
/// a VM without spare CPU has.
bool coordinator_role::shouldYield(time_point now)
{
    // Longer than it takes until all VMs have received a heartbeat of a VM that has just started.
    constexpr milliseconds candidateTime{3000};
    bool candidateAlive = false;
    for (const auto &[name, peer] : m_membership.members()) {
        candidateAlive = candidateAlive
            || (peer.lastHeartbeat.hasSpareCpu && !peer.lastHeartbeat.isShuttingDown
                && membership::isAlive(peer, now));
    }
    if (m_membership.hasSpareCpu() || !candidateAlive || !m_lease.isHeld(now)) {
        m_candidateAliveSince = time_point{};
        return false;
    }
    if (m_candidateAliveSince == time_point{}) {
        m_candidateAliveSince = now;
    }
    return now >= m_candidateAliveSince + candidateTime;
}

/// Writes the row without a holder, so that another VM can take over immediately.
/// \returns false if another write of the row is in progress; the caller has to try again later
bool coordinator_role::releaseLease(const char *reason)
{
    if (!m_pendingValue.empty()) {
        return false;
    }
    for (const auto &[service, coordinator] : m_coordinators) {
        m_row.owners[service] = coordinator->prepareRecord(m_row.nextFencingToken);
    }
    m_row.holder.clear();
    m_pendingValue = encodeRow(m_row);
    table_transaction transaction;
    transaction.replace(coordinatorRow, m_lease.version(), m_pendingValue);
    m_store.commit(m_table, transaction, [](commit_answer &&) {
        // The outcome doesn't matter: without renewals the lease expires.
    });
    // The write may be applied from now on, even if its answer is lost, so another VM may
    // already hold the lease.
    m_lease.onLeaseLost(m_clock());
    stopCoordinating(reason);
    return true;
}

} // namespace damaskward
