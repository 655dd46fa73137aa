/// \file
/// \brief One version of the operators' configuration, as typed values.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace damaskward {

/// How the requests of a route may be handled.
enum class request_kind {
    Idempotent, ///< may run more than once
    NonIdempotent, ///< runs at most once per attempt of the caller
    Download, ///< idempotent, with a large response
    Upload ///< non-idempotent, with a large request body
};

/// \returns whether requests of \a kind may be sent more than once.
inline bool mayRepeat(request_kind kind)
{
    return kind == request_kind::Idempotent || kind == request_kind::Download;
}

/// A service that receives a share of a route's requests.
struct weighted_service
{
    service_id service;
    int weight = 1; ///< share relative to the route's other services
};

/// The services for requests of one host and path prefix, and the limits of these requests.
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    request_kind kind = request_kind::Idempotent;
    milliseconds timeout{0}; ///< the caller waits no longer than this for its answer
    milliseconds objective{0}; ///< latency objective: an answer within this time counts as good
    int priority = 0; ///< 0 is the most urgent
    int maxAttempts = 1; ///< number of targets that one attempt of a caller may be sent to
    bool open = false; ///< callers need no API key
    /// Empty if the route could not be decoded completely: its requests are refused.
    std::vector<weighted_service> services;
};

/// Settings shared by all targets of a service.
struct service_settings
{
    int maxConnections = 0; ///< connections that one target accepts, from all callers together
    milliseconds warmup{0}; ///< how long a target warms up after its start
    double warmupRate = 0.0; ///< requests per second that a target handles while warming up
    std::string healthPath; ///< path of a target's health check, may be empty
    bool keyed = false; ///< sharded by key: a key's requests run only at the target that owns it
};

/// Limits on the size and the timing of callers' requests.
struct caller_limits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 1 << 20;
    milliseconds headerTimeout{3000}; ///< from a request's first byte to the end of its header
    milliseconds idleTimeout{15000}; ///< between two requests on one connection
};

/// A team's priority and rate limit.
struct team_settings
{
    std::optional<int> priority; ///< takes precedence over the route's priority
    double rate = 0.0; ///< requests per second over all VMs, 0 for no limit
    double burst = 0.0; ///< in requests
};

/// \class deployment
/// \brief One version of the operators' configuration.
///
/// Immutable once decoded; shared by pointer.
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
    /// Some teams could not be decoded, so an unknown API key may be one of theirs.
    bool hasUnreadableTeams = false;
    /// The entries that could not be decoded, with the reason. All others are in force.
    std::vector<std::string> setAside;

    /// Builds the index that findRoute() uses. Must be called once, after \a routes is filled in.
    void indexRoutes();

    /// \param host value of the Host field; a port in it is ignored unless a route names it
    /// \returns the route of \a host whose prefix is the longest match for \a path, or null.
    const route *findRoute(std::string_view host, std::string_view path) const;

    /// \returns the shortest objective of the routes to \a service, 1 s if none of them has one.
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

    /// \returns the priority of \a team if it has one, else that of \a route.
    int priorityOf(const struct route &route, const team_id &team) const
    {
        const team_settings *known = this->team(team);
        return known && known->priority ? *known->priority : route.priority;
    }

private:
    const route *findRouteOfHost(std::string_view host, std::string_view path) const;

    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost; ///< longest prefix first
};

} // namespace damaskward
