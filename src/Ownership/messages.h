/// \file
/// \brief What VMs say to each other and to targets about ownership.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "../Table/table.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace damaskward {

/// "I cannot reach the platform. Renew for me, or promise not to help anyone replace me."
struct hold_request
{
    vm_id from;
    std::uint64_t term = 0; ///< the asker's session term
    row_version version = 0; ///< of the asker's session row, as it last knew it
};

/// What a VM answers to a \ref hold_request.
enum class hold_outcome {
    Refused,
    Promised, ///< until the promise span has passed at the voter
    Reachable ///< this VM reaches the platform; ask it to relay the renewal
};

struct hold_answer
{
    hold_outcome outcome = hold_outcome::Refused;
    std::uint64_t voterTerm = 0; ///< the incarnation that promised
};

/// "I want to declare this session lapsed; have you promised to protect it?"
struct vote_request
{
    vm_id from;
    vm_id suspect;
    row_version version = 0; ///< of the suspect's session row that the vote is about
};

struct vote_answer
{
    bool approved = false;
    std::uint64_t voterTerm = 0; ///< the incarnation that voted
    /// This process has run for longer than any promise lasts. Two processes never run under one
    /// name, so it votes for all earlier incarnations too: what they promised has run out.
    bool coversFormer = false;
};

/// A shard as a target is told to hold it.
struct granted_shard
{
    shard_id shard;
    std::uint64_t epoch = 0;

    friend bool operator==(const granted_shard &a, const granted_shard &b)
    {
        return a.epoch == b.epoch && a.shard == b.shard;
    }
};

/// A gate's order to its target: hold exactly this set until the deadline.
///
/// It is fenced: the target refuses an order of a lower (gateTerm, sequence) than it has seen,
/// and one for another boot. The deadline is a point on the target's own clock, so an order that
/// was delayed arrives already expired.
struct grant_request
{
    target_id target;
    std::uint64_t boot = 0; ///< which start of the target is meant; 0 only asks for its state
    std::uint64_t gateTerm = 0;
    std::uint64_t sequence = 0; ///< raised with every order of one gate term
    std::uint64_t setNumber = 0; ///< names the set; raised whenever it changes
    target_time deadline; ///< on the target's clock
    std::optional<std::vector<granted_shard>> shards; ///< left out when the target has this set
};

/// A target's answer to a \ref grant_request.
struct grant_answer
{
    std::uint64_t boot = 0;
    target_time now; ///< the target's clock
    std::uint64_t gateTerm = 0; ///< the highest it has seen
    std::uint64_t setNumber = 0; ///< the set it holds, under that gate term
    bool accepted = false;
    std::uint32_t closing = 0; ///< shards given up whose last requests still run
    std::uint32_t runningForOthers = 0; ///< requests of earlier gate terms that still run
};

} // namespace damaskward
