// Goodput under overload: offered load at several multiples of the targets' capacity.

#include "test/support/process_fleet.h"
#include "tools/common/process.h"
#include "tools/load/open_loop.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>

DEFINE_int32(seconds, 6, "duration of one measurement in seconds");
DEFINE_uint64(seed, 1, "seed of the arrivals");

namespace {

using namespace damaskward;
using namespace damaskward::testing;

const char *const apiKey = "overload-key";
constexpr int targetCount = 4;
constexpr int slots = 2;
constexpr double serviceSeconds = 0.010;
constexpr double capacityPerSecond = targetCount * slots / serviceSeconds;

fleet_options makeOptions()
{
    fleet_options options;
    options.portBase = 28400;
    options.vms = {{"a1", "a"}, {"a2", "a"}};
    for (int i = 1; i <= targetCount; ++i) {
        options.targets.push_back({"maps/m" + std::to_string(i), "a",
                                   R"({"slots":2,"service_us":10000})", "slots=2 connections=110"});
    }
    options.rules = "data-center a share=100 # bench\nservice maps unkeyed idempotent # bench\n"
                    "allow * maps # bench\n"
        + teamRules("t", apiKey, 1000000, 1000000);
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    setNetworkThreads(8);
    process_fleet fleet(makeOptions());
    if (!fleet.start()) {
        std::cerr << "the fleet did not start\n";
        return 1;
    }
    double peak = 0.0;
    for (const double factor : {0.5, 0.8, 1.0, 1.5, 2.0, 3.0}) {
        load::load_plan plan;
        plan.vms = {fleet.callerAddress(0), fleet.callerAddress(1)};
        plan.streams = {{"t", apiKey, "maps", capacityPerSecond * factor, false}};
        plan.seed = FLAGS_seed;
        plan.duration = std::chrono::seconds(FLAGS_seconds);
        plan.deadline = milliseconds(200);
        const auto streamResult = load::open_loop(plan).run().at("t");
        const double goodput = static_cast<double>(streamResult.good) / FLAGS_seconds;
        peak = std::max(peak, goodput);
        std::cout << "offered " << factor << " of " << capacityPerSecond << "/s: goodput "
                  << goodput << "/s, " << goodput / peak << " of the peak so far, p50 "
                  << toMillis(streamResult.latency.quantile(0.5)) << " ms, p99 "
                  << toMillis(streamResult.latency.quantile(0.99)) << " ms;";
        for (const auto &[reason, count] : streamResult.refusals) {
            std::cout << ' ' << reason << '=' << count;
        }
        std::cout << std::endl;
    }
    return 0;
}
