/// \file
/// \brief Rendezvous hashing: every VM finds the same place for a name without asking.

#pragma once

#include "key_hash.h"

#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

namespace damaskward {

/// A place that names may be put on.
struct place
{
    std::string name;
    std::uint64_t hash = 0; ///< keyHash(name), computed once
    double weight = 1.0; ///< its share of the names relative to the others

    explicit place(std::string placeName, double placeWeight = 1.0)
        : name(std::move(placeName))
        , hash(keyHash(name))
        , weight(placeWeight)
    { }
};

/// \returns the weighted rendezvous score of \a where for the name whose hash is \a nameHash.
///
/// The logarithmic form makes a place's share proportional to its weight, and a change of one
/// weight moves names only to or from that place.
inline double rendezvousScore(std::uint64_t nameHash, const place &where)
{
    constexpr double hashRange = 18446744073709551616.0;
    const double uniform =
        (static_cast<double>(combineHash(nameHash, where.hash)) + 0.5) / hashRange;
    return -where.weight / std::log(uniform);
}

/// \returns the index of the place with the highest score, or the size when there is no place.
std::size_t rendezvousBest(std::uint64_t nameHash, const std::vector<place> &places);

/// \returns the indices of all places, the highest score first.
std::vector<std::size_t> rendezvousOrder(std::uint64_t nameHash, const std::vector<place> &places);

/// Rendezvous hashing with bounded loads.
/// \param nameHashes the names, in the order that all VMs share
/// \param places the places
/// \param slack how far above the weighted mean a place may be filled, such as 1.25
/// \returns for each name the index of its place; empty when there is no place
std::vector<std::size_t> boundedPlacement(const std::vector<std::uint64_t> &nameHashes,
                                          const std::vector<place> &places, double slack);

/// \returns how many of \a nameCount names \a where may hold under \a slack.
std::size_t placeCapacity(std::size_t nameCount, const place &where, double totalWeight,
                          double slack);

} // namespace damaskward
