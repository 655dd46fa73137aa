/// \file
/// \brief What the ownership machine is told at its start.

#pragma once

#include "../Core/ids.h"
#include "../Settings/vm_settings.h"

#include <cstdint>
#include <string>

namespace damaskward {

/// Who this VM is, and its timing.
struct ownership_config
{
    vm_id self;
    data_center_id dataCenter;
    std::string controlAddress; ///< where the other VMs reach this one
    std::string adminAddress; ///< where operators reach this one
    std::uint64_t nonce = 0; ///< random, new at each start of the process
    control_timing timing;
};

} // namespace damaskward
