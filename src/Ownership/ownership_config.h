/// \file
/// \brief The configuration of the class ownership.

#pragma once

#include "../Core/ids.h"
#include "../Settings/vm_settings.h"

#include <cstdint>
#include <string>

namespace damaskward {

/// The identity of this VM and the time spans of the ownership protocol.
struct ownership_config
{
    vm_id self;
    data_center_id dataCenter;
    std::string controlAddress; ///< for requests from other VMs
    std::string adminAddress; ///< for requests from operators
    std::uint64_t nonce = 0; ///< random, new at each start of the process
    control_timing timing;
};

} // namespace damaskward
