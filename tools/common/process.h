/// \file
/// \brief Start-up, stop signals and exit codes shared by the programs.

#pragma once

#include "damaskward/Core"

#include <functional>
#include <string>

namespace damaskward {

/// Exit codes of all programs; documented in docs/OPERATIONS.md.
enum exit_code : int {
    ExitOk = 0,
    ExitFailed = 1, ///< the operation failed
    ExitUsage = 2, ///< invalid arguments, settings or rules
    ExitPartly = 3 ///< accepted, but not yet in force at every VM
};

/// Sets the size of cpprest's thread pool. Call before the first listener or client is created.
void setNetworkThreads(int threads);

/// Blocks SIGTERM and SIGINT, so that they are delivered to \ref waitForStopSignal() instead of
/// terminating the process, and ignores SIGPIPE. Call before any thread starts: threads inherit the
/// signal mask.
void blockStopSignals();

/// Blocks until SIGTERM or SIGINT arrives.
void waitForStopSignal();

/// \returns the content of the file, or an error.
result<std::string> readFile(const std::string &path);

/// Runs \a body and returns its exit code. If it fails, prints the error as one line to standard
/// error and returns \ref ExitFailed.
int runMain(const char *program, const std::function<result<int>()> &body);

} // namespace damaskward
