#include "control_loop.h"

#include "../Core/json.h"
#include "../Ownership/message_text.h"

namespace damaskward {
namespace internal {

constexpr std::size_t eventRingCapacity = 8192;
constexpr milliseconds tickPeriod{25};
constexpr milliseconds statusPeriod{250};

Json::Value sessionJson(const vm_id &vm, const seen_row<session_row> &seen, time_point now)
{
    Json::Value value;
    value["vm"] = vm.str();
    value["dc"] = seen.row.dataCenter.str();
    value["term"] = Json::UInt64(seen.row.term);
    value["rules"] = Json::UInt64(seen.row.rulesVersion);
    static const char *const names[] = {"live", "lapsed", "ended"};
    value["state"] = names[static_cast<int>(seen.row.state)];
    value["unchanged_ms"] = Json::Int64(toMillis(now - seen.firstSeen));
    return value;
}

Json::Value gateJson(const routed_target &target, std::size_t shards)
{
    Json::Value value;
    value["target"] = target.id.str();
    value["dc"] = target.rule.dataCenter.str();
    value["gate"] = target.gate.str();
    value["term"] = Json::UInt64(target.gateTerm);
    value["usable"] = target.usable;
    value["draining"] = target.rule.draining;
    value["shards"] = Json::UInt64(shards);
    return value;
}

} // namespace internal

/// Executes one action of the ownership state machine.
struct action_runner
{
    control_loop &loop;

    void operator()(const read_table &action) const
    {
        const auto done = [&l = loop, id = action.id](const std::optional<table_changes> &changes) {
            l.post(read_done{id, changes});
        };
        if (action.through.empty()) {
            loop.m_platform.readChanges(action.since, mirroredPrefixes(), done);
            return;
        }
        Json::Value parameters;
        parameters["since"] = Json::UInt64(action.since);
        loop.m_peers.call(
            action.through, "relayChanges", parameters, [done](const Json::Value *result) {
                const bool hasResult = result != nullptr && result->isObject();
                done(hasResult ? decodeChanges(jsonText(*result, "answer")) : std::nullopt);
            });
    }

    void operator()(const commit_table &action) const
    {
        const auto done = [&l = loop, id = action.id](const commit_answer &answer) {
            l.post(commit_done{id, answer});
        };
        if (action.through.empty()) {
            loop.m_platform.commit(action.transaction, done);
            return;
        }
        Json::Value parameters;
        parameters["transaction"] = encodeTransaction(action.transaction);
        loop.m_peers.call(
            action.through, "relayCommit", parameters, [done](const Json::Value *result) {
                const bool hasResult = result != nullptr && result->isObject();
                const auto answer =
                    hasResult ? decodeCommitAnswer(jsonText(*result, "answer")) : std::nullopt;
                done(answer.value_or(commit_answer{}));
            });
    }

    void operator()(const send_grant &action) const
    {
        const target_id target = action.request.target;
        loop.m_orders.send(
            action.address, action.request, [&l = loop, target](const grant_outcome &outcome) {
                l.post(grant_done{target, outcome.answer, outcome.connectionRefused});
            });
    }

    void operator()(const send_hold_request &action) const
    {
        loop.m_peers.call(action.to, "hold", toJson(action.request),
                          [&l = loop, id = action.id, to = action.to](const Json::Value *result) {
                              hold_answered event{id, to, std::nullopt};
                              if (result != nullptr) {
                                  event.answer = readHoldAnswer(*result);
                              }
                              l.post(event);
                          });
    }

    void operator()(const send_vote_request &action) const
    {
        loop.m_peers.call(action.to, "vote", toJson(action.request),
                          [&l = loop, id = action.id, to = action.to](const Json::Value *result) {
                              vote_answered event{id, to, std::nullopt};
                              if (result != nullptr) {
                                  event.answer = readVoteAnswer(*result);
                              }
                              l.post(event);
                          });
    }

    void operator()(const answer_hold &action) const
    {
        control_loop::completeRequest(loop.m_pendingHolds, action.id, action.answer);
    }

    void operator()(const answer_vote &action) const
    {
        control_loop::completeRequest(loop.m_pendingVotes, action.id, action.answer);
    }
};

control_loop::control_loop(const ownership_config &config, platform_client &platform,
                           peer_directory &peers, grant_client &orders)
    : m_config(config)
    , m_platform(platform)
    , m_peers(peers)
    , m_orders(orders)
    , m_ring(internal::eventRingCapacity)
    , m_machine(config)
    , m_routes(std::make_shared<const routing_view>())
{ }

control_loop::~control_loop()
{
    m_running = false;
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void control_loop::start()
{
    m_running = true;
    m_thread = std::thread([this] { run(); });
}

bool control_loop::stop(time_point deadline)
{
    post(stop_requested{});
    while (!m_handedOver && mono_clock::now() < deadline) {
        std::this_thread::sleep_for(internal::tickPeriod);
    }
    return m_handedOver;
}

void control_loop::run()
{
    while (m_running) {
        processNextEvent();
        const time_point now = mono_clock::now();
        publish(now);
        logSessionChanges(now);
        m_handedOver = m_machine.stopped();
        if (m_onHead && m_machine.replica().head().version > m_machine.rulesVersion()) {
            m_onHead(m_machine.replica().head());
        }
    }
}

void control_loop::processNextEvent()
{
    action_list actions;
    const std::optional<ownership_event> event = m_ring.popUntil(m_nextTick);
    const time_point now = mono_clock::now();
    if (event) {
        m_machine.handle(*event, now, actions);
    }
    if (now >= m_nextTick) {
        m_nextTick = now + internal::tickPeriod;
        m_machine.handle(tick{}, now, actions);
    }
    executeActions(actions);
}

void control_loop::executeActions(const action_list &actions)
{
    for (const ownership_action &action : actions) {
        std::visit(action_runner{*this}, action);
    }
}

template <typename Answer>
void control_loop::completeRequest(pending_requests<Answer> &pending, operation_id id,
                                   const Answer &answer)
{
    const std::lock_guard lock(pending.mutex);
    const auto request = pending.promises.find(id);
    if (request != pending.promises.end()) {
        request->second.set_value(answer);
        pending.promises.erase(request);
    }
}

template <typename Event, typename Request, typename Answer>
std::optional<Answer> control_loop::awaitAnswer(pending_requests<Answer> &pending,
                                                const Request &request, time_point deadline)
{
    const operation_id id = ++m_nextRequestId;
    std::future<Answer> answer;
    {
        const std::lock_guard lock(pending.mutex);
        answer = pending.promises[id].get_future();
    }
    const bool posted = post(Event{id, request});
    if (posted && answer.wait_until(deadline) == std::future_status::ready) {
        return answer.get();
    }
    const std::lock_guard lock(pending.mutex);
    pending.promises.erase(id);
    return std::nullopt;
}

std::optional<hold_answer> control_loop::answerPeer(const hold_request &request,
                                                    time_point deadline)
{
    return awaitAnswer<hold_request_received>(m_pendingHolds, request, deadline);
}

std::optional<vote_answer> control_loop::answerPeer(const vote_request &request,
                                                    time_point deadline)
{
    return awaitAnswer<vote_request_received>(m_pendingVotes, request, deadline);
}

bool control_loop::routesChanged() const
{
    const table_replica &replica = m_machine.replica();
    return m_seenSessions != replica.sessionChanges() || m_seenRoles != replica.roleChanges()
        || m_seenShards != replica.shardChanges() || m_seenRules != m_machine.rulesVersion();
}

std::vector<gate_info> control_loop::gateInfos(time_point now) const
{
    std::vector<gate_info> infos;
    for (const target_id &target : m_machine.gates().held()) {
        const target_lease *lease = m_machine.gates().lease(target);
        const target_rule *rule = m_machine.rules().target(target);
        const service_rule *service = m_machine.rules().service(target.service);
        if (rule == nullptr || service == nullptr) {
            continue;
        }
        gate_info info;
        info.target = target;
        info.address = rule->address;
        info.limits = {rule->slots, rule->coldSlots, rule->warmAfter};
        info.gateTerm = lease->gateTerm();
        info.boot = lease->boot();
        info.open = lease->status() == target_status::Up && lease->isCurrent() && !lease->fenced()
            && m_machine.holds(gateRole(target), now);
        info.isDown = lease->status() == target_status::Down;
        info.keyed = service->keyed;
        info.runningForOthers = lease->runningForOthers();
        info.authority = std::min(m_machine.session().authority(), lease->grantedUntil());
        for (const granted_shard &granted : lease->wanted()) {
            info.epochs[granted.shard.number] = granted.epoch;
        }
        infos.push_back(std::move(info));
    }
    return infos;
}

std::map<team_id, bucket_info> control_loop::bucketInfos(time_point now) const
{
    std::map<team_id, bucket_info> infos;
    const rule_set &rules = m_machine.rules();
    const auto dc = rules.dataCenters.find(m_config.dataCenter);
    const double share = dc == rules.dataCenters.end() ? 0.0 : dc->second.sharePercent / 100.0;
    for (const auto &[team, rule] : rules.teams) {
        if (rule.rate <= 0.0) {
            continue;
        }
        bucket_info info;
        info.rate = rule.rate * share;
        info.burst = rule.burst * share;
        const std::string row = roleName(m_config.dataCenter, bankRole(team));
        const seen_row<role_row> *seen = m_machine.replica().role(row);
        if (seen != nullptr && m_machine.replica().isLive(seen->row.vm, seen->row.sessionTerm)) {
            info.owner = seen->row.vm;
            info.term = seen->row.term;
            info.isOwner = m_machine.holds(bankRole(team), now);
            info.previousOwnerExpired = m_machine.roles().takenFromLapsed(row, seen->row.term);
            info.authority = m_machine.session().authority();
        }
        infos[team] = info;
    }
    return infos;
}

void control_loop::publish(time_point now)
{
    if (routesChanged()) {
        const table_replica &replica = m_machine.replica();
        m_seenSessions = replica.sessionChanges();
        m_seenRoles = replica.roleChanges();
        m_seenShards = replica.shardChanges();
        m_seenRules = m_machine.rulesVersion();
        m_routes = std::make_shared<const routing_view>(m_machine.rules(), m_machine.rulesVersion(),
                                                        replica);
        m_peers.update(replica);
    }
    auto view = std::make_shared<control_view>();
    view->routes = m_routes;
    view->gates = gateInfos(now);
    view->buckets = bucketInfos(now);
    view->objectives = m_machine.rules().objectives;
    view->ready = m_machine.replica().wasRead()
        && m_machine.rulesVersion() >= m_machine.replica().head().version;
    m_view.publish(view);
    if (m_onView) {
        m_onView(view);
    }
    if (now >= m_nextStatus) {
        m_nextStatus = now + internal::statusPeriod;
        publishStatus(now);
    }
}

void control_loop::publishStatus(time_point now)
{
    Json::Value value;
    value["vm"] = m_config.self.str();
    value["dc"] = m_config.dataCenter.str();
    value["term"] = Json::UInt64(m_machine.session().term());
    value["authority"] = m_machine.session().hasAuthority(now);
    value["holdover"] = m_machine.session().inHoldover(now);
    value["platform"] = m_machine.reachesPlatform(now);
    value["rules"] = Json::UInt64(m_machine.rulesVersion());
    value["head"] = Json::UInt64(m_machine.replica().head().version);
    value["sessions"] = Json::Value(Json::arrayValue);
    for (const auto &[vm, seen] : m_machine.replica().sessions()) {
        value["sessions"].append(internal::sessionJson(vm, seen, now));
    }
    value["targets"] = Json::Value(Json::arrayValue);
    for (const routed_service &service : m_routes->services()) {
        std::vector<std::size_t> shards(service.targets.size(), 0);
        for (const routed_shard &shard : service.shards) {
            if (shard.target != routed_shard::noTarget) {
                ++shards[shard.target];
            }
        }
        for (std::size_t i = 0; i < service.targets.size(); ++i) {
            value["targets"].append(internal::gateJson(service.targets[i], shards[i]));
        }
    }
    m_status.publish(std::make_shared<const std::string>(writeJson(value)));
}

void control_loop::logSessionChanges(time_point now)
{
    const std::uint64_t term = m_machine.session().term();
    if (term != m_loggedTerm) {
        if (term == 0) {
            m_log.warn("Session {} has ended; this VM may not act for its roles without a session.",
                       m_loggedTerm);
        } else {
            m_log.info("Session {} has started.", term);
        }
        m_loggedTerm = term;
    }
    const bool holdover = m_machine.session().inHoldover(now);
    if (holdover != m_loggedHoldover) {
        m_log.warn(
            holdover
                ? "Holdover has started: the platform is unreachable, and a quorum of peers has "
                  "promised not to let this session expire."
                : "Holdover has ended; the session no longer depends on the promises of peers.");
        m_loggedHoldover = holdover;
    }
}

} // namespace damaskward
