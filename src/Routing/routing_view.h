/// \file
/// \brief What an entry needs to route a request; immutable, shared by all its threads.

#pragma once

#include "../Ownership/table_mirror.h"
#include "../Rules/rule_set.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// A target as an entry sees it.
struct routed_target
{
    target_id id;
    target_rule rule;
    vm_id gate; ///< empty when no VM holds the gate
    std::string gateAddress; ///< the gate VM's control address
    std::uint64_t gateTerm = 0;
    bool usable = false; ///< up, not drained, its data centre not out
};

/// A shard as an entry sees it.
struct routed_shard
{
    static constexpr std::uint32_t noTarget = UINT32_MAX;
    std::uint32_t target = noTarget; ///< index into \ref routed_service::targets
    std::uint64_t epoch = 0;
};

/// A service as an entry sees it.
struct routed_service
{
    service_id id;
    service_rule rule;
    bool open = false;
    std::vector<routed_target> targets;
    std::vector<routed_shard> shards; ///< empty for a service not divided by key
};

/// Where a request for a key goes.
struct route
{
    const routed_service *service = nullptr;
    const routed_target *target = nullptr; ///< null when the shard has no owner yet
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
};

/// \class routing_view
/// \brief One consistent picture of the rules and the table, made for look-ups.
///
/// Look-ups allocate nothing. A new view is built whenever the rules or the rows change.
///
/// \code
/// const routed_service *service = view.service("lookup");
/// route where = view.routeKey(*service, "student-17");
/// \endcode
class routing_view
{
public:
    routing_view() = default;
    routing_view(const rule_set &rules, std::uint64_t rulesVersion, const table_mirror &mirror);

    std::uint64_t rulesVersion() const { return m_rulesVersion; }
    const std::vector<routed_service> &services() const { return m_services; }

    /// \returns the service named \a name, or null.
    const routed_service *service(std::string_view name) const;
    /// \returns the owner of \a key; the route has no target when the shard has no owner.
    route routeKey(const routed_service &service, std::string_view key) const;
    /// \returns the team that \a apiKey belongs to, or null for an unknown or withdrawn key.
    const team_id *teamOfKey(std::string_view apiKey) const;
    /// \returns whether \a team may call \a service.
    bool mayCall(const team_id &team, const routed_service &service) const;
    /// \returns the target named \a target, or null.
    const routed_target *target(const target_id &target) const;

private:
    struct granted_key
    {
        std::uint64_t prefix = 0; ///< the digest's first bytes, for the search
        secret_hash hash{};
        team_id team;
    };

    void addTarget(routed_service &service, const target_id &id, const target_rule &rule,
                   const rule_set &rules, const table_mirror &mirror);
    void addShards(routed_service &service, const table_mirror &mirror);

    std::uint64_t m_rulesVersion = 0;
    std::vector<routed_service> m_services; ///< sorted by name
    std::vector<granted_key> m_keys; ///< sorted by prefix
    std::map<team_id, team_rule> m_teams;
};

} // namespace damaskward
