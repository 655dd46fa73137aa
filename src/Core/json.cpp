#include "json.h"

#include <memory>

namespace damaskward {

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::optional<Json::Value> readJsonObject(std::string_view text)
{
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value root;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &root, &errors)
            && root.isObject()) {
            return root;
        }
    } catch (const Json::Exception &) {
        // jsoncpp throws if a document is nested too deeply; it is treated as malformed.
    }
    return std::nullopt;
}

namespace internal {

/// \returns the member, or null if \a object is not an object or has no such member.
const Json::Value &member(const Json::Value &object, const char *name)
{
    return object.isObject() ? object[name] : Json::Value::nullSingleton();
}

} // namespace internal

std::string jsonText(const Json::Value &object, const char *name)
{
    const Json::Value &value = internal::member(object, name);
    return value.isString() ? value.asString() : std::string();
}

std::uint64_t jsonUnsigned(const Json::Value &object, const char *name)
{
    const Json::Value &value = internal::member(object, name);
    return value.isUInt64() ? value.asUInt64() : 0;
}

std::int64_t jsonSigned(const Json::Value &object, const char *name)
{
    const Json::Value &value = internal::member(object, name);
    return value.isInt64() ? value.asInt64() : 0;
}

double jsonNumber(const Json::Value &object, const char *name)
{
    const Json::Value &value = internal::member(object, name);
    return value.isNumeric() ? value.asDouble() : 0.0;
}

const Json::Value &jsonArray(const Json::Value &object, const char *name)
{
    static const Json::Value empty(Json::arrayValue);
    const Json::Value &value = internal::member(object, name);
    return value.isArray() ? value : empty;
}

bool jsonBool(const Json::Value &object, const char *name)
{
    const Json::Value &value = internal::member(object, name);
    return value.isBool() && value.asBool();
}

} // namespace damaskward
