#include "intent_row.h"

#include "../Core/json.h"
#include "../Hashing/secret_hash.h"

namespace damaskward {

std::string intentName(const service_id &service, const team_id &team,
                       std::string_view idempotencyKey)
{
    return std::string(intentPrefix) + service.str() + "/" + team.str() + "/"
        + toHex(hashSecret(idempotencyKey));
}

std::string encode(const intent_row &row)
{
    Json::Value value;
    value["token"] = Json::UInt64(row.token);
    value["print"] = Json::UInt64(row.fingerprint);
    value["done"] = row.done;
    if (row.done) {
        value["status"] = row.status;
        value["type"] = row.contentType;
        value["body"] = row.body;
        value["owner"] = row.owner;
    }
    return writeJson(value);
}

std::optional<intent_row> decodeIntent(std::string_view text)
{
    const std::optional<Json::Value> value = readJsonObject(text);
    if (!value) {
        return std::nullopt;
    }
    intent_row row;
    row.token = jsonUnsigned(*value, "token");
    row.fingerprint = jsonUnsigned(*value, "print");
    row.done = jsonBool(*value, "done");
    row.status = static_cast<int>(jsonSigned(*value, "status"));
    row.contentType = jsonText(*value, "type");
    row.body = jsonText(*value, "body");
    row.owner = jsonText(*value, "owner");
    return row;
}

} // namespace damaskward
