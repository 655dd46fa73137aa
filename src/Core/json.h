/// \file
/// \brief Helpers to read and write JSON with jsoncpp.

#pragma once

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damaskward {

/// \returns \a value as JSON text on one line, without whitespace.
std::string writeJson(const Json::Value &value);

/// \returns the JSON object in \a text, or nothing if \a text is not a valid JSON object.
std::optional<Json::Value> readJsonObject(std::string_view text);

/// Reads a member of a message: the empty text, 0 or false if it is missing or of another type.
std::string jsonText(const Json::Value &object, const char *name);
std::uint64_t jsonUnsigned(const Json::Value &object, const char *name);
std::int64_t jsonSigned(const Json::Value &object, const char *name);
double jsonNumber(const Json::Value &object, const char *name);
bool jsonBool(const Json::Value &object, const char *name);
/// \returns the array, or an empty array if the member is missing or of another type.
const Json::Value &jsonArray(const Json::Value &object, const char *name);

} // namespace damaskward
