#include "message_text.h"

#include "../Core/json.h"

namespace damaskward {
namespace internal {

std::string name(hold_outcome outcome)
{
    switch (outcome) {
    case hold_outcome::Promised:
        return "promised";
    case hold_outcome::Reachable:
        return "reachable";
    case hold_outcome::Refused:
        break;
    }
    return "refused";
}

hold_outcome parseHoldOutcome(const std::string &text)
{
    if (text == "promised") {
        return hold_outcome::Promised;
    }
    return text == "reachable" ? hold_outcome::Reachable : hold_outcome::Refused;
}

} // namespace internal

Json::Value toJson(const hold_request &message)
{
    Json::Value value;
    value["from"] = message.from.str();
    value["term"] = Json::UInt64(message.term);
    value["version"] = Json::UInt64(message.version);
    return value;
}

Json::Value toJson(const hold_answer &message)
{
    Json::Value value;
    value["outcome"] = internal::name(message.outcome);
    value["term"] = Json::UInt64(message.voterTerm);
    return value;
}

Json::Value toJson(const vote_request &message)
{
    Json::Value value;
    value["from"] = message.from.str();
    value["suspect"] = message.suspect.str();
    value["version"] = Json::UInt64(message.version);
    return value;
}

Json::Value toJson(const vote_answer &message)
{
    Json::Value value;
    value["approved"] = message.approved;
    value["term"] = Json::UInt64(message.voterTerm);
    value["former"] = message.coversFormer;
    return value;
}

Json::Value toJson(const grant_request &message)
{
    Json::Value value;
    value["service"] = message.target.service.str();
    value["target"] = message.target.name;
    value["boot"] = Json::UInt64(message.boot);
    value["term"] = Json::UInt64(message.gateTerm);
    value["sequence"] = Json::UInt64(message.sequence);
    value["set"] = Json::UInt64(message.setNumber);
    value["deadline"] = Json::Int64(message.deadline.micros);
    if (message.shards) {
        value["shards"] = Json::Value(Json::arrayValue);
        for (const granted_shard &granted : *message.shards) {
            Json::Value entry;
            entry["n"] = granted.shard.number;
            entry["e"] = Json::UInt64(granted.epoch);
            value["shards"].append(entry);
        }
    }
    return value;
}

Json::Value toJson(const grant_answer &message)
{
    Json::Value value;
    value["boot"] = Json::UInt64(message.boot);
    value["now"] = Json::Int64(message.now.micros);
    value["term"] = Json::UInt64(message.gateTerm);
    value["set"] = Json::UInt64(message.setNumber);
    value["accepted"] = message.accepted;
    value["closing"] = message.closing;
    value["others"] = message.runningForOthers;
    return value;
}

hold_request readHoldRequest(const Json::Value &value)
{
    return {vm_id(jsonText(value, "from")), jsonUnsigned(value, "term"),
            jsonUnsigned(value, "version")};
}

hold_answer readHoldAnswer(const Json::Value &value)
{
    return {internal::parseHoldOutcome(jsonText(value, "outcome")), jsonUnsigned(value, "term")};
}

vote_request readVoteRequest(const Json::Value &value)
{
    return {vm_id(jsonText(value, "from")), vm_id(jsonText(value, "suspect")),
            jsonUnsigned(value, "version")};
}

vote_answer readVoteAnswer(const Json::Value &value)
{
    return {jsonBool(value, "approved"), jsonUnsigned(value, "term"), jsonBool(value, "former")};
}

grant_request readGrantRequest(const Json::Value &value)
{
    grant_request message;
    message.target = {service_id(jsonText(value, "service")), jsonText(value, "target")};
    message.boot = jsonUnsigned(value, "boot");
    message.gateTerm = jsonUnsigned(value, "term");
    message.sequence = jsonUnsigned(value, "sequence");
    message.setNumber = jsonUnsigned(value, "set");
    message.deadline.micros = jsonSigned(value, "deadline");
    const Json::Value &shards = jsonArray(value, "shards");
    if (value.isObject() && value.isMember("shards")) {
        message.shards.emplace();
        for (const Json::Value &entry : shards) {
            const auto number = static_cast<std::uint32_t>(jsonUnsigned(entry, "n"));
            message.shards->push_back(
                {shard_id{message.target.service, number}, jsonUnsigned(entry, "e")});
        }
    }
    return message;
}

grant_answer readGrantAnswer(const Json::Value &value)
{
    grant_answer message;
    message.boot = jsonUnsigned(value, "boot");
    message.now.micros = jsonSigned(value, "now");
    message.gateTerm = jsonUnsigned(value, "term");
    message.setNumber = jsonUnsigned(value, "set");
    message.accepted = jsonBool(value, "accepted");
    message.closing = static_cast<std::uint32_t>(jsonUnsigned(value, "closing"));
    message.runningForOthers = static_cast<std::uint32_t>(jsonUnsigned(value, "others"));
    return message;
}

} // namespace damaskward
