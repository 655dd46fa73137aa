/// \file
/// \brief Where each shard of a keyed service should be.

#pragma once

#include "../Rules/rule_set.h"
#include "table_mirror.h"

#include <map>
#include <optional>
#include <vector>

namespace damaskward {

/// \class shard_plan
/// \brief The wanted target of every shard, computed alike on every VM from the rules and rows.
///
/// Two levels. Rendezvous hashing over the data centres that are not out, with a bounded load,
/// names a shard's data centre; it does not look at which VMs or targets live, so a data centre
/// that is cut off keeps its shards. Inside the data centre the same rule chooses among the
/// targets that are neither drained nor down.
///
/// \code
/// shard_plan plan(rules, mirror);
/// std::optional<target_id> wanted = plan.targetOf(shard);
/// \endcode
class shard_plan
{
public:
    shard_plan() = default;
    shard_plan(const rule_set &rules, const table_mirror &mirror);

    /// \returns the wanted target, or nothing when no target can be had.
    std::optional<target_id> targetOf(const shard_id &shard) const;

private:
    void planService(const service_id &service, const service_rule &rule, const rule_set &rules,
                     const table_mirror &mirror);

    std::map<service_id, std::vector<std::optional<target_id>>> m_targets;
};

} // namespace damaskward
