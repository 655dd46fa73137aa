/// \file
/// \brief The operators' rules, as typed values.

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
    bool keyed = false; ///< divided by key: each key runs only at its owner
    bool idempotent = true;
    std::uint32_t shards = 0; ///< 0 for a service not divided by key
};

/// `data-center NAME share=PERCENT`
struct data_center_rule
{
    int sharePercent = 0; ///< its share of every team's rate and burst
    bool out = false; ///< operators have taken it out
};

/// `target SERVICE/NAME dc=D address=IP:PORT slots=N connections=N [cold=N] [warm_ms=M]`
struct target_rule
{
    data_center_id dataCenter;
    std::string address;
    int slots = 1; ///< requests it runs at a time
    int connections = 1; ///< connections it accepts
    int coldSlots = 1; ///< requests it bears at a time just after its start
    milliseconds warmAfter{0}; ///< how long after its start it bears all its slots
    bool draining = false;
};

/// `team NAME`, `limit TEAM rate=R burst=B` and `allow TEAM SERVICE`
struct team_rule
{
    double rate = 0.0; ///< requests a second, over all VMs; 0 means no limit line
    double burst = 0.0; ///< requests
    std::set<service_id> services; ///< what it may call besides the open routes
};

/// `objective SERVICE latency_ms=L success=RATIO`
struct objective_rule
{
    std::int64_t latencyMillis = 0; ///< an answer slower than this counts as bad
    double success = 0.0; ///< the share of requests that must be good
};

/// `key TEAM sha256=HEX`; a withdrawn key is kept so that it cannot be granted again by mistake.
struct key_rule
{
    team_id team;
    secret_hash hash{};
    bool withdrawn = false;
};

/// \class rule_set
/// \brief One accepted version of the operators' rules.
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

    /// \returns the rule of \a service, or null.
    const service_rule *service(const service_id &service) const;
    /// \returns the rule of \a target, or null.
    const target_rule *target(const target_id &target) const;
    /// \returns the rule of \a team, or null.
    const team_rule *team(const team_id &team) const;
    /// \returns whether operators have taken \a dc out.
    bool isOut(const data_center_id &dc) const;
    /// \returns whether \a team may call \a service.
    bool mayCall(const team_id &team, const service_id &service) const;
};

} // namespace damaskward
