/// \file
/// \brief What a VM tells the keeper of the requests for keys.

#pragma once

#include "../Core/ids.h"
#include "range_map.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace damaskward {

/// Answer times of requests that did not queue.
struct work_sample
{
    int count = 0;
    std::int64_t millis = 0; ///< their sum
};

/// The requests for keys at one VM since its last report.
struct key_demand
{
    std::map<service_id, std::vector<shard_key>> keys; ///< asked for, with repetitions
    std::map<std::string, work_sample> work; ///< by target
    std::map<std::string, int> waiting; ///< by target, as its newest answer said, if any wait

    bool empty() const { return keys.empty() && work.empty() && waiting.empty(); }
};

} // namespace damaskward
