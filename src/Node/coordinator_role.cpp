#include "coordinator_role.h"

#include <nlohmann/json.hpp>

#include <charconv>

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
/// The store's era forms the upper bits of epochs and of fencing tokens, so that none is given out
/// twice although the store has lost the last ones.
constexpr unsigned epochEraShift = 16;
constexpr unsigned fencingTokenEraShift = 32;
/// A coordinator whose lease expired longer ago than this does not continue from memory. Until then
/// the membership lists every VM that was heard from before the lease expired.
constexpr milliseconds maxSuspension{membership::removalTimeout / 2};

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
                                   bool firstStart, clock_source clock,
                                   std::function<void(const owner_update &)> publish,
                                   std::function<void(const owner_shares &)> limit,
                                   exclusion_source excluded)
    : m_store(store)
    , m_table(std::move(table))
    , m_send(std::move(send))
    , m_targets(targets)
    , m_membership(peers)
    , m_log(log)
    , m_incarnation(incarnation)
    , m_maxLeaseDuration(maxLeaseDuration)
    , m_firstStart(firstStart)
    , m_clock(std::move(clock))
    , m_publish(std::move(publish))
    , m_publishOverload(std::move(limit))
    , m_excluded(std::move(excluded))
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

/// \returns the name of the coordinator's row. Without an era the row has no suffix.
std::string coordinator_role::rowName(store_era era)
{
    return era == 0 ? coordinatorRow : coordinatorRow + ('/' + std::to_string(era));
}

/// \returns the era of a coordinator's row, or nothing if \a name is not the name of one.
std::optional<store_era> coordinator_role::eraOfRow(std::string_view name)
{
    const std::string_view prefix = coordinatorRow;
    if (name == prefix) {
        return 0;
    }
    if (name.size() <= prefix.size() || name.substr(0, prefix.size()) != prefix
        || name[prefix.size()] != '/') {
        return std::nullopt;
    }
    store_era era = 0;
    const char *end = name.data() + name.size();
    const auto [parsed, error] = std::from_chars(name.data() + prefix.size() + 1, end, era);
    return error == std::errc() && parsed == end ? std::optional(era) : std::nullopt;
}

bool coordinator_role::otherCoordinatorAlive(time_point now) const
{
    // Three heartbeats. Kept short because changes of ownership wait for the next coordinator.
    constexpr milliseconds coordinatorTimeout{700};
    for (const auto &[name, peer] : m_membership.members()) {
        if (peer.lastHeartbeat.coordinatorVersion != 0 && !peer.lastHeartbeat.isShuttingDown
            && now < peer.stateAt + coordinatorTimeout) {
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
    if ((m_shardedServices.empty() && !m_isNeeded) || m_shuttingDown) {
        return;
    }
    for (const auto &[name, peer] : m_membership.members()) {
        if (peer.lastHeartbeat.coordinatorVersion != 0 && peer.lastHeartbeat.storeEra == m_era) {
            m_lease.onHeartbeatVersion(peer.lastHeartbeat.coordinatorVersion, peer.stateAt);
        }
    }
    const bool wasCoordinator = !m_coordinators.empty();
    // A VM without spare CPU assumes that some VMs have it, until it has received their heartbeats.
    // So does a VM with a slow link that knows no other VM yet.
    constexpr int assumedCandidates = 4;
    const capacity_rating &rating = m_membership.rating();
    const bool assumesCandidates = !rating.hasSpareCpu()
        || (rating.roleClass < capacity_rating::topClass && m_membership.members().empty());
    int rank = std::max(assumesCandidates ? assumedCandidates : 0,
                        m_membership.rankFor(coordinatorRoleName, now));
    if (maySuspendedResume(now)) {
        // Leaves a coordinator that still holds its lease one delay to write its row first.
        rank = 1;
    }
    const time_point leaseEnd = m_lease.leaseEnd();
    const lease_action action = m_lease.step(otherCoordinatorAlive(now), rank, now);
    if (wasCoordinator && !m_lease.isHeld(now)) {
        suspendOrStop(leaseEnd);
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
        && !(shouldYield(now) && releaseLease("a VM of a higher class takes over"))) {
        runCoordinators(now);
    }
}

coordinator_timing coordinator_role::timingOf(const service_id &service) const
{
    std::int64_t targets = 0;
    for (const auto &[name, t] : m_targets.all()) {
        targets += t.isRegistered && t.record.service == service ? 1 : 0;
    }
    return timingFor(targets, m_maxLeaseDuration, m_membership.rating().hasSpareLink());
}

owner_views coordinator_role::viewsOf(const service_id &service, time_point now)
{
    owner_views views;
    const auto incarnations = m_targets.newestIncarnations();
    const auto excluded = m_excluded ? m_excluded(service, now) : std::set<std::string>();
    for (const auto &[name, t] : m_targets.all()) {
        if (t.record.service != service) {
            continue;
        }
        owner_view view;
        view.incarnation = t.record.incarnation;
        view.capacity = t.record.slots * m_serviceTimes.serviceRateOf(name);
        view.reachable = t.isRegistered;
        view.mayOwn = t.drainingSince == time_point{} && excluded.count(name) == 0;
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
        view.isLocal = t.record.dataCenter.str() == m_membership.dataCenter();
        views[name] = view;
    }
    return views;
}

void coordinator_role::runCoordinators(time_point now)
{
    for (const auto &[service, objective] : m_shardedServices) {
        auto &coordinator = m_coordinators[service];
        if (!coordinator) {
            const bool mayBeGranted = m_claimBasis != claim_basis::ExpiredRecord;
            coordinator = std::make_shared<range_coordinator>(
                timingOf(service), m_row.owners[service], mayBeGranted, now);
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

range_map coordinator_role::ownersOf(const service_id &service, time_point now) const
{
    const auto it = m_coordinators.find(service);
    return it == m_coordinators.end() || !it->second ? range_map() : it->second->routingMap(now);
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
    update.byPriority = m_admission.splitByPriority(update.shares);
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

void coordinator_role::onStoreEra(store_era era, time_point now)
{
    if (era <= m_era) {
        return;
    }
    const bool isRestored = m_era != 0;
    if (!m_coordinators.empty() && !m_lease.isHeld(now)) {
        suspendOrStop(m_lease.leaseEnd());
    }
    m_sawEraChange = m_sawEraChange || isRestored;
    m_era = era;
    m_eraKnownSince = now;
    m_rowExists = false;
    m_olderRows.clear();
    m_loggedWait = false;
    m_lease.onNewEra(now);
    if (!m_lease.isHeld(now)) {
        m_claiming = false;
        m_pendingValue.clear();
        return;
    }
    raiseCounters();
    if (!m_pendingValue.empty()) {
        m_pendingValue = encodeRow(m_row);
    }
    m_log.write(log_line("coordinator records owners again")
                    .add("reason", "the store was restored from an older copy")
                    .add("era", era)
                    .add("epoch", m_row.epoch)
                    .add("fence", m_row.nextFencingToken));
}

void coordinator_role::onMapVersion(std::uint64_t version)
{
    m_newestEpoch = std::max(m_newestEpoch, version >> epochShift);
}

/// Raises the fencing token and the epoch above all of earlier eras.
void coordinator_role::raiseCounters()
{
    m_row.nextFencingToken =
        std::max<std::uint64_t>(m_row.nextFencingToken, m_era << fencingTokenEraShift);
    m_row.epoch = std::max<std::uint64_t>(m_row.epoch, m_era << epochEraShift);
}

/// Gives all recorded owners new fencing tokens: the record may lack later owners, whose tokens
/// were higher.
void coordinator_role::renewFencingTokens()
{
    for (auto &[service, owners] : m_row.owners) {
        for (range_owner &owner : owners) {
            owner.fencingToken = m_row.nextFencingToken++;
            owner.handover.clear();
        }
    }
}

/// Stops coordinating after the lease has expired, and keeps the state in case the store turns out
/// to have lost it.
void coordinator_role::suspendOrStop(time_point leaseEnd)
{
    suspended_state state{m_row, m_coordinators, leaseEnd};
    stopCoordinating("lease expired");
    m_suspended = std::move(state);
}

/// \returns whether this VM was certainly the last coordinator of the previous era: it was until
/// its lease expired, and all other VMs are alive and have heard of no later one.
bool coordinator_role::maySuspendedResume(time_point now) const
{
    return m_suspended && !m_rowExists && now < m_suspended->leaseEnd + maxSuspension
        && m_newestEpoch <= m_suspended->row.epoch && m_membership.reachableShare(now) >= 1.0;
}

/// \returns when all grants that the rows of earlier eras may lack have certainly expired.
time_point coordinator_role::grantsExpireAt() const
{
    const coordinator_timing timing = timingFor(0, m_maxLeaseDuration);
    return m_eraKnownSince + m_lease.leaseDuration() + longestGrantValidity(timing);
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
        onStoreEra(rows->era, now);
        if (rows->era < m_era) {
            m_lease.onCallObsolete(now);
            return;
        }
        applyRows(*rows, now);
    });
}

/// Processes the coordinator's rows of all eras.
void coordinator_role::applyRows(const row_set &rows, time_point now)
{
    const table_row *current = nullptr;
    const table_row *predecessor = nullptr;
    std::optional<store_era> predecessorEra;
    m_olderRows.clear();
    for (const table_row &row : rows.rows) {
        const auto era = eraOfRow(row.name);
        if (era == m_era) {
            current = &row;
        } else if (era && *era < m_era) {
            m_olderRows.push_back(row.name);
            if (!predecessorEra || *predecessorEra < *era) {
                predecessor = &row;
                predecessorEra = era;
            }
        }
    }
    m_rowExists = current != nullptr;
    const table_row *row = current ? current : predecessor;
    m_row = {};
    if (row) {
        auto decoded = decodeRow(row->value);
        if (!decoded) {
            m_log.write(log_line("malformed row").add("row", row->name));
        }
        if (!decoded && current) {
            // A claim would replace this version by the owners of an older one.
            m_lease.onLeaseLost(now);
            m_lease.onCallFailed(now); // The next read waits for the retry delay.
            return;
        }
        m_row = decoded ? std::move(*decoded) : coordinator_row{};
        m_newestEpoch = std::max(m_newestEpoch, m_row.epoch);
    }
    if (!current) {
        m_lease.onRowRead(0, true, now);
        return;
    }
    const bool isOwnPreviousIncarnation =
        m_row.holder == m_membership.self() && m_row.incarnation != m_incarnation;
    m_lease.onRowRead(current->version, m_row.holder.empty() || isOwnPreviousIncarnation, now);
}

/// \returns on what this VM may base a claim of the lease now, or nothing if it has to wait.
std::optional<coordinator_role::claim_basis> coordinator_role::chooseBasis(time_point now)
{
    if (m_rowExists) {
        return claim_basis::Record;
    }
    if (maySuspendedResume(now)) {
        return claim_basis::Memory;
    }
    const bool isNewFleet =
        m_firstStart && !m_sawEraChange && m_olderRows.empty() && m_newestEpoch == 0;
    if (isNewFleet || m_era == 0) {
        return claim_basis::Record;
    }
    if (now >= grantsExpireAt()) {
        return claim_basis::ExpiredRecord;
    }
    if (!m_loggedWait && m_sawEraChange) {
        m_loggedWait = true;
        m_log.write(log_line("coordinator waits until all grants have expired")
                        .add("reason", "the store has lost the last owners of keys")
                        .add("era", m_era)
                        .add("ms", toMillis(grantsExpireAt() - now)));
    }
    return std::nullopt;
}

void coordinator_role::claimLease(time_point now)
{
    const auto basis = chooseBasis(now);
    if (!basis) {
        return;
    }
    m_claiming = true;
    m_claimBasis = *basis;
    if (m_claimBasis == claim_basis::Memory) {
        m_row = m_suspended->row;
        raiseCounters();
        for (const auto &[service, coordinator] : m_suspended->coordinators) {
            m_row.owners[service] = coordinator->prepareRecord(m_row.nextFencingToken);
        }
        // The ranges keep their new tokens if the claim fails.
        m_suspended->row.nextFencingToken = m_row.nextFencingToken;
    } else {
        raiseCounters();
        if (m_claimBasis == claim_basis::ExpiredRecord) {
            renewFencingTokens();
        }
    }
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
    transaction.replace(rowName(m_era), m_lease.version(), m_pendingValue);
    if (m_claiming) {
        for (const std::string &row : m_olderRows) {
            transaction.puts.push_back({row, {}});
        }
    }
    m_lease.onCallSent();
    m_store.commit(m_table, transaction, [this, sentInEra = m_era, now](commit_answer &&answer) {
        handleWriteAnswer(std::move(answer), sentInEra, now);
    });
}

/// Handles the answer to a write of the row of an era that has ended: it has no effect.
/// \returns false if the era has not ended
bool coordinator_role::handleObsoleteAnswer(store_era answerEra, store_era sentInEra,
                                            time_point now)
{
    onStoreEra(answerEra, now);
    if (sentInEra == m_era) {
        return false;
    }
    m_lease.onCallObsolete(now);
    return true;
}

void coordinator_role::handleWriteAnswer(commit_answer &&answer, store_era sentInEra,
                                         time_point sentAt)
{
    const time_point now = m_clock();
    if (handleObsoleteAnswer(answer.era, sentInEra, now)) {
        return;
    }
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
    m_rowExists = true;
    if (m_claiming) {
        m_claiming = false;
        startCoordinating();
    }
    m_suspended.reset(); // From now on it is out of date.
    for (const auto &[service, coordinator] : m_coordinators) {
        coordinator->confirmRecord(now);
    }
    tick(now);
}

void coordinator_role::startCoordinating()
{
    m_coordinators.clear();
    m_publishedRevisions.clear();
    if (m_claimBasis == claim_basis::Memory) {
        m_coordinators = std::move(m_suspended->coordinators);
    }
    m_log.write(log_line("coordinator started")
                    .add("epoch", m_row.epoch)
                    .add("era", m_era)
                    .add("fence", m_row.nextFencingToken)
                    .add("basis",
                         m_claimBasis == claim_basis::Memory       ? "memory"
                             : m_claimBasis == claim_basis::Record ? "record"
                                                                   : "expired record"));
}

/// Handles a row version other than expected: either an earlier attempt to write the same value was
/// applied although its answer was lost, or another VM has written the row.
void coordinator_role::checkConflict(time_point sentAt)
{
    m_store.read(m_table, coordinatorRow, [this, sentAt, sentInEra = m_era](row_result &&result) {
        const time_point now = m_clock();
        const auto *rows = std::get_if<row_set>(&result);
        if (handleObsoleteAnswer(rows ? rows->era : 0, sentInEra, now)) {
            return;
        }
        if (!rows) {
            m_lease.onCallFailed(now);
            return;
        }
        const auto row =
            std::find_if(rows->rows.begin(), rows->rows.end(),
                         [name = rowName(m_era)](const table_row &r) { return r.name == name; });
        if (row != rows->rows.end() && row->value == m_pendingValue) {
            handleApplied(row->version, sentAt);
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
    // Grants may be in force when the lease turns out to be held all the same.
    m_claimBasis = claim_basis::Record;
    m_suspended.reset();
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
        demand.forEachRequest(service, [&](shard_key key, int priority) {
            it->second->addRequest(key, now);
            m_admission.addRequest(std::string(it->second->ownerOf(key)), now, priority);
        });
    }
}

void coordinator_role::shutDown(time_point now)
{
    m_shuttingDown = true;
    if (!m_lease.isHeld(now) || !releaseLease("leaves")) {
        stopCoordinating("leaves");
    }
}

/// \returns whether a VM of a higher class should replace this coordinator, which may have claimed
/// the lease while it knew no better VM. Renewing all grants and publishing their owners takes more
/// CPU time and bandwidth than a VM of a low class has.
bool coordinator_role::shouldYield(time_point now)
{
    // Longer than it takes until all VMs have received a heartbeat of a VM that has just started.
    constexpr milliseconds candidateTime{3000};
    if (!m_membership.higherClassAlive(now) || !m_lease.isHeld(now)) {
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
    transaction.replace(rowName(m_era), m_lease.version(), m_pendingValue);
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
