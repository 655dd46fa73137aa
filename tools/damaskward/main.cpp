// The daemon of one VM: its entry, gates and token buckets.

#include "src/Daemon/vm_process.h"
#include "tools/common/process.h"

#include <gflags/gflags.h>

#include <iostream>
#include <random>

DEFINE_string(settings, "", "the settings file, JSON with comments");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

using namespace damaskward;

result<int> run()
{
    if (FLAGS_settings.empty()) {
        std::cerr << "damaskward: missing flag --settings FILE\n";
        return ExitUsage;
    }
    BOOST_LEAF_AUTO(text, readFile(FLAGS_settings));
    const parsed<vm_settings> settings = parseSettings(text, FLAGS_settings);
    for (const diagnostic &mistake : settings.mistakes) {
        std::cerr << toString(mistake) << '\n';
    }
    if (!settings.ok()) {
        return ExitUsage;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": ok\n";
        return ExitOk;
    }
    configureLogging(settings.value.log.level, settings.value.log.json, settings.value.vm.str());
    setNetworkThreads(settings.value.threads);
    std::random_device random;
    const std::uint64_t nonce = (std::uint64_t{random()} << 32U) | random();
    vm_process process(settings.value, nonce);
    BOOST_LEAF_CHECK(process.start());
    waitForStopSignal();
    process.stop();
    // Skips destructors: network threads may still receive answers and use objects of this process.
    std::_Exit(ExitOk);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("routes requests to the servers that own their keys; see README.md");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    blockStopSignals();
    return runMain("damaskward", run);
}
