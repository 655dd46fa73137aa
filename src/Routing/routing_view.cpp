#include "routing_view.h"

#include "../Hashing/key_hash.h"

#include <algorithm>
#include <cstring>

namespace damaskward {
namespace internal {

std::uint64_t hashPrefix(const secret_hash &hash)
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, hash.data(), sizeof(prefix));
    return prefix;
}

} // namespace internal

routing_view::routing_view(const rule_set &rules, std::uint64_t rulesVersion,
                           const table_replica &replica)
    : m_rulesVersion(rulesVersion)
    , m_teams(rules.teams)
{
    for (const auto &[id, rule] : rules.services) {
        routed_service service{id, rule, rules.openServices.count(id) != 0, {}, {}};
        for (const auto &[target, targetRule] : rules.targets) {
            if (target.service == id) {
                addTarget(service, target, targetRule, rules, replica);
            }
        }
        addShards(service, replica);
        m_services.push_back(std::move(service));
    }
    for (const auto &[vm, session] : replica.sessions()) {
        m_sessions[vm] = {session.row.term, session.row.state == session_state::Lapsed};
    }
    for (const key_rule &key : rules.keys) {
        if (!key.withdrawn) {
            m_keys.push_back({internal::hashPrefix(key.hash), key.hash, key.team});
        }
    }
    std::sort(m_keys.begin(), m_keys.end(),
              [](const api_key &a, const api_key &b) { return a.prefix < b.prefix; });
}

void routing_view::addTarget(routed_service &service, const target_id &id, const target_rule &rule,
                             const rule_set &rules, const table_replica &replica)
{
    routed_target target{id, rule, {}, {}, 0, 0, false};
    const seen_row<role_row> *gateRow = replica.role(roleName(rule.dataCenter, gateRole(id)));
    if (gateRow != nullptr && replica.isLive(gateRow->row.vm, gateRow->row.sessionTerm)) {
        target.gate = gateRow->row.vm;
        target.gateAddress = replica.session(gateRow->row.vm)->row.controlAddress;
        target.gateTerm = gateRow->row.term;
        target.gateSession = gateRow->row.sessionTerm;
        target.usable = gateRow->row.status == target_status::Up && !rule.draining
            && !rules.isOut(rule.dataCenter);
    }
    service.targets.push_back(std::move(target));
}

void routing_view::addShards(routed_service &service, const table_replica &replica)
{
    service.shards.resize(service.rule.shards);
    std::map<target_id, std::uint32_t> indices;
    for (std::uint32_t i = 0; i < service.targets.size(); ++i) {
        indices[service.targets[i].id] = i;
    }
    for (std::uint32_t n = 0; n < service.rule.shards; ++n) {
        const seen_row<shard_row> *shardRow = replica.shard({service.id, n});
        const auto index = shardRow == nullptr ? indices.end() : indices.find(shardRow->row.target);
        if (index != indices.end()) {
            service.shards[n] = {index->second, shardRow->row.epoch};
        }
    }
}

const routed_service *routing_view::service(std::string_view name) const
{
    const auto it = std::lower_bound(
        m_services.begin(), m_services.end(), name,
        [](const routed_service &s, std::string_view wanted) { return s.id.str() < wanted; });
    return it != m_services.end() && it->id.str() == name ? &*it : nullptr;
}

key_route routing_view::routeKey(const routed_service &service, std::string_view key) const
{
    key_route result;
    result.service = &service;
    result.shard = shardOfKey(key, service.rule.shards);
    const routed_shard &shard = service.shards[result.shard];
    result.epoch = shard.epoch;
    if (shard.target != routed_shard::noTarget) {
        result.target = &service.targets[shard.target];
    }
    return result;
}

const team_id *routing_view::teamOfKey(std::string_view apiKey) const
{
    const secret_hash hash = hashSecret(apiKey);
    const std::uint64_t prefix = internal::hashPrefix(hash);
    auto it = std::lower_bound(
        m_keys.begin(), m_keys.end(), prefix,
        [](const api_key &key, std::uint64_t wanted) { return key.prefix < wanted; });
    for (; it != m_keys.end() && it->prefix == prefix; ++it) {
        if (equalInConstantTime(it->hash, hash)) {
            return &it->team;
        }
    }
    return nullptr;
}

bool routing_view::mayCall(const team_id &team, const routed_service &service) const
{
    if (service.open) {
        return true;
    }
    const auto rule = m_teams.find(team);
    return rule != m_teams.end() && rule->second.services.count(service.id) != 0;
}

bool routing_view::isLost(const vm_id &vm, std::uint64_t session) const
{
    const auto it = m_sessions.find(vm);
    return it != m_sessions.end()
        && (it->second.term > session || (it->second.term == session && it->second.hasLapsed));
}

const routed_target *routing_view::target(const target_id &target) const
{
    const routed_service *found = service(target.service.str());
    if (found == nullptr) {
        return nullptr;
    }
    const auto it = std::find_if(found->targets.begin(), found->targets.end(),
                                 [&target](const routed_target &t) { return t.id == target; });
    return it == found->targets.end() ? nullptr : &*it;
}

} // namespace damaskward
