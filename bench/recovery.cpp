// Time from the loss of a VM, of a target, of both, to the key being served again, with real
// processes; and the length of the service's gap when a VM is frozen.

#include "test/support/process_fleet.h"
#include "tools/common/process.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <random>
#include <thread>

DEFINE_int32(runs, 20, "runs of each kind of loss");
DEFINE_uint64(seed, 1, "seed of the moments of loss");
DEFINE_string(kinds, "vm,vm-frozen,target,target-frozen,both", "what to lose");

namespace {

using namespace damaskward;
using namespace damaskward::testing;

const char *const apiKey = "recovery-key";
constexpr int keys = 24;
constexpr milliseconds probeTimeout{300};
constexpr milliseconds budget{2000};
constexpr seconds patience{15};

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

http_answer probe(const process_fleet &fleet, std::size_t vm, int key)
{
    const header_list headers = {{"Damask-Api-Key", apiKey}, {"Damask-Deadline-Ms", "250"}};
    return httpCall(fleet.callerAddress(vm), "GET", "/lookup/" + keyName(key), headers, {},
                    probeTimeout);
}

bool allServed(const process_fleet &fleet, std::size_t vm)
{
    for (int key = 0; key < keys; ++key) {
        if (probe(fleet, vm, key).state() != "run") {
            return false;
        }
    }
    return true;
}

/// Asks for every key again and again from \a begin on. \returns when the last of them was first
/// served by somebody who may.
duration timeUntilServed(const process_fleet &fleet, std::size_t vm, time_point begin)
{
    std::vector<std::thread> threads;
    std::vector<duration> servedAfter(keys, patience);
    threads.reserve(keys);
    for (int key = 0; key < keys; ++key) {
        threads.emplace_back([&fleet, &servedAfter, vm, key, begin] {
            while (mono_clock::now() < begin + patience) {
                if (probe(fleet, vm, key).state() == "run") {
                    servedAfter[static_cast<std::size_t>(key)] = mono_clock::now() - begin;
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

duration loseOnce(process_fleet &fleet, const std::string &kind, std::mt19937_64 &random)
{
    process_fleet::waitUntil(patience, [&fleet] { return allServed(fleet, 0); });
    std::this_thread::sleep_for(seconds(3)); // Let roles and shards settle after the last loss.
    std::this_thread::sleep_for(
        milliseconds(std::uniform_int_distribution<int>(0, 400)(random))); // Any moment.
    // The victim owns keys, and its gate is a VM that is not the one asked.
    std::string target;
    std::string gate;
    for (int i = 1; i <= 6 && (gate.empty() || gate == "a1"); ++i) {
        target = "lookup/l" + std::to_string(i);
        gate = fleet.gateOf(0, target);
    }
    const int signal = kind.find("frozen") == std::string::npos ? SIGKILL : SIGSTOP;
    const bool loseVm = kind.rfind("vm", 0) == 0 || kind == "both";
    const bool loseTarget = kind.rfind("target", 0) == 0 || kind == "both";
    const time_point begin = mono_clock::now();
    if (loseVm) {
        fleet.signal(gate, signal);
    }
    if (loseTarget) {
        fleet.signal(target, signal);
    }
    const duration took = timeUntilServed(fleet, 0, begin);
    for (const std::string &victim : {loseVm ? gate : "", loseTarget ? target : ""}) {
        if (victim.empty()) {
            continue;
        }
        if (signal == SIGSTOP) {
            fleet.signal(victim, SIGCONT);
        } else {
            fleet.waitForExit(victim, patience);
            fleet.startProcess(victim);
        }
    }
    return took;
}

void report(const std::string &kind, std::vector<duration> times)
{
    std::sort(times.begin(), times.end());
    const auto within =
        std::count_if(times.begin(), times.end(), [](duration t) { return t <= budget; });
    std::cout << kind << ": runs " << times.size() << ", median "
              << toMillis(times[times.size() / 2]) << " ms, worst " << toMillis(times.back())
              << " ms, within 2 s: " << within << "; all:";
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
            times.push_back(loseOnce(fleet, kind, random));
        }
        report(kind, times);
    }
    return 0;
}
