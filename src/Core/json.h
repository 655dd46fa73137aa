/// \file
/// \brief Short helpers over jsoncpp, the library for all JSON here.

#pragma once

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damaskward {

/// \returns \a value on one line without spaces.
std::string writeJson(const Json::Value &value);

/// \returns the object that \a text holds, or nothing when it holds anything else.
std::optional<Json::Value> readJsonObject(std::string_view text);

/// Reads members of a message whose types may be wrong; a wrong type reads as the fallback.
std::string jsonText(const Json::Value &object, const char *name);
std::uint64_t jsonUnsigned(const Json::Value &object, const char *name);
std::int64_t jsonSigned(const Json::Value &object, const char *name);
double jsonNumber(const Json::Value &object, const char *name);
bool jsonBool(const Json::Value &object, const char *name);
/// \returns the array, or an empty one.
const Json::Value &jsonArray(const Json::Value &object, const char *name);

} // namespace damaskward
