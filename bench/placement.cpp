// Placement: imbalance (busiest target / mean) and churn (keys moved / minimum possible) of
// bounded rendezvous hashing against plain modulo, plain rendezvous, and the rule of the PAST paper
// (the node whose id is numerically closest to the key's).

#include "damaskward/Hashing"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>
#include <random>

namespace {

using namespace damaskward;

using placement =
    std::function<std::vector<std::size_t>(const std::vector<std::uint64_t> &names, int places)>;

std::vector<place> makePlaces(int count)
{
    std::vector<place> places;
    places.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        places.emplace_back("target-" + std::to_string(i));
    }
    return places;
}

std::vector<std::size_t> modulo(const std::vector<std::uint64_t> &names, int places)
{
    std::vector<std::size_t> chosen;
    chosen.reserve(names.size());
    for (const std::uint64_t name : names) {
        chosen.push_back(name % static_cast<std::uint64_t>(places));
    }
    return chosen;
}

std::vector<std::size_t> rendezvous(const std::vector<std::uint64_t> &names, int places)
{
    const std::vector<place> candidates = makePlaces(places);
    std::vector<std::size_t> chosen;
    chosen.reserve(names.size());
    for (const std::uint64_t name : names) {
        chosen.push_back(rendezvousBest(name, candidates));
    }
    return chosen;
}

std::vector<std::size_t> bounded(const std::vector<std::uint64_t> &names, int places)
{
    return boundedPlacement(names, makePlaces(places), 1.15);
}

/// Druschel and Rowstron, PAST, section 2: the nodes whose ids are numerically closest.
std::vector<std::size_t> closestId(const std::vector<std::uint64_t> &names, int places)
{
    const std::vector<place> candidates = makePlaces(places);
    std::vector<std::size_t> chosen;
    for (const std::uint64_t name : names) {
        const auto distance = [name](const place &p) {
            const std::uint64_t clockwise = p.hash - name; // The ids form a ring.
            return std::min(clockwise, ~clockwise + 1);
        };
        const auto closer = [&](const place &a, const place &b) {
            return distance(a) < distance(b);
        };
        chosen.push_back(static_cast<std::size_t>(
            std::min_element(candidates.begin(), candidates.end(), closer) - candidates.begin()));
    }
    return chosen;
}

double imbalance(const std::vector<std::size_t> &chosen, int places)
{
    std::vector<double> load(static_cast<std::size_t>(places), 0.0);
    for (const std::size_t place : chosen) {
        load[place] += 1.0;
    }
    const double mean = static_cast<double>(chosen.size()) / places;
    return *std::max_element(load.begin(), load.end()) / mean;
}

/// \returns the number of keys that move when the last of \a places targets is removed, divided by
/// the number of keys that this target held.
double churn(const placement &place, const std::vector<std::uint64_t> &names, int places)
{
    const auto before = place(names, places);
    const auto after = place(names, places - 1);
    double moved = 0.0;
    double held = 0.0;
    for (std::size_t i = 0; i < names.size(); ++i) {
        moved += before[i] != after[i] ? 1.0 : 0.0;
        held += before[i] == static_cast<std::size_t>(places - 1) ? 1.0 : 0.0;
    }
    return moved / std::max(held, 1.0);
}

} // namespace

int main()
{
    struct placement_method
    {
        const char *name;
        placement place;
    };
    const placement_method methods[] = {{"modulo", modulo},
                                        {"rendezvous", rendezvous},
                                        {"rendezvous, bounded 1.15", bounded},
                                        {"PAST: closest id", closestId}};
    std::cout << std::fixed << std::setprecision(2);
    for (const int places : {6, 20, 100}) {
        for (const int shardsPerTarget : {4, 32}) {
            std::mt19937_64 random(17);
            std::vector<std::uint64_t> names(static_cast<std::size_t>(places * shardsPerTarget));
            for (std::uint64_t &name : names) {
                name = random();
            }
            std::cout << places << " targets, " << names.size() << " shards\n";
            for (const placement_method &method : methods) {
                std::cout << "  " << std::setw(26) << std::left << method.name << "imbalance "
                          << imbalance(method.place(names, places), places) << "  churn "
                          << churn(method.place, names, places) << '\n';
            }
        }
    }
    return 0;
}
