/// \file
/// \brief Runs a platform stand-in, targets and VMs as processes on loopback, for tests and
/// benches.

#pragma once

#include "damaskward/Core"

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace damaskward {
namespace testing {

/// A VM of the fleet.
struct fleet_vm
{
    std::string name;
    std::string dc;
};

/// A target of the fleet.
struct fleet_target
{
    std::string name; ///< SERVICE/NAME
    std::string dc;
    std::string behaviour = "{}"; ///< initial behaviour of the target stand-in, as JSON
    std::string ruleOptions; ///< options appended to its rule, such as `slots=2 cold=1`
};

/// The processes of a fleet and their configuration.
struct fleet_options
{
    std::vector<fleet_vm> vms;
    std::vector<fleet_target> targets;
    std::string rules; ///< services, teams, limits, keys; the fleet adds its targets
    std::string timing = "{}"; ///< the VMs' `timing` setting, as JSON
    int portBase = 20000; ///< port of the platform; VMs use +1 to +3, targets +100 and up
};

/// An HTTP response.
struct http_answer
{
    int status = 0; ///< 0: no response was received
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    std::string header(const std::string &lowerName) const
    {
        const auto it = headers.find(lowerName);
        return it == headers.end() ? std::string() : it->second;
    }
    std::string state() const { return header("damask-run-state"); }
    std::string reason() const { return header("damask-reason"); }
};

/// Exit code and output of a command, standard error included.
struct command_result
{
    int exitCode = -1; ///< -1: terminated by a signal
    std::string output;
};

using header_list = std::map<std::string, std::string>;

/// \class process_fleet
/// \brief Starts the processes of a fleet, sends them requests and signals.
///
/// Signals go only to processes that the fleet has started; the destructor kills those left.
///
/// \code
/// process_fleet fleet(options);
/// fleet.start();
/// http_answer answer = fleet.get(0, "/lookup/k", "api-key");
/// \endcode
class process_fleet
{
public:
    explicit process_fleet(const fleet_options &options);
    ~process_fleet();
    process_fleet(const process_fleet &) = delete;
    process_fleet &operator=(const process_fleet &) = delete;

    /// Starts all processes, applies the rules and waits until all targets are usable.
    /// \returns false when a step failed or took longer than 20 s.
    bool start();
    void startProcess(const std::string &name);
    /// Starts another program as a process of the fleet.
    void startCommand(const std::string &name, std::vector<std::string> command);
    /// Sends a signal to a process of the fleet.
    void signal(const std::string &name, int number);
    /// Sends SIGKILL and waits until the process has terminated, at most 5 s.
    void kill(const std::string &name);
    /// Reaps the process if it has terminated. \returns whether it is running.
    bool isRunning(const std::string &name);
    /// Waits for a process to terminate. \returns its exit code, 128 + the number of the signal
    /// that terminated it, or -1 after \a timeout.
    int waitForExit(const std::string &name, duration timeout);

    std::string callerAddress(std::size_t vm) const;
    std::string targetAddress(const std::string &name) const;
    std::string platformUrl() const;

    /// Sends a caller's request to the VM at index \a vm.
    http_answer call(std::size_t vm, const std::string &method, const std::string &path,
                     const header_list &headers, const std::string &body = {}) const;
    http_answer get(std::size_t vm, const std::string &path, const std::string &apiKey) const;
    http_answer post(std::size_t vm, const std::string &path, const std::string &apiKey,
                     const std::string &idempotencyKey, const std::string &body = "{}") const;
    /// Sets the faults of the platform stand-in or the behaviour of a target.
    void setBehaviour(const std::string &name, const std::string &json) const;
    /// \returns the record of a target stand-in, with the list of its runs when \a withRuns is set.
    Json::Value records(const std::string &target, bool withRuns = false) const;
    /// \returns the counters of the platform stand-in, null when it does not respond.
    Json::Value platformCounts() const;
    /// \returns the status that the VM at index \a vm reports, null when it does not respond.
    Json::Value status(std::size_t vm) const;
    /// \returns the VM that is the gate of \a target, as reported by the VM at index \a vm.
    std::string gateOf(std::size_t vm, const std::string &target) const;
    /// \returns the metrics of the VM at index \a vm in Prometheus' text format.
    std::string metricsText(std::size_t vm) const;
    /// \returns the process id, 0 when the process is not running.
    pid_t pidOf(const std::string &name) const;
    /// Runs damaskctl against the platform stand-in of the fleet.
    command_result runDamaskctl(const std::string &arguments) const;
    /// Writes a file into the fleet's temporary directory. \returns its path.
    std::string writeFile(const std::string &name, const std::string &content) const;
    /// \returns the standard output and error of a process so far.
    std::string log(const std::string &name) const;
    /// \returns the rules that start() applies.
    std::string rulesText() const;

    /// Polls \a condition until it holds. \returns false when it did not hold within \a timeout.
    static bool waitUntil(duration timeout, const std::function<bool()> &condition);

private:
    std::vector<std::string> commandOf(const std::string &name) const;
    std::string settingsOf(std::size_t vm) const;
    http_answer getAdmin(std::size_t vm, const std::string &path) const;
    int portOf(const std::string &target) const;
    void reap(const std::string &name);

    fleet_options m_options;
    std::string m_directory;
    std::map<std::string, pid_t> m_processes;
    std::map<std::string, int> m_exitCodes;
};

/// Sends one HTTP request. \returns status 0 when no response was received within \a timeout.
http_answer httpCall(const std::string &address, const std::string &method, const std::string &path,
                     const header_list &headers, const std::string &body,
                     milliseconds timeout = milliseconds(10000));

/// \returns the rules that define \a team, its limit and its API key.
std::string teamRules(const std::string &team, const std::string &apiKey, double rate,
                      double burst);

} // namespace testing
} // namespace damaskward
