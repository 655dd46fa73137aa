#include "deployment.h"

#include <algorithm>

namespace damaskward {

void deployment::indexRoutes()
{
    m_byHost.clear();
    for (std::size_t i = 0; i < routes.size(); ++i) {
        m_byHost[routes[i].host].push_back(i);
    }
    for (auto &[host, indices] : m_byHost) {
        std::sort(indices.begin(), indices.end(), [this](std::size_t a, std::size_t b) {
            return routes[a].prefix.size() > routes[b].prefix.size();
        });
    }
}

milliseconds deployment::objectiveOf(const service_id &service) const
{
    milliseconds shortest = milliseconds::max();
    for (const route &r : routes) {
        const bool routesToService = std::any_of(
            r.services.begin(), r.services.end(),
            [&](const weighted_service &candidate) { return candidate.service == service; });
        if (routesToService && r.objective.count() > 0) {
            shortest = std::min(shortest, r.objective);
        }
    }
    constexpr milliseconds defaultObjective{1000}; // If no route to the service has one.
    return shortest == milliseconds::max() ? defaultObjective : shortest;
}

const route *deployment::findRoute(std::string_view host, std::string_view path) const
{
    const route *found = findRouteOfHost(host, path);
    const std::size_t colon = host.rfind(':');
    return found || colon == std::string_view::npos ? found
                                                    : findRouteOfHost(host.substr(0, colon), path);
}

const route *deployment::findRouteOfHost(std::string_view host, std::string_view path) const
{
    const auto it = m_byHost.find(host);
    if (it == m_byHost.end()) {
        return nullptr;
    }
    for (const std::size_t index : it->second) {
        if (path.substr(0, routes[index].prefix.size()) == routes[index].prefix) {
            return &routes[index];
        }
    }
    return nullptr;
}

} // namespace damaskward
