/// \file
/// \brief One version of the operators' configuration, as typed values.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace damaskward {

/// What may be done with a request of a route.
enum class request_kind {
    Idempotent, ///< may run more than once
    NonIdempotent, ///< runs at most once for each attempt of its caller
    Download ///< idempotent, with a large answer
};

/// \returns whether requests of \a kind may be repeated.
inline bool mayRepeat(request_kind kind)
{
    return kind != request_kind::NonIdempotent;
}

/// A service that gets a share of a route's requests.
struct route_part
{
    service_id service;
    int weight = 1; ///< its share relative to the other parts
};

/// Where requests of one host and path prefix go, and how they are treated.
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    request_kind kind = request_kind::Idempotent;
    milliseconds timeout{0}; ///< the longest that a caller is kept waiting
    milliseconds objective{0}; ///< an answer within this time counts as good
    int priority = 0; ///< 0 is the most urgent
    int maxAttempts = 1; ///< targets that one caller attempt may be sent to
    bool open = false; ///< needs no API key
    std::vector<route_part> parts; ///< never empty
};

/// What all targets of a service have in common.
struct service_settings
{
    int maxConnections = 0; ///< that one target accepts, from all callers together
    milliseconds warmup{0}; ///< how long a target is cold after its start
    double warmupRate = 0.0; ///< requests a second that a cold target bears
    bool keyed = false; ///< divided by key: each key runs only at its owner
};

/// Bounds on what a caller may send.
struct caller_limits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 1 << 20;
    milliseconds headerTimeout{3000}; ///< from a request's first byte to the end of its header
    milliseconds idleTimeout{15000}; ///< between two requests on a connection
};

/// A team's rank and limit.
struct team_settings
{
    int priority = 0; ///< goes before the route's
    double rate = 0.0; ///< requests a second over all VMs, 0 for no limit
    double burst = 0.0; ///< requests
};

/// \class deployment
/// \brief One version of the configuration. Immutable once decoded; shared by pointer.
///
/// \code
/// if (const route *r = config->findRoute(host, path))
///     forward(*r);
/// \endcode
class deployment
{
public:
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<service_id, service_settings> services;
    caller_limits limits;
    bool hasTeams = false; ///< requests carry API keys
    std::map<team_id, team_settings> teams;
    std::unordered_map<std::string, team_id> teamOfKey;

    /// Builds the index that findRoute() uses. To be called once, after the routes are filled in.
    void indexRoutes();

    /// \returns the route of \a host with the longest prefix of \a path, or null.
    const route *findRoute(std::string_view host, std::string_view path) const;

    /// \returns the shortest objective of the routes to \a service.
    milliseconds objectiveOf(const service_id &service) const;

    /// \returns the settings of \a service, or null.
    const service_settings *service(const service_id &service) const
    {
        const auto it = services.find(service);
        return it == services.end() ? nullptr : &it->second;
    }

    /// \returns the settings of \a team, or null.
    const team_settings *team(const team_id &team) const
    {
        const auto it = teams.find(team);
        return it == teams.end() ? nullptr : &it->second;
    }

private:
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost; ///< longest prefix first
};

} // namespace damaskward
