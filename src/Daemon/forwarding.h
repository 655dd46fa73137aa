/// \file
/// \brief A request forwarded from an entry to a gate, and the answer to it.

#pragma once

#include "../Core/ids.h"
#include "../Core/run_state.h"
#include "../Core/time.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// The bytes of a body, shared by all attempts without copying.
using shared_body = std::shared_ptr<const std::vector<unsigned char>>;

/// A request that an entry has admitted, addressed to the gate of a target. It does not contain the
/// caller's API key.
struct forward_request
{
    service_id service;
    std::string key;
    std::string method;
    shared_body body;
    std::string contentType;
    team_id team;
    std::string requestId; ///< new for every attempt
    std::string idempotencyKey; ///< may be empty for an idempotent request
    bool idempotent = true;
    std::uint64_t fingerprint = 0; ///< the same for all attempts and resends of a request
    target_id target;
    std::optional<std::uint32_t> shard; ///< set for a sharded service
    time_point deadline;
};

/// Reasons for a refusal or a failure, as sent in the `Damask-Reason` header.
namespace refusal {
inline constexpr std::string_view notGate = "not-gate"; ///< this VM is not the target's gate
inline constexpr std::string_view notOwner = "not-owner"; ///< the target does not own the shard
inline constexpr std::string_view overload = "overload"; ///< no free slot before the deadline
inline constexpr std::string_view deadline = "deadline";
inline constexpr std::string_view quarantined = "quarantined"; ///< the request has crashed targets
inline constexpr std::string_view platform = "platform"; ///< the intent row was not written
inline constexpr std::string_view keyReused = "idempotency-key-reused";
inline constexpr std::string_view inDoubt = "in-doubt"; ///< sent before; no outcome is recorded
inline constexpr std::string_view unreachable = "unreachable"; ///< no connection could be opened
inline constexpr std::string_view lost = "lost"; ///< the connection broke after sending
inline constexpr std::string_view crossed = "crossed"; ///< the answer has another request's id
inline constexpr std::string_view unframed = "unframed"; ///< the end of the answer is not known
inline constexpr std::string_view limit = "limit"; ///< the team has used up its rate and burst
inline constexpr std::string_view noBank = "no-bank"; ///< no VM grants the team's tokens
inline constexpr std::string_view stopping = "stopping";
inline constexpr std::string_view noOwner = "no-owner"; ///< no target owns the key at the moment
inline constexpr std::string_view badKey = "bad-key"; ///< unknown or withdrawn API key
inline constexpr std::string_view notAllowed = "not-allowed";
inline constexpr std::string_view noService = "no-service";
inline constexpr std::string_view badPath = "bad-path";
inline constexpr std::string_view badHeader = "bad-header";
inline constexpr std::string_view noIdempotencyKey = "no-idempotency-key";
inline constexpr std::string_view bodySize = "body-size";
inline constexpr std::string_view busy = "busy"; ///< too many requests in progress at this VM
} // namespace refusal

/// The outcome of a \ref forward_request.
struct forward_answer
{
    int status = 503;
    std::string contentType;
    shared_body body;
    run_state state = run_state::NotRun;
    std::string reason; ///< empty for the target's own answer
    std::string owner; ///< the target that executed the request, SERVICE/NAME
    std::uint64_t epoch = 0;
};

using answer_callback = std::function<void(const forward_answer &)>;

/// \returns an answer without a body: a refusal, or a failure after which it is unknown whether the
/// request was executed.
inline forward_answer makeRefused(int status, run_state state, std::string_view reason)
{
    forward_answer answer;
    answer.status = status;
    answer.state = state;
    answer.reason = std::string(reason);
    return answer;
}

} // namespace damaskward
