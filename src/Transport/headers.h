/// \file
/// \brief The HTTP header fields that the router reads and writes.

#pragma once

namespace damaskward {
namespace header {

// From callers.
inline constexpr const char *apiKey = "Damask-Api-Key";
inline constexpr const char *idempotencyKey = "Idempotency-Key";
inline constexpr const char *deadline = "Damask-Deadline-Ms"; ///< milliseconds from now

// To callers.
inline constexpr const char *runState = "Damask-Run-State";
inline constexpr const char *reason = "Damask-Reason"; ///< one word, sent with a refusal
inline constexpr const char *owner = "Damask-Owner"; ///< the target, SERVICE/NAME
inline constexpr const char *epoch = "Damask-Epoch";

// Between VMs, and from gates to targets.
inline constexpr const char *secret = "Damask-Secret";
inline constexpr const char *vm = "Damask-Vm"; ///< the VM that calls the platform
inline constexpr const char *team = "Damask-Team";
inline constexpr const char *target = "Damask-Target";
inline constexpr const char *requestId = "Damask-Request-Id"; ///< echoed by targets
inline constexpr const char *shard = "Damask-Shard";
inline constexpr const char *gateTerm = "Damask-Gate-Term";

} // namespace header
} // namespace damaskward
