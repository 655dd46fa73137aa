#include "rows.h"

#include "../Core/json.h"

#include <charconv>

namespace damaskward {
namespace internal {

std::string_view name(session_state state)
{
    switch (state) {
    case session_state::Live:
        return "live";
    case session_state::Lapsed:
        return "lapsed";
    case session_state::Ended:
        break;
    }
    return "ended";
}

std::optional<session_state> parseSessionState(std::string_view text)
{
    if (text == "live") {
        return session_state::Live;
    }
    if (text == "lapsed") {
        return session_state::Lapsed;
    }
    if (text == "ended") {
        return session_state::Ended;
    }
    return std::nullopt;
}

std::string_view name(target_status status)
{
    switch (status) {
    case target_status::New:
        return "new";
    case target_status::Up:
        return "up";
    case target_status::Down:
        break;
    }
    return "down";
}

target_status parseTargetStatus(std::string_view text)
{
    if (text == "up") {
        return target_status::Up;
    }
    return text == "new" ? target_status::New : target_status::Down;
}

Json::Value toJson(const voter &v)
{
    Json::Value value;
    value["vm"] = v.vm.str();
    value["term"] = Json::UInt64(v.term);
    return value;
}

} // namespace internal

const std::vector<std::string> &mirroredPrefixes()
{
    static const std::vector<std::string> prefixes = {
        std::string(sessionPrefix), std::string(rolePrefix), std::string(shardPrefix),
        std::string(headName)};
    return prefixes;
}

std::string sessionName(const vm_id &vm)
{
    return std::string(sessionPrefix) + vm.str();
}

std::string roleName(const data_center_id &dc, std::string_view role)
{
    return std::string(rolePrefix) + dc.str() + "/" + std::string(role);
}

std::string shardName(const shard_id &shard)
{
    return std::string(shardPrefix) + shard.service.str() + "/" + std::to_string(shard.number);
}

std::string gateRole(const target_id &target)
{
    return "gate/" + target.str();
}

std::string bankRole(const team_id &team)
{
    return "bank/" + team.str();
}

vm_id vmOfSession(std::string_view rowName)
{
    return vm_id(rowName.substr(sessionPrefix.size()));
}

std::optional<shard_id> shardOfName(std::string_view rowName)
{
    const std::size_t slash = rowName.rfind('/');
    if (rowName.substr(0, shardPrefix.size()) != shardPrefix || slash < shardPrefix.size()) {
        return std::nullopt;
    }
    std::uint32_t number = 0;
    const char *end = rowName.data() + rowName.size();
    const auto [stop, status] = std::from_chars(rowName.data() + slash + 1, end, number);
    if (status != std::errc() || stop != end) {
        return std::nullopt;
    }
    const std::size_t length = slash - shardPrefix.size();
    return shard_id{service_id(rowName.substr(shardPrefix.size(), length)), number};
}

std::string encode(const session_row &row)
{
    Json::Value value;
    value["dc"] = row.dataCenter.str();
    value["term"] = Json::UInt64(row.term);
    value["counter"] = Json::UInt64(row.counter);
    value["state"] = std::string(internal::name(row.state));
    value["control"] = row.controlAddress;
    value["admin"] = row.adminAddress;
    value["rules"] = Json::UInt64(row.rulesVersion);
    value["nonce"] = Json::UInt64(row.nonce);
    value["voters"] = Json::Value(Json::arrayValue);
    for (const voter &v : row.voters) {
        value["voters"].append(internal::toJson(v));
    }
    return writeJson(value);
}

std::string encode(const role_row &row)
{
    Json::Value value;
    value["vm"] = row.vm.str();
    value["session"] = Json::UInt64(row.sessionTerm);
    value["term"] = Json::UInt64(row.term);
    value["status"] = std::string(internal::name(row.status));
    return writeJson(value);
}

std::string encode(const shard_row &row)
{
    Json::Value value;
    value["service"] = row.target.service.str();
    value["target"] = row.target.name;
    value["epoch"] = Json::UInt64(row.epoch);
    return writeJson(value);
}

std::string encode(const head_row &row)
{
    Json::Value value;
    value["version"] = Json::UInt64(row.version);
    value["object"] = row.object;
    return writeJson(value);
}

std::optional<session_row> decodeSession(std::string_view text)
{
    const std::optional<Json::Value> value = readJsonObject(text);
    const std::optional<session_state> state =
        value ? internal::parseSessionState(jsonText(*value, "state")) : std::nullopt;
    if (!state) {
        return std::nullopt;
    }
    session_row row;
    row.dataCenter = data_center_id(jsonText(*value, "dc"));
    row.term = jsonUnsigned(*value, "term");
    row.counter = jsonUnsigned(*value, "counter");
    row.state = *state;
    row.controlAddress = jsonText(*value, "control");
    row.adminAddress = jsonText(*value, "admin");
    row.rulesVersion = jsonUnsigned(*value, "rules");
    row.nonce = jsonUnsigned(*value, "nonce");
    for (const Json::Value &v : jsonArray(*value, "voters")) {
        row.voters.push_back({vm_id(jsonText(v, "vm")), jsonUnsigned(v, "term")});
    }
    return row;
}

std::optional<role_row> decodeRole(std::string_view text)
{
    const std::optional<Json::Value> value = readJsonObject(text);
    if (!value) {
        return std::nullopt;
    }
    role_row row;
    row.vm = vm_id(jsonText(*value, "vm"));
    row.sessionTerm = jsonUnsigned(*value, "session");
    row.term = jsonUnsigned(*value, "term");
    row.status = internal::parseTargetStatus(jsonText(*value, "status"));
    return row;
}

std::optional<shard_row> decodeShard(std::string_view text)
{
    const std::optional<Json::Value> value = readJsonObject(text);
    if (!value) {
        return std::nullopt;
    }
    shard_row row;
    row.target = {service_id(jsonText(*value, "service")), jsonText(*value, "target")};
    row.epoch = jsonUnsigned(*value, "epoch");
    return row;
}

std::optional<head_row> decodeHead(std::string_view text)
{
    const std::optional<Json::Value> value = readJsonObject(text);
    if (!value) {
        return std::nullopt;
    }
    return head_row{jsonUnsigned(*value, "version"), jsonText(*value, "object")};
}

} // namespace damaskward
