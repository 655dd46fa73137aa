/// \file
/// \brief The demand for keys that a VM reports to the range coordinator.

#pragma once

#include "../Core/ids.h"
#include "range_map.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace damaskward {

/// Service times of requests that did not wait in a queue.
struct service_time_sample
{
    int count = 0;
    std::int64_t millis = 0; ///< their sum
};

/// The requests for keys at one VM since its last report.
struct key_demand
{
    std::map<service_id, std::vector<shard_key>> keys; ///< one entry per request
    std::map<std::string, service_time_sample> serviceTimes; ///< by target
    /// Queue lengths by target, as reported in its newest answer; without empty queues.
    std::map<std::string, int> queueLengths;

    bool empty() const { return keys.empty() && serviceTimes.empty() && queueLengths.empty(); }
};

} // namespace damaskward
