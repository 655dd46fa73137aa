/// \file
/// \brief The stored record that ensures that a non-idempotent request runs at most once.

#pragma once

#include "../Core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damaskward {

/// Row `intent/<service>/<team>/<hash of the idempotency key>`: written before the gate sends the
/// request to the target, and again with the answer.
struct intent_row
{
    std::uint64_t token = 0; ///< random number of the attempt that wrote the row
    std::uint64_t fingerprint = 0; ///< of path and body: distinguishes a resend from a reused key
    bool done = false; ///< the answer is recorded
    int status = 0; ///< the target's HTTP status
    std::string contentType;
    std::string body; ///< base64
    std::string owner; ///< the target that ran it
};

inline constexpr std::string_view intentPrefix = "intent/";

/// \returns the row's name. The idempotency key is hashed, so that callers cannot choose row names.
std::string intentName(const service_id &service, const team_id &team,
                       std::string_view idempotencyKey);

std::string encode(const intent_row &row);
/// \returns the row, or nothing for a text that no version of the router has written.
std::optional<intent_row> decodeIntent(std::string_view text);

} // namespace damaskward
