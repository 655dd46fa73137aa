/// \file
/// \brief Selects the registry records to use among those of a read and those known before.

#pragma once

#include "target_pool.h"

#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace damaskward {

/// Removes outdated records. A store that was restored from an older copy contains records from
/// before a target began to drain or was removed; the records of one target are ordered by its
/// incarnation and its heartbeat counter.
/// \param records all records of a read of the store
/// \param targets the targets as known before this read
/// \returns for each target the newer one of its read record and its known record, but nothing for
/// targets that were removed since their read record.
inline std::vector<target_record> withoutOutdated(const std::vector<target_record> &records,
                                                  const target_pool &targets)
{
    std::vector<target_record> result;
    for (const target_record &record : records) {
        const target_state *known = targets.find(record.name);
        if (!known) {
            result.push_back(record);
            continue;
        }
        const auto positionOf = [](const target_record &r) {
            return std::tie(r.incarnation, r.heartbeatCounter);
        };
        if (!known->isRegistered && !(positionOf(known->record) < positionOf(record))) {
            continue;
        }
        result.push_back(positionOf(record) < positionOf(known->record) ? known->record : record);
        // Within one incarnation, a target that drains never stops draining.
        result.back().draining = result.back().draining
            || (known->record.draining && known->record.incarnation == record.incarnation);
    }
    return result;
}

/// Adds the known records of registered targets that a read does not contain, for a store that
/// may have lost records of live targets.
/// \param records all records of a read of the store
/// \param targets the targets as known before this read
/// \returns \a records and the added records.
inline std::vector<target_record> withRemembered(std::vector<target_record> records,
                                                 const target_pool &targets)
{
    std::set<std::string> names;
    for (const target_record &record : records) {
        names.insert(record.name);
    }
    for (const auto &[name, t] : targets.all()) {
        if (t.isRegistered && names.count(name) == 0) {
            records.push_back(t.record);
        }
    }
    return records;
}

} // namespace damaskward
