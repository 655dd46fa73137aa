#include "rule_set.h"

namespace damaskward {

namespace internal {

template <typename Map>
const typename Map::mapped_type *find(const Map &map, const typename Map::key_type &key)
{
    const auto it = map.find(key);
    return it == map.end() ? nullptr : &it->second;
}

} // namespace internal

const service_rule *rule_set::service(const service_id &service) const
{
    return internal::find(services, service);
}

const target_rule *rule_set::target(const target_id &target) const
{
    return internal::find(targets, target);
}

const team_rule *rule_set::team(const team_id &team) const
{
    return internal::find(teams, team);
}

bool rule_set::isOut(const data_center_id &dc) const
{
    const data_center_rule *rule = internal::find(dataCenters, dc);
    return rule != nullptr && rule->out;
}

bool rule_set::mayCall(const team_id &team, const service_id &service) const
{
    if (openServices.count(service) != 0) {
        return true;
    }
    const team_rule *rule = this->team(team);
    return rule != nullptr && rule->services.count(service) != 0;
}

} // namespace damaskward
