#include "shard_plan.h"

#include "../Hashing/rendezvous.h"

namespace damaskward {
namespace internal {

/// The highest load of a data centre or a target, relative to the mean load per weight.
constexpr double maxRelativeLoad = 1.15;

/// The targets of one service in one data centre that may own shards.
struct target_candidates
{
    std::vector<target_id> ids;
    std::vector<place> places;
};

target_candidates usableTargets(const data_center_id &dc, const service_id &service,
                                const rule_set &rules, const table_replica &replica)
{
    target_candidates candidates;
    for (const auto &[target, rule] : rules.targets) {
        if (target.service != service || rule.dataCenter != dc || rule.draining) {
            continue;
        }
        const seen_row<role_row> *gate = replica.role(roleName(dc, gateRole(target)));
        const bool isDown = gate != nullptr && gate->row.status == target_status::Down;
        if (!isDown) {
            candidates.ids.push_back(target);
            candidates.places.emplace_back(target.str(), rule.slots);
        }
    }
    return candidates;
}

/// \returns the data centres that are not drained, weighted by the slots of their targets.
std::vector<place> usableDataCenters(const service_id &service, const rule_set &rules)
{
    std::map<data_center_id, double> slots;
    for (const auto &[target, rule] : rules.targets) {
        if (target.service == service && !rule.draining && !rules.isOut(rule.dataCenter)) {
            slots[rule.dataCenter] += rule.slots;
        }
    }
    std::vector<place> places;
    places.reserve(slots.size());
    for (const auto &[dc, weight] : slots) {
        places.emplace_back(dc.str(), weight);
    }
    return places;
}

} // namespace internal

shard_plan::shard_plan(const rule_set &rules, const table_replica &replica)
{
    for (const auto &[service, rule] : rules.services) {
        if (rule.keyed) {
            planService(service, rule, rules, replica);
        }
    }
}

void shard_plan::planService(const service_id &service, const service_rule &rule,
                             const rule_set &rules, const table_replica &replica)
{
    auto &targets = m_targets[service];
    targets.resize(rule.shards);
    const std::vector<place> dataCenters = internal::usableDataCenters(service, rules);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(rule.shards);
    for (std::uint32_t number = 0; number < rule.shards; ++number) {
        hashes.push_back(combineHash(keyHash(service.str()), number));
    }
    const std::vector<std::size_t> dataCenterOf =
        boundedPlacement(hashes, dataCenters, internal::maxRelativeLoad);
    for (std::size_t dc = 0; dc < dataCenters.size(); ++dc) {
        std::vector<std::uint32_t> shards;
        std::vector<std::uint64_t> shardHashes;
        for (std::uint32_t number = 0; number < rule.shards; ++number) {
            if (dataCenterOf[number] == dc) {
                shards.push_back(number);
                shardHashes.push_back(hashes[number]);
            }
        }
        const internal::target_candidates candidates =
            internal::usableTargets(data_center_id(dataCenters[dc].name), service, rules, replica);
        const std::vector<std::size_t> chosen =
            boundedPlacement(shardHashes, candidates.places, internal::maxRelativeLoad);
        for (std::size_t i = 0; i < chosen.size(); ++i) {
            targets[shards[i]] = candidates.ids[chosen[i]];
        }
    }
}

std::optional<target_id> shard_plan::targetOf(const shard_id &shard) const
{
    const auto service = m_targets.find(shard.service);
    if (service == m_targets.end() || shard.number >= service->second.size()) {
        return std::nullopt;
    }
    return service->second[shard.number];
}

} // namespace damaskward
