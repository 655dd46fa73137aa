/// \file
/// \brief What every program here does at its start and end.

#pragma once

#include "damaskward/Core"

#include <functional>
#include <string>

namespace damaskward {

/// Exit codes of all programs; documented in docs/OPERATIONS.md.
enum exit_code : int {
    ExitOk = 0,
    ExitFailed = 1, ///< the work could not be done
    ExitUsage = 2, ///< bad arguments, settings or rules
    ExitPartly = 3 ///< accepted, but not in force everywhere yet
};

/// Sizes cpprest's thread pool; before the first listener or client.
void setNetworkThreads(int threads);

/// Makes SIGTERM and SIGINT wait for \ref waitForStop() instead of ending the process. Call it
/// before any thread starts.
void holdStopSignals();

/// Blocks until SIGTERM or SIGINT arrives.
void waitForStop();

/// \returns the whole file, or an error.
result<std::string> readFile(const std::string &path);

/// Runs \a body, prints an error's one line and turns it into an exit code.
int runMain(const char *program, const std::function<result<int>()> &body);

} // namespace damaskward
