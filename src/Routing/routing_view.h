/// \file
/// \brief The data that an entry needs to route a request. Immutable; shared by all its threads.

#pragma once

#include "../Ownership/table_replica.h"
#include "../Rules/rule_set.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// A target in a routing_view.
struct routed_target
{
    target_id id;
    target_rule rule;
    vm_id gate; ///< the VM that has the target's gate role; empty if none has
    std::string gateAddress; ///< the gate VM's control address
    std::uint64_t gateTerm = 0;
    std::uint64_t gateSession = 0; ///< term of the session in which the gate VM holds the role
    bool usable = false; ///< it is up, and neither it nor its data centre is drained
};

/// A shard in a routing_view.
struct routed_shard
{
    static constexpr std::uint32_t noTarget = UINT32_MAX;
    std::uint32_t target = noTarget; ///< index into \ref routed_service::targets
    std::uint64_t epoch = 0;
};

/// A service in a routing_view.
struct routed_service
{
    service_id id;
    service_rule rule;
    bool open = false; ///< every team may call it
    std::vector<routed_target> targets;
    std::vector<routed_shard> shards; ///< empty for a service that is not sharded by key
};

/// The destination of requests for one key.
struct key_route
{
    const routed_service *service = nullptr;
    const routed_target *target = nullptr; ///< null when the shard has no owner yet
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
};

/// \class routing_view
/// \brief A consistent snapshot of the rules and the table, indexed for look-ups.
///
/// Look-ups do not allocate memory. A new view is built whenever the rules or the rows change.
///
/// \code
/// const routed_service *service = view.service("lookup");
/// key_route where = view.routeKey(*service, "student-17");
/// \endcode
class routing_view
{
public:
    routing_view() = default;
    routing_view(const rule_set &rules, std::uint64_t rulesVersion, const table_replica &replica);

    std::uint64_t rulesVersion() const { return m_rulesVersion; }
    const std::vector<routed_service> &services() const { return m_services; }

    /// \returns the service named \a name, or null.
    const routed_service *service(std::string_view name) const;
    /// \returns the owner of \a key; the route has no target when the shard has no owner.
    key_route routeKey(const routed_service &service, std::string_view key) const;
    /// \returns the team that \a apiKey belongs to, or null for an unknown or withdrawn key.
    const team_id *teamOfKey(std::string_view apiKey) const;
    /// \returns whether \a team may call \a service.
    bool mayCall(const team_id &team, const routed_service &service) const;
    /// \returns the target named \a target, or null.
    const routed_target *target(const target_id &target) const;
    /// \returns whether the process of \a vm with the session term \a session has been lost. One
    /// that is stopped as planned is not: it completes its requests.
    bool isLost(const vm_id &vm, std::uint64_t session) const;

private:
    struct known_session
    {
        std::uint64_t term = 0;
        bool hasLapsed = false;
    };

    struct api_key
    {
        std::uint64_t prefix = 0; ///< the first bytes of the hash, for the search
        secret_hash hash{};
        team_id team;
    };

    void addTarget(routed_service &service, const target_id &id, const target_rule &rule,
                   const rule_set &rules, const table_replica &replica);
    void addShards(routed_service &service, const table_replica &replica);

    std::uint64_t m_rulesVersion = 0;
    std::vector<routed_service> m_services; ///< sorted by name
    std::vector<api_key> m_keys; ///< sorted by prefix
    std::map<team_id, team_rule> m_teams;
    std::map<vm_id, known_session> m_sessions; ///< the newest session of each VM
};

} // namespace damaskward
