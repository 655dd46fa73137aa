/// \file
/// \brief Rendezvous hashing: all VMs assign a name to the same node without communication.

#pragma once

#include "key_hash.h"

#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

namespace damaskward {

/// A node to which names can be assigned, such as a VM, a data centre or a target.
struct place
{
    std::string name;
    std::uint64_t hash = 0; ///< keyHash(name), computed once
    double weight = 1.0; ///< share of the names, relative to the weights of the other nodes

    explicit place(std::string placeName, double placeWeight = 1.0)
        : name(std::move(placeName))
        , hash(keyHash(name))
        , weight(placeWeight)
    { }
};

/// \returns the weighted rendezvous score of a node for the name whose hash is \a nameHash.
///
/// The logarithm makes the share of a node proportional to its weight. Changing the weight of one
/// node moves names only to or from that node.
inline double rendezvousScore(std::uint64_t nameHash, std::uint64_t nodeHash, double weight)
{
    constexpr double hashRange = 18446744073709551616.0; // 2^64
    const double uniform = (static_cast<double>(combineHash(nameHash, nodeHash)) + 0.5) / hashRange;
    return -weight / std::log(uniform);
}

inline double rendezvousScore(std::uint64_t nameHash, const place &where)
{
    return rendezvousScore(nameHash, where.hash, where.weight);
}

/// \returns the index of the node with the highest score, or 0 if \a places is empty.
std::size_t rendezvousBest(std::uint64_t nameHash, const std::vector<place> &places);

/// \returns the indices of all nodes by descending score.
std::vector<std::size_t> rendezvousOrder(std::uint64_t nameHash, const std::vector<place> &places);

/// Assigns names by rendezvous hashing with bounded loads.
/// \param nameHashes the hashes of the names, in an order that is the same on all VMs
/// \param places the nodes
/// \param slack the maximum load of a node relative to its weighted share, such as 1.25
/// \returns the index of the assigned node for each name; empty if there are no nodes
std::vector<std::size_t> boundedPlacement(const std::vector<std::uint64_t> &nameHashes,
                                          const std::vector<place> &places, double slack);

/// \returns the maximum number of names on \a where, out of \a nameCount, for the given \a slack.
std::size_t nodeCapacity(std::size_t nameCount, const place &where, double totalWeight,
                         double slack);

} // namespace damaskward
