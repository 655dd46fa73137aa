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

/// The parts of a request path `/<service>/<key>`.
struct request_path
{
    std::string service;
    std::string key; ///< percent-decoded; everything after the first segment
};

/// \returns the path's parts, or nothing when it is not `/<service>/<key>`.
std::optional<request_path> splitPath(const web::uri &uri);

/// \returns the header's value, empty when there is none.
std::string headerText(const web::http::http_headers &headers, const char *name);
/// \returns the header's value as an unsigned integer, or nothing when it is missing or malformed.
std::optional<std::uint64_t> headerNumber(const web::http::http_headers &headers, const char *name);

/// \returns the unsigned integer that is the whole of \a text, or nothing if it is not one.
std::optional<std::uint64_t> numberIn(std::string_view text);

/// Creates a refusal, sent before or instead of running the request.
/// \param state what is known about the request's execution
/// \param reason one word that names the cause
web::http::http_response makeRefusal(web::http::status_code status, run_state state,
                                     std::string_view reason);

/// \returns a response with the JSON text \a body.
web::http::http_response makeJson(web::http::status_code status, const std::string &body);

/// Sends the response. A caller that has disconnected is not an error.
void sendReply(const web::http::http_request &request, const web::http::http_response &response);

} // namespace damaskward
