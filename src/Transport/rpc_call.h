/// \file
/// \brief One JSON-RPC call over a transport supplied by the caller. Source: libjsonrpccpp.

#pragma once

#include <json/json.h>

#include <functional>
#include <string>

namespace damaskward {

/// Sends a request text and sets the answer text. \returns false when there was no answer.
using rpc_transport = std::function<bool(const std::string &request, std::string &answer)>;

/// Calls a method and waits for its result.
/// \param result set when the call succeeds
/// \returns an error message, empty on success
///
/// This header and its source are restricted to C++14, because libjsonrpccpp's client headers
/// contain dynamic exception specifications, which C++17 removed.
std::string callRpc(const rpc_transport &transport, const std::string &method,
                    const Json::Value &parameters, Json::Value &result);

} // namespace damaskward
