/// \file
/// \brief The rows that the router stores in the platform's table, and their JSON form.

#pragma once

#include "../Core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// A voter listed in the session row of another VM: a VM and one of its incarnations.
struct voter
{
    vm_id vm;
    std::uint64_t term = 0;

    friend bool operator==(const voter &a, const voter &b)
    {
        return a.term == b.term && a.vm == b.vm;
    }
};

/// The state of a session.
enum class session_state {
    Live,
    Lapsed, ///< declared expired by another VM, or by a later incarnation of its own VM
    Ended ///< ended by its own VM at shutdown
};

/// Row `session/<vm>`: the session of one VM, which the VM itself renews.
struct session_row
{
    data_center_id dataCenter;
    std::uint64_t term = 0; ///< identifies the incarnation; raised at each start of the VM
    std::uint64_t counter = 0; ///< raised at each renewal
    session_state state = session_state::Live;
    std::string controlAddress; ///< for requests from other VMs
    std::string adminAddress; ///< for requests from operators
    std::uint64_t rulesVersion = 0; ///< the rules in force at this VM
    std::uint64_t nonce = 0; ///< distinguishes two processes started under the same VM name
    std::vector<voter> voters; ///< the VMs whose promises count for holdover
};

/// The state of a target according to its gate.
enum class target_status {
    New, ///< has not answered yet
    Up,
    Down
};

/// Row `role/<data centre>/<role>`: the VM that holds a role.
struct role_row
{
    vm_id vm;
    std::uint64_t sessionTerm = 0; ///< the session term of the holder
    std::uint64_t term = 0; ///< the fencing token; raised at each change of holder
    target_status status = target_status::New; ///< for a gate: whether its target answers
};

/// Row `shard/<service>/<number>`: the target that owns a shard.
struct shard_row
{
    target_id target;
    std::uint64_t epoch = 0; ///< the fencing token; raised at each change of owner
};

/// Row `head`: the version of the rules that is in force.
struct head_row
{
    std::uint64_t version = 0; ///< never decreases
    std::string object; ///< the object with the text of the rules; written only once
};

inline constexpr std::string_view sessionPrefix = "session/";
inline constexpr std::string_view rolePrefix = "role/";
inline constexpr std::string_view shardPrefix = "shard/";
inline constexpr std::string_view headName = "head";

/// \returns the name prefixes of the rows that every VM replicates.
const std::vector<std::string> &mirroredPrefixes();

/// \returns the row name of a session, a role or a shard.
std::string sessionName(const vm_id &vm);
std::string roleName(const data_center_id &dc, std::string_view role);
std::string shardName(const shard_id &shard);

/// \returns the name of the gate role of \a target.
std::string gateRole(const target_id &target);
/// \returns the name of the role of owning the token bucket of \a team.
std::string bankRole(const team_id &team);

/// \returns the VM of a session row. \a rowName must start with \ref sessionPrefix.
vm_id vmOfSession(std::string_view rowName);
/// \returns the shard of a shard row, or nothing if \a rowName is not the name of a shard row.
std::optional<shard_id> shardOfName(std::string_view rowName);

/// Conversion to and from JSON. Decoding returns nothing for text that no version of the router
/// writes.
std::string encode(const session_row &row);
std::string encode(const role_row &row);
std::string encode(const shard_row &row);
std::string encode(const head_row &row);
std::optional<session_row> decodeSession(std::string_view text);
std::optional<role_row> decodeRole(std::string_view text);
std::optional<shard_row> decodeShard(std::string_view text);
std::optional<head_row> decodeHead(std::string_view text);

} // namespace damaskward
