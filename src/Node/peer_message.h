/// \file
/// \brief Messages between VMs, encoded as MessagePack with msgpack-c.

#pragma once

#include "../Admission/capacity_messages.h"
#include "../Admission/rate_limiter.h"
#include "../Core/ids.h"
#include "../Fleet/heartbeat.h"
#include "../Fleet/registry_replica.h"
#include "../Ranges/key_demand.h"
#include "../Ranges/owner_map_delta.h"
#include "../Ranges/share_updates.h"
#include "../Rollout/rollout_types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace damaskward {

/// Requests the recipient's latest owners, or the changes since the version of the sender.
struct owner_query
{
    std::string from;
    std::uint64_t version = 0; ///< that the sender uses, 0 for none
};

/// A token request together with the name of the VM that sends it.
struct peer_token_request
{
    std::string from;
    limit_token_request request;
};

/// Tells VMs without a recent registry that a target warms up.
struct warmup_notice
{
    std::string target;
    std::int64_t incarnation = 0; ///< of the target
    milliseconds left{0}; ///< remaining warm-up time
};

/// What a VM tells another one as the owner of the capacity of groups of targets.
struct capacity_reports
{
    std::string from;
    std::vector<capacity_report> reports;
};

using peer_message =
    std::variant<heartbeat, owner_update, owner_delta, owner_part, owner_query, key_demand,
                 peer_token_request, limit_token_response, registry_delta, member_update,
                 roster_ack, owner_shares, warmup_notice, capacity_reports, capacity_decisions,
                 rollout_notices, rollout_evidence>;

/// \returns \a message encoded as a datagram, or an empty text if no receiver would decode it, as a
/// part of it exceeds the limits.
std::string encodeMessage(const peer_message &message);

/// \returns the name of the kind of an encoded message, for metrics.
std::string_view kindOfMessage(std::string_view bytes);

/// \returns the message, or nothing if the datagram is malformed.
std::optional<peer_message> decodeMessage(std::string_view datagram);

} // namespace damaskward
