/// \file
/// \brief The messages about ownership among VMs and between VMs and targets.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "../Table/table.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace damaskward {

/// Sent by a VM that cannot reach the platform, to request a promise not to approve that its
/// session is declared expired. A recipient that reaches the platform offers to relay the renewals
/// instead.
struct hold_request
{
    vm_id from;
    std::uint64_t term = 0; ///< the session term of the sender
    row_version version = 0; ///< of the sender's session row, as it last knew it
};

/// The outcome of a \ref hold_request.
enum class hold_outcome {
    Refused,
    Promised, ///< in force until the promise time has passed on the voter's clock
    Reachable ///< no promise: the voter reaches the platform and can relay the renewal
};

struct hold_answer
{
    hold_outcome outcome = hold_outcome::Refused;
    std::uint64_t voterTerm = 0; ///< the session term of the VM that answered
};

/// Requests approval to declare a session expired. A voter that has promised to protect the session
/// does not approve.
struct vote_request
{
    vm_id from;
    vm_id suspect;
    row_version version = 0; ///< the voted version of the suspect's session row
};

struct vote_answer
{
    bool approved = false;
    std::uint64_t voterTerm = 0; ///< the session term of the voter; 0 if it has no session
    /// Whether the vote also counts for all previous incarnations of the voter. It does once the
    /// voter has run for longer than any promise lasts: two processes never run under one name at
    /// the same time, so every promise of a previous incarnation has expired.
    bool coversFormer = false;
};

/// A shard granted to a target.
struct granted_shard
{
    shard_id shard;
    std::uint64_t epoch = 0; ///< the fencing token of the shard

    friend bool operator==(const granted_shard &a, const granted_shard &b)
    {
        return a.epoch == b.epoch && a.shard == b.shard;
    }
};

/// A gate's command to its target: own exactly this set of shards until the deadline.
///
/// The pair (gateTerm, sequence) is a fencing token: the target refuses a command whose pair is
/// lower than the highest that it has received. It also refuses a command for another boot. The
/// deadline is on the target's own clock, so a command that is delayed past its deadline has
/// expired on arrival.
struct grant_request
{
    target_id target;
    std::uint64_t boot = 0; ///< the addressed start of the target; 0 only requests its state
    std::uint64_t gateTerm = 0;
    std::uint64_t sequence = 0; ///< raised with every command of one gate term
    std::uint64_t setNumber = 0; ///< identifies the set of shards; raised whenever the set changes
    target_time deadline; ///< on the target's clock
    std::optional<std::vector<granted_shard>> shards; ///< omitted if the target has this set
};

/// A target's answer to a \ref grant_request.
struct grant_answer
{
    std::uint64_t boot = 0;
    target_time now; ///< the target's clock
    std::uint64_t gateTerm = 0; ///< the highest that it has received
    std::uint64_t setNumber = 0; ///< the set that it holds under that gate term
    bool accepted = false;
    std::uint32_t closing = 0; ///< released shards that still have requests under way
    std::uint32_t runningForOthers = 0; ///< requests under way of earlier gate terms
};

} // namespace damaskward
