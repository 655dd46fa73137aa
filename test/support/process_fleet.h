/// \file
/// \brief Real processes on loopback: a platform stand-in, targets and VMs, for tests and benches.

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
    std::string behaviour = "{}"; ///< JSON of its behaviour at its start
    std::string rule; ///< more words for its rule, such as `slots=2 cold=1`
};

/// What a fleet is made of.
struct fleet_options
{
    std::vector<fleet_vm> vms;
    std::vector<fleet_target> targets;
    std::string rules; ///< services, teams, limits, keys; targets are added by the fleet
    std::string timing = "{}"; ///< JSON for the VMs' `timing` setting
    int portBase = 20000;
};

/// An HTTP answer.
struct http_answer
{
    int status = 0; ///< 0: no answer
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

/// How a command ended.
struct command_result
{
    int exitCode = -1;
    std::string output;
};

using header_list = std::map<std::string, std::string>;

/// \class process_fleet
/// \brief Starts processes, talks to them, stops, freezes and kills them; only its own.
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

    /// Starts everything and applies the rules. \returns false when that took too long.
    bool start();
    void startProcess(const std::string &name);
    /// Starts any other program as a process of the fleet.
    void startCommand(const std::string &name, std::vector<std::string> words);
    /// Sends a signal to a process of the fleet.
    void signal(const std::string &name, int number);
    /// Kills a process and waits for its end.
    void kill(const std::string &name);
    /// \returns whether the process runs.
    bool isRunning(const std::string &name);
    /// Waits for a process to end by itself. \returns its exit code, or -1 at the deadline.
    int waitForEnd(const std::string &name, duration limit);

    std::string callerAddress(std::size_t vm) const;
    std::string targetAddress(const std::string &name) const;
    std::string platformUrl() const;

    /// Sends a caller's request to the VM at index \a vm.
    http_answer call(std::size_t vm, const std::string &method, const std::string &path,
                     const header_list &headers, const std::string &body = {}) const;
    http_answer get(std::size_t vm, const std::string &path, const std::string &apiKey) const;
    http_answer post(std::size_t vm, const std::string &path, const std::string &apiKey,
                     const std::string &idempotencyKey, const std::string &body = "{}") const;
    /// Tells the platform stand-in or a target how to behave.
    void behave(const std::string &name, const std::string &json) const;
    /// \returns what a target recorded; with every run when \a withRuns is set.
    Json::Value records(const std::string &target, bool withRuns = false) const;
    /// \returns what the platform stand-in counted.
    Json::Value platformCounts() const;
    /// \returns a VM's own status.
    Json::Value status(std::size_t vm) const;
    /// \returns the VM that is the gate of \a target, asked at the VM at index \a vm.
    std::string gateOf(std::size_t vm, const std::string &target) const;
    /// \returns a VM's metrics in Prometheus' text format.
    std::string metricsText(std::size_t vm) const;
    /// \returns the id of a process of the fleet, 0 when it does not run.
    pid_t pidOf(const std::string &name) const;
    /// Runs damaskctl.
    command_result ctl(const std::string &arguments) const;
    /// Writes a file into the fleet's folder. \returns its path.
    std::string writeFile(const std::string &name, const std::string &content) const;
    /// \returns what a process has logged so far.
    std::string log(const std::string &name) const;
    /// \returns the rules that start() applies.
    std::string rulesText() const;

    /// Repeats a question until the answer is yes. \returns false when \a limit passed first.
    static bool eventually(duration limit, const std::function<bool()> &question);

private:
    std::vector<std::string> commandOf(const std::string &name) const;
    std::string settingsOf(std::size_t vm) const;
    http_answer askAdmin(std::size_t vm, const std::string &path) const;
    int portOf(const std::string &target) const;
    void reap(const std::string &name);

    fleet_options m_options;
    std::string m_folder;
    std::map<std::string, pid_t> m_processes;
    std::map<std::string, int> m_endings;
};

/// Sends one HTTP request. \returns status 0 when there was no answer within \a timeout.
http_answer httpCall(const std::string &address, const std::string &method, const std::string &path,
                     const header_list &headers, const std::string &body,
                     milliseconds timeout = milliseconds(10000));

/// \returns the rules for a team with a key. \param hash of the key
std::string teamRules(const std::string &team, const std::string &apiKey, double rate,
                      double burst);

} // namespace testing
} // namespace damaskward
