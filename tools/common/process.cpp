#include "process.h"

#include <pplx/threadpool.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace damaskward {
namespace internal {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace internal

void setNetworkThreads(int threads)
{
    crossplat::threadpool::initialize_with_threads(static_cast<std::size_t>(threads));
}

void blockStopSignals()
{
    const sigset_t signals = internal::stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal()
{
    const sigset_t signals = internal::stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

result<std::string> readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        return fail("read the file", path, "cannot open the file");
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

int runMain(const char *program, const std::function<result<int>()> &body)
{
    return boost::leaf::try_handle_all(
        body,
        [program](const error &e) {
            std::cerr << program << ": " << toString(e) << '\n';
            return static_cast<int>(ExitFailed);
        },
        [program](const boost::leaf::error_info & /*info*/) {
            std::cerr << program << ": unknown error\n";
            return static_cast<int>(ExitFailed);
        });
}

} // namespace damaskward
