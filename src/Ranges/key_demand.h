/// \file
/// \brief The demand for keys that a VM reports to the range coordinator.

#pragma once

#include "../Core/ids.h"
#include "range_map.h"

#include <cstddef>
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

/// Successive requests of equal priority.
struct priority_run
{
    std::int32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t count = 0; ///< of requests
};

/// The requests for keys at one VM since its last report.
struct key_demand
{
    std::map<service_id, std::vector<shard_key>> keys; ///< one entry per request
    /// The priorities of the requests in `keys`, in their order. Requests beyond the last run have
    /// priority 0.
    std::map<service_id, std::vector<priority_run>> priorities;
    std::map<std::string, service_time_sample> serviceTimes; ///< by target
    /// Queue lengths by target, as reported in its newest answer; without empty queues.
    std::map<std::string, int> queueLengths;

    bool empty() const { return keys.empty() && serviceTimes.empty() && queueLengths.empty(); }

    /// Adds a request for \a key. Requests of equal priority are kept adjacent, so that the message
    /// contains one run for each priority.
    void addRequest(const service_id &service, shard_key key, int priority)
    {
        std::vector<shard_key> &list = keys[service];
        std::vector<priority_run> &runs = priorities[service];
        std::size_t end = 0;
        for (priority_run &run : runs) {
            end += run.count;
            if (run.priority == priority) {
                ++run.count;
                list.insert(list.begin() + static_cast<std::ptrdiff_t>(end), key);
                return;
            }
        }
        runs.push_back({priority, 1});
        list.push_back(key);
    }

    /// Calls \a visit with the key and the priority of each request for \a service.
    template <typename Visit>
    void forEachRequest(const service_id &service, Visit &&visit) const
    {
        static const std::vector<priority_run> noRuns;
        const auto requests = keys.find(service);
        const auto known = priorities.find(service);
        const std::vector<priority_run> &runs = known == priorities.end() ? noRuns : known->second;
        auto run = runs.begin();
        std::uint32_t visited = 0; // Requests of the present run.
        for (std::size_t i = 0; requests != keys.end() && i < requests->second.size(); ++i) {
            for (; run != runs.end() && visited >= run->count; ++run) {
                visited = 0;
            }
            ++visited;
            visit(requests->second[i], run == runs.end() ? 0 : static_cast<int>(run->priority));
        }
    }
};

} // namespace damaskward
