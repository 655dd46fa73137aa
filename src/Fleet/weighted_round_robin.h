/// \file
/// \brief Distributes a route's requests over its services in proportion to their weights.

#pragma once

#include "deployment.h"

#include <map>
#include <string>

namespace damaskward {

/// \class weighted_round_robin
/// \brief Smooth weighted round robin: after any number of requests, each service has received its
/// share to within one request. Not thread-safe.
///
/// A service without free capacity keeps its share: its requests are refused, not moved to
/// another service.
///
/// \code
/// weighted_round_robin roundRobin;
/// const service_id &service = roundRobin.pick(route);
/// \endcode
class weighted_round_robin
{
public:
    /// \returns the service for the next request of \a r.
    const service_id &pick(const route &r)
    {
        if (r.services.size() == 1) {
            return r.services.front().service;
        }
        std::map<service_id, double> &credits = m_credits[r.name];
        double total = 0.0;
        const weighted_service *best = nullptr;
        for (const weighted_service &candidate : r.services) {
            total += candidate.weight;
            credits[candidate.service] += candidate.weight;
            if (!best || credits[candidate.service] > credits[best->service]) {
                best = &candidate;
            }
        }
        credits[best->service] -= total;
        return best->service;
    }

    /// Clears the state of all routes. Must be called when the routes have changed.
    void reset() { m_credits.clear(); }

private:
    std::map<std::string, std::map<service_id, double>> m_credits; ///< by route
};

} // namespace damaskward
