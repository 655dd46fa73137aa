// damaskward-node: the router process of one VM.

#include "platform/node_settings.h"
#include "platform/platform_adapter.h"
#include "platform/wire_names.h"
#include "src/Node/node.h"

#include <gflags/gflags.h>
#include <malloc.h>
#include <sys/prctl.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "Path of the settings file; default: the value of DAMASKWARD_BOOT");
DEFINE_uint32(metrics_port, 9464, "Port that serves the metrics");
DEFINE_bool(check, false, "Check the settings file and exit");

namespace {

constexpr int usageError = 2;

/// Makes the allocator return the memory of large bodies to the system as soon as they are freed,
/// and takes memory only for the pages that are written to.
void setUpMemory()
{
    // By default the threshold rises to the size of the largest block that was freed.
    constexpr int mapThresholdBytes = 65536;
    constexpr int trimThresholdBytes = 1 << 20;
    ::mallopt(M_MMAP_THRESHOLD, mapThresholdBytes);
    ::mallopt(M_TRIM_THRESHOLD, trimThresholdBytes);
    ::mallopt(M_ARENA_MAX, 1); // All large allocations are made on the event loop's thread.
    ::prctl(PR_SET_THP_DISABLE, 1, 0, 0, 0); // A huge page would be resident for a few bytes.
}

int run(const damaskward::vm_environment &environment)
{
    boost::asio::io_context loop(1);
    damaskward::node vm(loop, environment, damaskward::platform::requestIdField,
                        [&environment](damaskward::outgoing_pool &pool) {
                            return damaskward::platform::makePort(
                                std::make_shared<damaskward::platform::store_client>(
                                    pool, environment.storeAddress));
                        });
    vm.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("damaskward-node [--settings FILE] [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    setUpMemory();
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN); // The settings are read only once, at start.
    std::string path = FLAGS_settings;
    if (const char *named = std::getenv(damaskward::platform::settingsVariable);
        path.empty() && named) {
        path = named;
    }
    const std::ifstream file(path);
    if (!file) {
        std::cerr << "damaskward-node: the settings file '" << path << "' cannot be read\n";
        return usageError;
    }
    std::stringstream text;
    text << file.rdbuf();
    const auto settings = damaskward::platform::decodeSettings(text.str(), path);
    if (const auto *e = std::get_if<damaskward::error>(&settings)) {
        std::cerr << "damaskward-node: " << toString(*e) << '\n';
        return usageError;
    }
    if (FLAGS_check) {
        std::cout << "settings are good\n";
        return 0;
    }
    auto environment = std::get<damaskward::vm_environment>(settings);
    environment.metricsPort = static_cast<std::uint16_t>(FLAGS_metrics_port);
    try {
        return run(environment);
    } catch (const std::exception &e) {
        std::cerr << "damaskward-node: " << e.what() << '\n';
        return 1;
    }
}
