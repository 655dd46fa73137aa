// Control traffic by kind (peers, platform, targets) and processor time of one VM, for fleets of
// several sizes.

#include "test/support/process_fleet.h"
#include "tools/common/process.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

DEFINE_int32(seconds, 5, "duration of one measurement in seconds");

namespace {

using namespace damaskward;
using namespace damaskward::testing;

fleet_options makeOptions(int vms, int targets)
{
    fleet_options options;
    options.portBase = 29000;
    for (int i = 0; i < vms; ++i) {
        options.vms.push_back({"v" + std::to_string(i), "a"});
    }
    for (int i = 0; i < targets; ++i) {
        options.targets.push_back({"lookup/l" + std::to_string(i), "a", "{}", "slots=2"});
    }
    options.rules = "data-center a share=100 # bench\n"
                    "service lookup keyed idempotent shards=64 # bench\nallow * lookup # bench\n"
        + teamRules("t", "key", 100, 100);
    return options;
}

double gauge(const std::string &text, const std::string &name)
{
    const std::size_t at = text.find("\ndamask_" + name + " ");
    return at == std::string::npos ? 0.0 : std::stod(text.substr(at + name.size() + 9));
}

/// \returns the processor time that the process has used so far, in seconds.
double processorSeconds(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    double ticks = 0.0;
    constexpr int userField = 12;
    constexpr int systemField = 13;
    for (int i = 1; i <= systemField; ++i) {
        fields >> field;
        ticks += i >= userField ? std::stod(field) : 0.0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void measure(int vms, int targets)
{
    process_fleet fleet(makeOptions(vms, targets));
    if (!fleet.start()) {
        std::cout << "the fleet of " << vms << " VMs did not start\n";
        return;
    }
    std::this_thread::sleep_for(seconds(4));
    const char *const kinds[] = {"control_peer_bytes", "control_platform_bytes",
                                 "control_target_bytes"};
    const std::string before = fleet.metricsText(0);
    const double processorBefore = processorSeconds(fleet.pidOf("v0"));
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
    const std::string after = fleet.metricsText(0);
    const double processor = processorSeconds(fleet.pidOf("v0")) - processorBefore;
    std::cout << std::fixed << std::setprecision(0) << vms << " VMs, " << targets << " targets:";
    for (const char *kind : kinds) {
        std::cout << ' ' << kind << ' '
                  << (gauge(after, kind) - gauge(before, kind)) / FLAGS_seconds << " B/s,";
    }
    std::cout << std::setprecision(2) << " processor " << processor / FLAGS_seconds * 100
              << " % of a core" << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    setNetworkThreads(8);
    for (const int vms : {2, 4, 8, 12}) {
        measure(vms, 12);
    }
    for (const int targets : {24, 48}) {
        measure(4, targets);
    }
    return 0;
}
