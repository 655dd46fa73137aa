// JSON encoding and decoding of the table's messages.

#include "platform_client.h"

#include "../Core/json.h"

namespace damaskward {

std::string encodeTransaction(const table_transaction &transaction)
{
    Json::Value value;
    value["checks"] = Json::Value(Json::arrayValue);
    value["puts"] = Json::Value(Json::arrayValue);
    for (const table_check &check : transaction.checks) {
        Json::Value entry;
        entry["name"] = check.name;
        entry["version"] = Json::UInt64(check.version);
        value["checks"].append(entry);
    }
    for (const table_put &put : transaction.puts) {
        Json::Value entry;
        entry["name"] = put.name;
        entry["value"] = put.value;
        value["puts"].append(entry);
    }
    return writeJson(value);
}

std::optional<table_transaction> decodeTransaction(std::string_view text)
{
    const std::optional<Json::Value> value = readJsonObject(text);
    if (!value || !(*value)["checks"].isArray() || !(*value)["puts"].isArray()) {
        return std::nullopt;
    }
    table_transaction transaction;
    for (const Json::Value &entry : (*value)["checks"]) {
        if (!entry.isObject()) {
            return std::nullopt;
        }
        transaction.checks.push_back({jsonText(entry, "name"), jsonUnsigned(entry, "version")});
    }
    for (const Json::Value &entry : (*value)["puts"]) {
        if (!entry.isObject()) {
            return std::nullopt;
        }
        transaction.puts.push_back({jsonText(entry, "name"), jsonText(entry, "value")});
    }
    return transaction;
}

std::string encodeCommitAnswer(const commit_answer &answer)
{
    Json::Value value;
    const bool applied = answer.outcome == commit_outcome::Applied;
    value["outcome"] = applied ? "applied" : "conflict";
    value["revision"] = Json::UInt64(answer.revision);
    value["conflicts"] = Json::Value(Json::arrayValue);
    for (const std::string &name : answer.conflicts) {
        value["conflicts"].append(name);
    }
    return writeJson(value);
}

std::optional<commit_answer> decodeCommitAnswer(std::string_view text)
{
    const std::optional<Json::Value> value = readJsonObject(text);
    if (!value) {
        return std::nullopt;
    }
    commit_answer answer;
    const std::string outcome = jsonText(*value, "outcome");
    if (outcome == "applied") {
        answer.outcome = commit_outcome::Applied;
    } else if (outcome == "conflict") {
        answer.outcome = commit_outcome::Conflict;
    }
    answer.revision = jsonUnsigned(*value, "revision");
    for (const Json::Value &name : jsonArray(*value, "conflicts")) {
        answer.conflicts.push_back(name.isString() ? name.asString() : "");
    }
    return answer;
}

std::string encodeChanges(const table_changes &changes)
{
    Json::Value value;
    value["revision"] = Json::UInt64(changes.revision);
    value["rows"] = Json::Value(Json::arrayValue);
    for (const table_row &row : changes.rows) {
        Json::Value entry;
        entry["name"] = row.name;
        entry["value"] = row.value;
        entry["version"] = Json::UInt64(row.version);
        entry["deleted"] = row.deleted;
        value["rows"].append(entry);
    }
    return writeJson(value);
}

std::optional<table_changes> decodeChanges(std::string_view text)
{
    const std::optional<Json::Value> value = readJsonObject(text);
    if (!value) {
        return std::nullopt;
    }
    table_changes changes;
    changes.revision = jsonUnsigned(*value, "revision");
    for (const Json::Value &entry : jsonArray(*value, "rows")) {
        if (!entry.isObject()) {
            return std::nullopt;
        }
        changes.rows.push_back({jsonText(entry, "name"), jsonText(entry, "value"),
                                jsonUnsigned(entry, "version"), jsonBool(entry, "deleted")});
    }
    return changes;
}

} // namespace damaskward
