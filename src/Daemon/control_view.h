/// \file
/// \brief What the control thread tells the threads that serve requests.

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

/// A gate that this VM holds.
struct gate_info
{
    target_id target;
    std::string address;
    slot_limits limits;
    std::uint64_t gateTerm = 0;
    std::uint64_t boot = 0;
    bool open = false; ///< the target has confirmed the present grants
    bool keyed = false;
    int runningForOthers = 0;
    time_point authority; ///< until when this VM may act as the gate
    std::map<std::uint32_t, std::uint64_t> epochs; ///< granted shard -> epoch
};

/// Who is the bank of a team in this data centre.
struct bank_info
{
    vm_id holder; ///< empty when nobody is
    std::uint64_t term = 0;
    bool mine = false; ///< this VM may act as the bank until \ref authority
    bool fromLapsed = false; ///< taken from a lapsed session: its tokens have lapsed with it
    time_point authority;
    double rate = 0.0; ///< this data centre's share
    double burst = 0.0;
};

/// One consistent picture, published after every change.
struct control_view
{
    std::shared_ptr<const routing_view> routes = std::make_shared<const routing_view>();
    std::vector<gate_info> gates;
    std::map<team_id, bank_info> banks; ///< teams with a limit
    std::map<service_id, objective_rule> objectives;
    bool ready = false; ///< this VM knows the rules and owners well enough to serve callers
};

} // namespace damaskward
