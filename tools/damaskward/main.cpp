// The daemon of one entry VM.

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
        std::cerr << "damaskward: --settings FILE is needed\n";
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
    setUpLog(settings.value.log.level, settings.value.log.json, settings.value.vm.str());
    setNetworkThreads(settings.value.threads);
    std::random_device random;
    const std::uint64_t nonce = (std::uint64_t{random()} << 32U) | random();
    vm_process process(settings.value, nonce);
    BOOST_LEAF_CHECK(process.start());
    waitForStop();
    process.stop();
    std::_Exit(ExitOk); // Answers may still come in for threads that have nothing left to do.
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("serves callers of exclusively held keys; see README.md");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    holdStopSignals();
    return runMain("damaskward", run);
}
