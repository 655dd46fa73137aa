/// \file
/// \brief State that the control thread publishes to the threads that serve requests.

#pragma once

#include "../Ownership/ownership_config.h"
#include "../Routing/gate_queue.h"
#include "../Routing/routing_view.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace damaskward {

/// State of a gate that this VM holds.
struct gate_info
{
    target_id target;
    std::string address;
    slot_limits limits;
    std::uint64_t gateTerm = 0;
    std::uint64_t boot = 0;
    bool open = false; ///< the target has confirmed the current grants
    bool isDown = false; ///< the target cannot be reached
    bool keyed = false;
    int runningForOthers = 0; ///< requests of previous gates still running at the target
    time_point authority; ///< when this VM must stop acting as the gate
    std::map<std::uint32_t, std::uint64_t> epochs; ///< granted shard -> epoch
};

/// The owner and the limits of a team's token bucket in this data centre.
struct bucket_info
{
    vm_id owner; ///< empty if no VM owns the bucket
    std::uint64_t term = 0;
    bool isOwner = false; ///< this VM owns the bucket and may grant tokens until \ref authority
    /// The role was taken over from an expired session, so that owner's tokens have expired too.
    bool previousOwnerExpired = false;
    time_point authority;
    double rate = 0.0; ///< tokens per second: the data centre's share of the team's limit
    double burst = 0.0;
};

/// An immutable, consistent snapshot of the control state, published after every event.
struct control_view
{
    std::shared_ptr<const routing_view> routes = std::make_shared<const routing_view>();
    std::vector<gate_info> gates;
    std::map<team_id, bucket_info> buckets; ///< only teams that have a limit
    std::map<service_id, objective_rule> objectives;
    bool ready = false; ///< the table has been read and the current rules are adopted
};

} // namespace damaskward
