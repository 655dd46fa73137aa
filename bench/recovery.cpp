// Time from killing or freezing a VM, a target or both until all keys are served again, with real
// processes. For a frozen process this is the length of the interruption.

#include "test/support/process_fleet.h"
#include "tools/common/process.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <random>
#include <thread>

DEFINE_int32(runs, 20, "runs of each kind of loss");
DEFINE_uint64(seed, 1, "seed of the times of loss");
DEFINE_string(kinds, "vm,vm-frozen,target,target-frozen,both",
              "kinds of loss, separated by commas");

namespace {

using namespace damaskward;
using namespace damaskward::testing;

const char *const apiKey = "recovery-key";
constexpr int keyCount = 24;
constexpr milliseconds probeTimeout{300};
constexpr milliseconds recoveryGoal{2000};
constexpr seconds recoveryTimeout{15};

fleet_options makeOptions()
{
    fleet_options options;
    options.portBase = 25000;
    options.vms = {{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"a4", "a"}};
    for (int i = 1; i <= 6; ++i) {
        options.targets.push_back({"lookup/l" + std::to_string(i), "a", "{}", "slots=2"});
    }
    options.rules = "data-center a share=100 # bench\n"
                    "service lookup keyed idempotent shards=24 # bench\nallow * lookup # bench\n"
        + teamRules("t", apiKey, 100000, 100000);
    return options;
}

std::string keyName(int key)
{
    return "k" + std::to_string(key);
}

http_answer requestKey(const process_fleet &fleet, std::size_t vm, int key)
{
    const header_list headers = {{"Damask-Api-Key", apiKey}, {"Damask-Deadline-Ms", "250"}};
    return httpCall(fleet.callerAddress(vm), "GET", "/lookup/" + keyName(key), headers, {},
                    probeTimeout);
}

bool allServed(const process_fleet &fleet, std::size_t vm)
{
    for (int key = 0; key < keyCount; ++key) {
        if (requestKey(fleet, vm, key).state() != "run") {
            return false;
        }
    }
    return true;
}

/// Requests every key repeatedly from \a lostAt on. \returns the time until the last of them was
/// first served by its owner (run state `run`); recoveryTimeout when a key was not.
duration timeUntilServed(const process_fleet &fleet, std::size_t vm, time_point lostAt)
{
    std::vector<std::thread> threads;
    std::vector<duration> servedAfter(keyCount, recoveryTimeout);
    threads.reserve(keyCount);
    for (int key = 0; key < keyCount; ++key) {
        threads.emplace_back([&fleet, &servedAfter, vm, key, lostAt] {
            while (mono_clock::now() < lostAt + recoveryTimeout) {
                if (requestKey(fleet, vm, key).state() == "run") {
                    servedAfter[static_cast<std::size_t>(key)] = mono_clock::now() - lostAt;
                    return;
                }
                std::this_thread::sleep_for(milliseconds(5));
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return *std::max_element(servedAfter.begin(), servedAfter.end());
}

duration measureLoss(process_fleet &fleet, const std::string &kind, std::mt19937_64 &random)
{
    process_fleet::waitUntil(recoveryTimeout, [&fleet] { return allServed(fleet, 0); });
    // Lets roles and shards settle after the previous loss.
    std::this_thread::sleep_for(seconds(3));
    // Randomizes the time of the loss.
    std::this_thread::sleep_for(milliseconds(std::uniform_int_distribution<int>(0, 400)(random)));
    // Chooses a target whose gate is not a1, because a1 receives the requests.
    std::string target;
    std::string gate;
    for (int i = 1; i <= 6 && (gate.empty() || gate == "a1"); ++i) {
        target = "lookup/l" + std::to_string(i);
        gate = fleet.gateOf(0, target);
    }
    const int signal = kind.find("frozen") == std::string::npos ? SIGKILL : SIGSTOP;
    const bool losesVm = kind.rfind("vm", 0) == 0 || kind == "both";
    const bool losesTarget = kind.rfind("target", 0) == 0 || kind == "both";
    const time_point lostAt = mono_clock::now();
    if (losesVm) {
        fleet.signal(gate, signal);
    }
    if (losesTarget) {
        fleet.signal(target, signal);
    }
    const duration recoveryTime = timeUntilServed(fleet, 0, lostAt);
    for (const std::string &victim : {losesVm ? gate : "", losesTarget ? target : ""}) {
        if (victim.empty()) {
            continue;
        }
        if (signal == SIGSTOP) {
            fleet.signal(victim, SIGCONT);
        } else {
            fleet.waitForExit(victim, recoveryTimeout);
            fleet.startProcess(victim);
        }
    }
    return recoveryTime;
}

void report(const std::string &kind, std::vector<duration> times)
{
    std::sort(times.begin(), times.end());
    const auto withinGoal =
        std::count_if(times.begin(), times.end(), [](duration t) { return t <= recoveryGoal; });
    std::cout << kind << ": runs " << times.size() << ", median "
              << toMillis(times[times.size() / 2]) << " ms, worst " << toMillis(times.back())
              << " ms, within 2 s: " << withinGoal << "; all:";
    for (const duration t : times) {
        std::cout << ' ' << toMillis(t);
    }
    std::cout << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures recovery times with real processes");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    setNetworkThreads(16);
    process_fleet fleet(makeOptions());
    if (!fleet.start()) {
        std::cerr << "the fleet did not start\n";
        return 1;
    }
    std::mt19937_64 random(FLAGS_seed);
    std::istringstream kinds(FLAGS_kinds);
    std::string kind;
    while (std::getline(kinds, kind, ',')) {
        std::vector<duration> times;
        times.reserve(static_cast<std::size_t>(FLAGS_runs));
        for (int i = 0; i < FLAGS_runs; ++i) {
            times.push_back(measureLoss(fleet, kind, random));
        }
        report(kind, times);
    }
    return 0;
}
