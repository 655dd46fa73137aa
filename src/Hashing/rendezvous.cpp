#include "rendezvous.h"

#include <algorithm>
#include <numeric>

namespace damaskward {

std::size_t rendezvousBest(std::uint64_t nameHash, const std::vector<place> &places)
{
    std::size_t best = places.size();
    double bestScore = -1.0;
    for (std::size_t i = 0; i < places.size(); ++i) {
        const double score = rendezvousScore(nameHash, places[i]);
        if (score > bestScore) {
            bestScore = score;
            best = i;
        }
    }
    return best;
}

std::vector<std::size_t> rendezvousOrder(std::uint64_t nameHash, const std::vector<place> &places)
{
    std::vector<double> scores;
    scores.reserve(places.size());
    for (const place &where : places) {
        scores.push_back(rendezvousScore(nameHash, where));
    }
    std::vector<std::size_t> order(places.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&scores](std::size_t a, std::size_t b) { return scores[a] > scores[b]; });
    return order;
}

std::size_t nodeCapacity(std::size_t nameCount, const place &where, double totalWeight,
                         double slack)
{
    const double share = static_cast<double>(nameCount) * where.weight / totalWeight;
    return static_cast<std::size_t>(std::ceil(share * slack));
}

std::vector<std::size_t> boundedPlacement(const std::vector<std::uint64_t> &nameHashes,
                                          const std::vector<place> &places, double slack)
{
    std::vector<std::size_t> chosen;
    if (places.empty()) {
        return chosen;
    }
    double totalWeight = 0.0;
    for (const place &where : places) {
        totalWeight += where.weight;
    }
    std::vector<std::size_t> load(places.size(), 0);
    chosen.reserve(nameHashes.size());
    for (const std::uint64_t name : nameHashes) {
        const std::vector<std::size_t> order = rendezvousOrder(name, places);
        std::size_t pick = order.front();
        for (const std::size_t candidate : order) {
            if (load[candidate]
                < nodeCapacity(nameHashes.size(), places[candidate], totalWeight, slack)) {
                pick = candidate;
                break;
            }
        }
        ++load[pick];
        chosen.push_back(pick);
    }
    return chosen;
}

} // namespace damaskward
