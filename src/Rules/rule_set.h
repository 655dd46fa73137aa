/// \file
/// \brief The rules of the operators as typed values.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "../Hashing/secret_hash.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace damaskward {

/// `service NAME keyed|unkeyed idempotent|non-idempotent [shards=N]`
struct service_rule
{
    bool keyed = false; ///< sharded by key: requests for a key run only at its owner
    bool idempotent = true;
    std::uint32_t shards = 0; ///< 0 for an unkeyed service
};

/// `data-center NAME share=PERCENT`
struct data_center_rule
{
    int sharePercent = 0; ///< its share of the rate and burst of each team
    bool out = false; ///< drained by an operator
};

/// `target SERVICE/NAME dc=D address=IP:PORT slots=N connections=N [cold=N] [warm_ms=M]`
struct target_rule
{
    data_center_id dataCenter;
    std::string address;
    int slots = 1; ///< maximum number of concurrent requests
    int connections = 1; ///< maximum number of connections
    int coldSlots = 1; ///< maximum number of concurrent requests while warming up
    milliseconds warmAfter{0}; ///< time after its start until all its slots are available
    bool draining = false;
};

/// `team NAME`, `limit TEAM rate=R burst=B` and `allow TEAM SERVICE`
struct team_rule
{
    double rate = 0.0; ///< requests per second over all VMs; 0 if there is no `limit` rule
    double burst = 0.0; ///< requests, over all VMs
    std::set<service_id> services; ///< services it may call besides the open services
};

/// `objective SERVICE latency_ms=L success=RATIO`
struct objective_rule
{
    std::int64_t latencyMillis = 0; ///< answers slower than this count as bad
    double success = 0.0; ///< the required ratio of good requests
};

/// `key TEAM sha256=HEX`; withdrawn keys are kept so that they cannot be granted again by mistake.
struct key_rule
{
    team_id team;
    secret_hash hash{};
    bool withdrawn = false;
};

/// \class rule_set
/// \brief One accepted version of the rules of the operators.
///
/// Immutable once parsed; every VM holds it behind a shared pointer.
///
/// \code
/// parsed<rule_set> rules = parseRules(text, "rules.txt");
/// if (rules.ok())
///     serve(rules.value);
/// \endcode
/// \sa parseRules()
struct rule_set
{
    std::map<service_id, service_rule> services;
    std::map<data_center_id, data_center_rule> dataCenters;
    std::map<target_id, target_rule> targets;
    std::map<team_id, team_rule> teams;
    std::map<service_id, objective_rule> objectives;
    std::set<service_id> openServices; ///< `allow * SERVICE`
    std::vector<key_rule> keys;

    /// \returns the rule of \a service, or null if there is none.
    const service_rule *service(const service_id &service) const;
    /// \returns the rule of \a target, or null if there is none.
    const target_rule *target(const target_id &target) const;
    /// \returns the rule of \a team, or null if there is none.
    const team_rule *team(const team_id &team) const;
    /// \returns whether an operator has drained \a dc.
    bool isOut(const data_center_id &dc) const;
    /// \returns whether \a team may call \a service.
    bool mayCall(const team_id &team, const service_id &service) const;
};

} // namespace damaskward
