/// \file
/// \brief The rating of a VM for roles that serve other VMs, derived from its capacity.

#pragma once

#include "vm_capacity.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace damaskward {

/// \class capacity_rating
/// \brief How well a VM is suited for roles that serve other VMs. VMs send it with their identity,
/// so that all VMs place a role on the same VM.
///
/// The class decides which VMs come first for a role that one VM has alone. The weight decides how
/// much of a role that many VMs share falls to this one.
struct capacity_rating
{
    /// Bits of roleClass. The link counts more than the CPU time: on a saturated link neither
    /// commands to targets nor messages to VMs arrive in time.
    static constexpr std::uint8_t spareCpuBit = 1;
    static constexpr std::uint8_t spareLinkBit = 2;
    static constexpr std::uint8_t topClass = spareCpuBit | spareLinkBit;
    /// Weight of a VM with referenceCores and referenceLink.
    static constexpr std::uint16_t referenceWeight = 100;

    std::uint8_t roleClass = topClass; ///< VMs of a higher class come first
    std::uint16_t weight = referenceWeight;

    bool hasSpareCpu() const { return (roleClass & spareCpuBit) != 0; }
    bool hasSpareLink() const { return (roleClass & spareLinkBit) != 0; }

    friend bool operator==(const capacity_rating &a, const capacity_rating &b)
    {
        return a.roleClass == b.roleClass && a.weight == b.weight;
    }
    friend bool operator!=(const capacity_rating &a, const capacity_rating &b) { return !(a == b); }
};

/// \returns the rating of a VM with \a capacity, in which 0 means unlimited.
inline capacity_rating rateCapacity(const vm_capacity &capacity)
{
    /// VMs with at least this share of a CPU core have CPU time to spare for other VMs.
    constexpr double spareCores = 0.2;
    /// In bytes per second (50 Mbit/s). The coordinator of 329 targets sent up to 2 MB/s, which
    /// saturates a link of 10 Mbit/s.
    constexpr double spareLink = 6.25e6;
    constexpr double referenceCores = 0.5;
    constexpr double referenceLink = 12.5e6; // 100 Mbit/s in bytes per second.
    constexpr double minShare = 1.0 / capacity_rating::referenceWeight;
    constexpr double maxShare = 4.0; // Above this the role no longer needs all of the VM.
    const double cores = capacity.cores > 0.0 ? capacity.cores : maxShare * referenceCores;
    const double link =
        capacity.linkBytesPerSecond > 0.0 ? capacity.linkBytesPerSecond : maxShare * referenceLink;
    capacity_rating rating;
    rating.roleClass =
        static_cast<std::uint8_t>((cores >= spareCores ? capacity_rating::spareCpuBit : 0)
                                  | (link >= spareLink ? capacity_rating::spareLinkBit : 0));
    const double share =
        std::clamp(std::min(cores / referenceCores, link / referenceLink), minShare, maxShare);
    rating.weight =
        static_cast<std::uint16_t>(std::lround(share * capacity_rating::referenceWeight));
    return rating;
}

} // namespace damaskward
