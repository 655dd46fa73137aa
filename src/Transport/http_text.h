/// \file
/// \brief Reads and writes header fields and bodies of cpprest messages.

#pragma once

#include "../Core/run_state.h"
#include "headers.h"

#include <cpprest/http_msg.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// The first two segments of a request's path.
struct request_path
{
    std::string service;
    std::string key; ///< percent-decoded; everything after the first segment
};

/// \returns the path's parts, or nothing when it is not `/<service>/<key>`.
std::optional<request_path> splitPath(const web::uri &uri);

/// \returns the header's value, empty when there is none.
std::string headerText(const web::http::http_headers &headers, const char *name);
/// \returns the header's whole number, or nothing when it is missing or malformed.
std::optional<std::uint64_t> headerNumber(const web::http::http_headers &headers, const char *name);

/// A refusal before or instead of running the request.
/// \param reason one word that names the cause
web::http::http_response makeRefusal(web::http::status_code status, run_state state,
                                     std::string_view reason);

/// \returns whether the message says how long its body is (a length or chunks).
bool isFramed(const web::http::http_headers &headers);

/// A JSON answer.
web::http::http_response makeJson(web::http::status_code status, const std::string &body);

/// Answers a request. A caller that has gone away is nobody's error.
void sendReply(const web::http::http_request &request, const web::http::http_response &response);

} // namespace damaskward
