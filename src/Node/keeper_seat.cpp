#include "keeper_seat.h"

#include <nlohmann/json.hpp>

namespace damaskward {
namespace {

using json = nlohmann::json;

constexpr const char *seatRow = "keeper";
constexpr const char *keeperDuty = "keeper";
/// Between two publications: changes of hands come in bursts, and each update holds all owners.
constexpr milliseconds publishPause{100};
/// Between two updates on overloaded owners: as often as VMs report demand.
constexpr milliseconds limitPause{200};
/// Updates of later holders are above those of earlier ones.
constexpr unsigned epochShift = 32;

order_number numberOf(const range_order &order)
{
    return std::visit([](const auto &o) { return o.number; }, order);
}

const std::string &targetOf(const range_order &order)
{
    return std::visit([](const auto &o) -> const std::string & { return o.target; }, order);
}

} // namespace

keeper_seat::keeper_seat(store_port &store, std::string table, order_sender send,
                         target_book &targets, peer_book &peers, request_log &log,
                         std::int64_t incarnation, milliseconds longestHold, clock_source clock,
                         std::function<void(const owner_update &)> publish,
                         std::function<void(const owner_shares &)> limit)
    : m_store(store)
    , m_table(std::move(table))
    , m_send(std::move(send))
    , m_targets(targets)
    , m_peers(peers)
    , m_log(log)
    , m_incarnation(incarnation)
    , m_longestHold(longestHold)
    , m_clock(std::move(clock))
    , m_publish(std::move(publish))
    , m_limit(std::move(limit))
    , m_lease(lease_timing{})
{ }

void keeper_seat::setDeployment(const deployment &config)
{
    m_keyed.clear();
    for (const auto &[name, settings] : config.services) {
        if (settings.keyed) {
            m_keyed[name] = config.objectiveOf(name);
        }
    }
}

std::string keeper_seat::encodeRow(const seat_row &row)
{
    json services = json::object();
    for (const auto &[service, owners] : row.owners) {
        json list = json::array();
        for (const range_owner &o : owners) {
            list.push_back(
                {o.keys.first, o.keys.last, o.target, o.incarnation, o.fence, o.handover});
        }
        services[service.str()] = std::move(list);
    }
    return json{{"holder", row.holder},
                {"incarnation", row.incarnation},
                {"epoch", row.epoch},
                {"nextFence", row.nextFence},
                {"owners", std::move(services)}}
        .dump();
}

std::optional<keeper_seat::seat_row> keeper_seat::decodeRow(const std::string &text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        seat_row row;
        row.holder = value.at("holder");
        row.incarnation = value.at("incarnation");
        row.epoch = value.at("epoch");
        row.nextFence = value.at("nextFence");
        for (const auto &[service, list] : value.at("owners").items()) {
            auto &owners = row.owners[service_id(service)];
            for (const json &item : list) {
                range_owner o;
                o.keys = {item.at(0).get<shard_key>(), item.at(1).get<shard_key>()};
                o.target = item.at(2);
                o.incarnation = item.at(3);
                o.fence = item.at(4);
                o.handover = item.at(5);
                owners.push_back(std::move(o));
            }
        }
        return row;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

bool keeper_seat::otherKeeperAlive(time_point now) const
{
    // Three heartbeats of a keeper: keys wait for the next one.
    constexpr milliseconds keeperSilence{700};
    for (const auto &[name, peer] : m_peers.all()) {
        if (peer.beat.keeperVersion != 0 && !peer.beat.leaving
            && now < peer.heardAt + keeperSilence) {
            return true;
        }
    }
    return false;
}

void keeper_seat::tick(time_point now)
{
    for (const auto &[name, t] : m_targets.all()) {
        if (m_keyed.count(t.record.service) != 0) {
            m_addresses[name] = t.record.address;
        }
    }
    if (m_keyed.empty() || m_leaving) {
        return;
    }
    for (const auto &[name, peer] : m_peers.all()) {
        if (peer.beat.keeperVersion != 0) {
            m_lease.heardVersion(peer.beat.keeperVersion, peer.heardAt);
        }
    }
    const bool kept = !m_keepers.empty();
    // Before a weak VM has heard of the others, it takes some of them for strong.
    constexpr int unknownStrong = 4;
    const int rank = m_peers.strong() ? m_peers.rankFor(keeperDuty, now)
                                      : std::max(unknownStrong, m_peers.rankFor(keeperDuty, now));
    const lease_action action = m_lease.step(otherKeeperAlive(now), rank, now);
    if (kept && !m_lease.held(now)) {
        drop("lease ran out");
    }
    switch (action) {
    case lease_action::Read:
        readRow(now);
        break;
    case lease_action::Claim:
        claim(now);
        break;
    case lease_action::Renew:
        renew(now);
        break;
    case lease_action::None:
        break;
    }
    if (m_lease.held(now) && !(shouldYield(now) && giveUp("a strong VM takes over"))) {
        runKeepers(now);
    }
}

keeper_timing keeper_seat::timingOf(const service_id &service) const
{
    std::int64_t targets = 0;
    for (const auto &[name, t] : m_targets.all()) {
        targets += t.listed && t.record.service == service ? 1 : 0;
    }
    return timingFor(targets, m_longestHold);
}

owner_views keeper_seat::viewsOf(const service_id &service, time_point now)
{
    owner_views views;
    const auto lives = m_targets.newestLives();
    for (const auto &[name, t] : m_targets.all()) {
        if (t.record.service != service) {
            continue;
        }
        owner_view view;
        view.incarnation = t.record.incarnation;
        view.capacity = t.record.slots * m_work.rateOf(name);
        view.reachable = t.listed;
        view.mayOwn = t.leavingSince == time_point{};
        const auto life = lives.find(t.record.address);
        view.ended = !t.listed && life != lives.end() && life->second > t.record.incarnation;
        if (view.ended && m_ended.insert(name).second) {
            m_log.write(log_line("target ended")
                            .add("target", name)
                            .add("address", t.record.address)
                            .add("incarnation", t.record.incarnation)
                            .add("next", life->second));
        }
        view.cold = target_book::cold(t, now);
        views[name] = view;
    }
    return views;
}

void keeper_seat::runKeepers(time_point now)
{
    for (const auto &[service, objective] : m_keyed) {
        auto &keeper = m_keepers[service];
        if (!keeper) {
            keeper =
                std::make_shared<range_keeper>(timingOf(service), m_row.owners[service], true, now);
        }
        for (const range_order &order :
             keeper->step(viewsOf(service, now), m_lease.leaseEnd(), now)) {
            sendOrder(order, keeper);
        }
        if (keeper->wantsRecord() && m_writing.empty()) {
            m_lease.hurry(now);
        }
    }
    if (m_lease.renewalOverdue(now) && !m_heldOver) {
        m_heldOver = true;
        m_log.write(log_line("hold over").add("reason", "store does not take renewals"));
        for (const auto &[service, keeper] : m_keepers) {
            keeper->holdOver(now);
        }
    }
    publishIfChanged(now);
    limitOverloaded(now);
}

owner_capacity keeper_seat::capacityOf(const std::string &target) const
{
    const target_state *t = m_targets.find(target);
    const auto service = t ? m_keyed.find(t->record.service) : m_keyed.end();
    if (service == m_keyed.end()) {
        return {};
    }
    // Half of the objective may pass in the queue: work takes as long at times.
    constexpr double queueShare = 0.5;
    const double objective = std::chrono::duration<double>(service->second).count();
    const double perSecond = t->record.slots * m_work.rateOf(target);
    return {perSecond, std::max(1.0, perSecond * objective * queueShare)};
}

/// Tells all VMs which owners are asked for more than they get done.
void keeper_seat::limitOverloaded(time_point now)
{
    if (now < m_limitAt) {
        return;
    }
    m_limitAt = now + limitPause;
    owner_shares update;
    update.shares =
        m_admission.shares([this](const std::string &target) { return capacityOf(target); }, now);
    if (update.shares.empty() && !m_limiting) {
        return;
    }
    m_limiting = !update.shares.empty();
    m_limitVersion = std::max(m_limitVersion + 1, m_row.epoch << epochShift);
    update.version = m_limitVersion;
    m_limit(update);
}

void keeper_seat::sendOrder(const range_order &order, const std::shared_ptr<range_keeper> &keeper)
{
    const auto address = m_addresses.find(targetOf(order));
    if (address == m_addresses.end()) {
        // Never seen here: its last grant has to run out.
        keeper->ended(numberOf(order), order_outcome::Unanswered, {}, m_clock());
        return;
    }
    std::visit([this](const auto &o) { logChange(o); }, order);
    const std::weak_ptr<range_keeper> weak = keeper;
    m_send(order, address->second, [this, weak, order](const order_answer &answer) {
        if (answer.outcome != order_outcome::Done) {
            m_log.write(log_line("order")
                            .add("target", targetOf(order))
                            .add("grant", std::holds_alternative<grant_order>(order))
                            .add("outdated", answer.outcome == order_outcome::Outdated));
        }
        if (const auto current = weak.lock()) {
            current->ended(numberOf(order), answer.outcome, answer.handover, m_clock());
        }
    });
}

void keeper_seat::logChange(const grant_order &order)
{
    std::uint64_t &known = m_loggedFences[order.target];
    if (order.fence > known) {
        known = order.fence;
        m_log.write(log_line("grant")
                        .add("target", order.target)
                        .add("first", order.keys.first)
                        .add("last", order.keys.last)
                        .add("fence", order.fence)
                        .add("warm", !order.handover.empty()));
    }
}

void keeper_seat::logChange(const release_order &order)
{
    m_log.write(log_line("release")
                    .add("target", order.target)
                    .add("first", order.keys.first)
                    .add("last", order.keys.last)
                    .add("fence", order.fence));
}

void keeper_seat::readRow(time_point)
{
    m_lease.sent();
    m_store.read(m_table, seatRow, [this](row_result &&result) {
        const time_point now = m_clock();
        const auto *rows = std::get_if<row_set>(&result);
        if (!rows) {
            m_lease.failed(now);
            return;
        }
        if (rows->rows.empty()) {
            m_row = {};
            m_lease.read(0, true, now);
            return;
        }
        const table_row &row = rows->rows.front();
        if (auto decoded = decodeRow(row.value)) {
            m_row = std::move(*decoded);
        } else {
            m_log.write(log_line("malformed row").add("row", seatRow));
        }
        const bool ownFormerLife =
            m_row.holder == m_peers.self() && m_row.incarnation != m_incarnation;
        m_lease.read(row.version, m_row.holder.empty() || ownFormerLife, now);
    });
}

void keeper_seat::claim(time_point now)
{
    m_claiming = true;
    m_row.holder = m_peers.self();
    m_row.incarnation = m_incarnation;
    ++m_row.epoch;
    m_writing = encodeRow(m_row);
    m_firstSentAt = now;
    write(now);
}

void keeper_seat::renew(time_point now)
{
    if (m_writing.empty()) {
        for (const auto &[service, keeper] : m_keepers) {
            m_row.owners[service] = keeper->record(m_row.nextFence);
        }
        m_writing = encodeRow(m_row);
        m_firstSentAt = now;
    }
    write(now);
}

void keeper_seat::write(time_point now)
{
    table_transaction transaction;
    transaction.replace(seatRow, m_lease.version(), m_writing);
    m_lease.sent();
    m_store.commit(m_table, transaction,
                   [this, now](commit_answer &&answer) { written(std::move(answer), now); });
}

void keeper_seat::written(commit_answer &&answer, time_point sentAt)
{
    const time_point now = m_clock();
    switch (answer.outcome) {
    case commit_outcome::Applied:
        applied(answer.revision, sentAt);
        return;
    case commit_outcome::Conflict:
        compareRow(m_firstSentAt);
        return;
    case commit_outcome::Refused:
    case commit_outcome::Unknown:
        break;
    }
    if (m_failingSince == time_point{}) {
        m_failingSince = now;
        m_log.write(log_line("store lost").add("step", "write the keeper's row"));
    }
    if (m_claiming) {
        m_claiming = false;
        m_writing.clear();
        m_lease.lost(now);
    } else {
        // The same text again: whichever copy is applied, the row holds what was decided.
        m_lease.failed(now);
    }
}

void keeper_seat::applied(row_version version, time_point sentAt)
{
    const time_point now = m_clock();
    m_lease.written(version, sentAt);
    m_writing.clear();
    if (m_failingSince != time_point{}) {
        m_log.write(log_line("store regained").add("ms", toMillis(now - m_failingSince)));
    }
    m_failingSince = time_point{};
    m_heldOver = false;
    if (m_claiming) {
        m_claiming = false;
        m_keepers.clear();
        m_published.clear();
        m_log.write(log_line("keeper begins").add("epoch", m_row.epoch));
    }
    for (const auto &[service, keeper] : m_keepers) {
        keeper->recorded(now);
    }
    tick(now);
}

/// The row has another version than expected: an earlier copy of the same text may have been
/// applied without an answer, or another VM has written it.
void keeper_seat::compareRow(time_point sentAt)
{
    m_store.read(m_table, seatRow, [this, sentAt](row_result &&result) {
        const time_point now = m_clock();
        const auto *rows = std::get_if<row_set>(&result);
        if (!rows) {
            m_lease.failed(now);
            return;
        }
        if (!rows->rows.empty() && rows->rows.front().value == m_writing) {
            applied(rows->rows.front().version, sentAt);
            return;
        }
        drop("another VM has written the row");
        m_lease.lost(now);
    });
}

void keeper_seat::drop(const char *reason)
{
    if (!m_keepers.empty()) {
        m_log.write(log_line("keeper ends").add("reason", reason).add("epoch", m_row.epoch));
    }
    m_keepers.clear();
    m_published.clear();
    m_writing.clear();
    m_claiming = false;
    m_failingSince = time_point{};
    m_heldOver = false;
}

void keeper_seat::publishIfChanged(time_point now)
{
    bool changed = false;
    for (const auto &[service, keeper] : m_keepers) {
        changed = changed || m_published[service] != keeper->revision();
    }
    if (!changed || now < m_publishAt) {
        return;
    }
    m_publishAt = now + publishPause;
    owner_update update;
    for (const auto &[service, keeper] : m_keepers) {
        m_published[service] = keeper->revision();
        update.maps[service] = keeper->published(now);
    }
    m_updateVersion = std::max(m_updateVersion + 1, m_row.epoch << epochShift);
    update.version = m_updateVersion;
    m_publish(update);
}

void keeper_seat::asked(const key_demand &demand, time_point now)
{
    for (const auto &[target, sample] : demand.work) {
        m_work.add(target, sample);
    }
    for (const auto &[target, waiting] : demand.waiting) {
        m_admission.reported(target, waiting, now);
    }
    for (const auto &[service, list] : demand.keys) {
        const auto it = m_keepers.find(service);
        if (it == m_keepers.end() || !it->second) {
            continue;
        }
        for (const shard_key key : list) {
            it->second->asked(key, now);
            if (const auto owner = it->second->ownerOf(key); !owner.empty()) {
                m_admission.asked(std::string(owner), now);
            }
        }
    }
}

void keeper_seat::leave(time_point now)
{
    m_leaving = true;
    if (!m_lease.held(now) || !giveUp("leaves")) {
        drop("leaves");
    }
}

/// \returns whether a strong VM should keep the keys instead of this weak one, which may have
/// claimed them while no strong one was in sight. Renewing all grants takes more than a weak VM
/// has.
bool keeper_seat::shouldYield(time_point now)
{
    // Longer than a strong VM takes to be heard of by all after its start.
    constexpr milliseconds strongerTime{3000};
    bool stronger = false;
    for (const auto &[name, peer] : m_peers.all()) {
        stronger =
            stronger || (peer.beat.strong && !peer.beat.leaving && peer_book::alive(peer, now));
    }
    if (m_peers.strong() || !stronger || !m_lease.held(now)) {
        m_strongerSince = time_point{};
        return false;
    }
    if (m_strongerSince == time_point{}) {
        m_strongerSince = now;
    }
    return now >= m_strongerSince + strongerTime;
}

/// Writes the row without a holder, so that another VM takes over at once.
/// \returns false when a write is under way, whose end has to be waited for
bool keeper_seat::giveUp(const char *reason)
{
    if (!m_writing.empty()) {
        return false;
    }
    for (const auto &[service, keeper] : m_keepers) {
        m_row.owners[service] = keeper->record(m_row.nextFence);
    }
    m_row.holder.clear();
    m_writing = encodeRow(m_row);
    table_transaction transaction;
    transaction.replace(seatRow, m_lease.version(), m_writing);
    m_store.commit(m_table, transaction, [](commit_answer &&) {
        // Unanswered or not: without a renewal the lease runs out by itself.
    });
    // From here on another VM may hold it, whatever becomes of the answer.
    m_lease.lost(m_clock());
    drop(reason);
    return true;
}

} // namespace damaskward
