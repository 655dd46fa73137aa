// Team limits: token buckets compared with a naive split of the rate among the VMs, in virtual
// time.

#include "test/support/limits_simulation.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace {

using namespace damaskward;
using namespace damaskward::testing;

void compare(const char *title, double demand, double skew, bool faults)
{
    std::cout << title << '\n';
    for (const bool naive : {false, true}) {
        limits_options options;
        options.demand = demand;
        options.skew = skew;
        options.faults = faults && !naive;
        options.naive = naive;
        options.length = seconds(60);
        double worstServed = 1.0;
        std::uint64_t refusedWithinLimit = 0;
        std::uint64_t arrived = 0;
        double excess = 0.0;
        for (std::uint64_t team = 1; team <= 8; ++team) {
            options.seed = team;
            const limits_report report = runLimitsSimulation(options);
            const double entitled =
                std::min(static_cast<double>(report.arrived), options.rate * 60.0 + options.burst);
            worstServed = std::min(worstServed, static_cast<double>(report.admitted) / entitled);
            refusedWithinLimit += report.refusedWithinLimit;
            arrived += report.arrived;
            excess = std::max(excess, report.excess);
        }
        std::cout << std::fixed << std::setprecision(4) << "  "
                  << (naive ? "naive split  " : "token buckets") << ": refused inside the rate "
                  << static_cast<double>(refusedWithinLimit) / static_cast<double>(arrived)
                  << " of all, worst-served of 8 teams got " << worstServed
                  << " of what it is entitled to, most above the rule " << excess << '\n';
    }
}

} // namespace

int main()
{
    compare("even arrivals, demand 0.8 of the rate", 0.8, 0.0, false);
    compare("70 % of the arrivals at one of 8 entries, demand 0.8", 0.8, 0.7, false);
    compare("even arrivals, demand 5 times the rate", 5.0, 0.0, false);
    compare("70 % at one entry, demand 5 times the rate", 5.0, 0.7, false);
    compare("even, demand 0.8, entries and bucket owners lost (token buckets only)", 0.8, 0.0,
            true);
    return 0;
}
