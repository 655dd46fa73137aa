/// \file
/// \brief Conversion of the ownership messages to and from JSON.

#pragma once

#include "messages.h"

#include <json/json.h>

#include <optional>

namespace damaskward {

Json::Value toJson(const hold_request &message);
Json::Value toJson(const hold_answer &message);
Json::Value toJson(const vote_request &message);
Json::Value toJson(const vote_answer &message);
Json::Value toJson(const grant_request &message);
Json::Value toJson(const grant_answer &message);

/// These functions accept any JSON value: a member that is missing or has the wrong type is read as
/// zero or empty. No recipient accepts a message with such a value.
hold_request readHoldRequest(const Json::Value &value);
hold_answer readHoldAnswer(const Json::Value &value);
vote_request readVoteRequest(const Json::Value &value);
vote_answer readVoteAnswer(const Json::Value &value);
grant_request readGrantRequest(const Json::Value &value);
grant_answer readGrantAnswer(const Json::Value &value);

} // namespace damaskward
