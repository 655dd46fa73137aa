/// \file
/// \brief One JSON-RPC call over a transport that the caller brings. Source: libjsonrpccpp.

#pragma once

#include <json/json.h>

#include <functional>
#include <string>

namespace damaskward {

/// Sends a request text and fills in the answer text. \returns false when there was no answer.
using rpc_transport = std::function<bool(const std::string &request, std::string &answer)>;

/// Calls a method and waits for its result.
/// \param result filled in when the call succeeds
/// \returns an empty text, or what went wrong
///
/// The library's client headers need C++14 (they carry dynamic exception specifications), so this
/// header and its source stay within it.
std::string callRpc(const rpc_transport &transport, const std::string &method,
                    const Json::Value &parameters, Json::Value &result);

} // namespace damaskward
