/// \file
/// \brief What a VM can carry, as stated in its settings.

#pragma once

#include <cstddef>

namespace damaskward {

/// The limits of one VM. A value of 0 means unlimited.
struct vm_capacity
{
    double cores = 0.0; ///< processor time per second
    std::size_t memoryBytes = 0; ///< the process is killed if it uses more than this
    std::size_t descriptors = 0; ///< files, sockets and pipes that the process may have open
    double linkBytesPerSecond = 0.0; ///< in each direction
};

} // namespace damaskward
