/// \file
/// \brief The head of a request as it is sent to a target.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "header_names.h"
#include "http_message.h"

#include <string>

namespace damaskward {

/// \param target name of the target
/// \param team of the caller, may be empty
/// \param left the remaining time of the request
/// \param bodyBytes size of its body, which is sent separately
/// \returns the request line and the header fields of \a request for \a target, with the empty
/// line.
std::string makeRequestHead(const http_request &request, const header_names &names,
                            const std::string &target, const team_id &team, milliseconds left,
                            std::size_t bodyBytes);

} // namespace damaskward
