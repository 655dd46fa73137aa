/// \file
/// \brief Divides a route's requests among services in the proportions of their weights.

#pragma once

#include "deployment.h"

#include <map>
#include <string>

namespace damaskward {

/// \class part_picker
/// \brief Smooth weighted round robin: after any run of requests each part has its share to
/// within one request. Not thread-safe.
///
/// A part that is short of room keeps its share: its requests are refused, not moved.
///
/// \code
/// part_picker picker;
/// const service_id &service = picker.pick(route);
/// \endcode
class part_picker
{
public:
    /// \returns the service that the next request of \a r goes to.
    const service_id &pick(const route &r)
    {
        if (r.parts.size() == 1) {
            return r.parts.front().service;
        }
        std::map<service_id, double> &credits = m_credits[r.name];
        double total = 0.0;
        const route_part *best = nullptr;
        for (const route_part &part : r.parts) {
            total += part.weight;
            credits[part.service] += part.weight;
            if (!best || credits[part.service] > credits[best->service]) {
                best = &part;
            }
        }
        credits[best->service] -= total;
        return best->service;
    }

    /// Forgets what was picked: to be called when the routes have changed.
    void reset() { m_credits.clear(); }

private:
    std::map<std::string, std::map<service_id, double>> m_credits; ///< by route
};

} // namespace damaskward
