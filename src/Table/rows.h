/// \file
/// \brief The rows that the router keeps in the platform's table, and their text form (JSON).

#pragma once

#include "../Core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// One VM as another VM's session names it: a name and the incarnation that is meant.
struct voter
{
    vm_id vm;
    std::uint64_t term = 0;

    friend bool operator==(const voter &a, const voter &b)
    {
        return a.term == b.term && a.vm == b.vm;
    }
};

/// What a session row says of its VM's incarnation.
enum class session_state {
    Live,
    Lapsed, ///< another VM declared it lost
    Ended ///< it stopped by itself
};

/// Row `session/<vm>`: one per VM, renewed by the VM itself.
struct session_row
{
    data_center_id dataCenter;
    std::uint64_t term = 0; ///< raised at each start of the VM
    std::uint64_t counter = 0; ///< raised at each renewal
    session_state state = session_state::Live;
    std::string controlAddress; ///< for the other VMs
    std::string adminAddress; ///< for operators
    std::uint64_t rulesVersion = 0; ///< the rules in force at this VM
    std::uint64_t nonce = 0; ///< tells two processes apart that were started under one name
    std::vector<voter> voters; ///< whose promises count for this VM's holdover
};

/// What a gate knows of its target.
enum class target_status {
    New, ///< not reached yet
    Up,
    Down
};

/// Row `role/<data center>/<role>`: which VM holds a role.
struct role_row
{
    vm_id vm;
    std::uint64_t sessionTerm = 0; ///< the incarnation of the VM that holds it
    std::uint64_t term = 0; ///< raised at each change of holder: the fencing token
    target_status status = target_status::New; ///< for a gate: whether its target answers
};

/// Row `shard/<service>/<number>`: which target owns a shard.
struct shard_row
{
    target_id target;
    std::uint64_t epoch = 0; ///< raised at each change of owner: the fencing token
};

/// Row `head`: which version of the rules is in force.
struct head_row
{
    std::uint64_t version = 0; ///< only rises
    std::string object; ///< the object that holds the text; never written twice
};

inline constexpr std::string_view sessionPrefix = "session/";
inline constexpr std::string_view rolePrefix = "role/";
inline constexpr std::string_view shardPrefix = "shard/";
inline constexpr std::string_view headName = "head";

/// \returns the prefixes of the rows that every VM mirrors.
const std::vector<std::string> &mirroredPrefixes();

/// \returns the row name of a session, a role, a shard.
std::string sessionName(const vm_id &vm);
std::string roleName(const data_center_id &dc, std::string_view role);
std::string shardName(const shard_id &shard);

/// \returns the name of the role of being the gate of \a target.
std::string gateRole(const target_id &target);
/// \returns the name of the role of being the bank of \a team.
std::string bankRole(const team_id &team);

/// \returns the part of a session's row name after its prefix.
vm_id vmOfSession(std::string_view rowName);
/// \returns the shard that a shard row's name names, or nothing for any other name.
std::optional<shard_id> shardOfName(std::string_view rowName);

/// Text forms. Reading returns nothing for a text that no version of the router wrote.
std::string encode(const session_row &row);
std::string encode(const role_row &row);
std::string encode(const shard_row &row);
std::string encode(const head_row &row);
std::optional<session_row> decodeSession(std::string_view text);
std::optional<role_row> decodeRole(std::string_view text);
std::optional<shard_row> decodeShard(std::string_view text);
std::optional<head_row> decodeHead(std::string_view text);

} // namespace damaskward
