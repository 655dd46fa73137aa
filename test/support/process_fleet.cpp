#include "process_fleet.h"

#include "damaskward/Hashing"
#include "damaskward/Transport"

#include <cpprest/http_client.h>

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <thread>

namespace damaskward {
namespace testing {

const char *const fleetSecret = "fleet-secret";
const std::string platformProcess = "platform";
constexpr milliseconds pollPeriod{10};
constexpr seconds startTimeout{20};

/// \returns the directory of the programs under test. The environment variable DAMASKWARD_BIN
/// selects another build, such as one with sanitizers.
std::string binDirectory()
{
    const char *overridden = std::getenv("DAMASKWARD_BIN");
    return overridden == nullptr ? DAMASKWARD_BIN : overridden;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

http_answer httpCall(const std::string &address, const std::string &method, const std::string &path,
                     const header_list &headers, const std::string &body, milliseconds timeout)
{
    web::http::client::http_client_config config;
    config.set_timeout(timeout);
    web::http::http_request request(method);
    request.set_request_uri(path);
    for (const auto &[name, value] : headers) {
        request.headers().add(name, value);
    }
    if (!body.empty()) {
        request.set_body(body, "application/json");
    }
    http_answer answer;
    try {
        web::http::client::http_client client(web::uri("http://" + address), config);
        const web::http::http_response response = client.request(request).get();
        answer.body = response.extract_utf8string(true).get();
        answer.status = response.status_code();
        for (const auto &[name, value] : response.headers()) {
            answer.headers[lowerCase(name)] = value;
        }
    } catch (const std::exception &) {
        answer.status = 0;
    }
    return answer;
}

std::string teamRules(const std::string &team, const std::string &apiKey, double rate, double burst)
{
    std::ostringstream out;
    out << "team " << team << " # test\nlimit " << team << " rate=" << rate << " burst=" << burst
        << " # test\nkey " << team << " sha256=" << toHex(hashSecret(apiKey)) << " # test\n";
    return out.str();
}

process_fleet::process_fleet(const fleet_options &options)
    : m_options(options)
{
    std::string pattern = "/tmp/damaskward-fleet-XXXXXX";
    m_directory = mkdtemp(pattern.data());
    for (std::size_t i = 0; i < m_options.vms.size(); ++i) {
        writeFile(m_options.vms[i].name + ".json", settingsOf(i));
    }
}

process_fleet::~process_fleet()
{
    for (const auto &[name, pid] : m_processes) {
        ::kill(pid, SIGKILL);
        int ignored = 0;
        waitpid(pid, &ignored, 0);
    }
}

std::string process_fleet::platformUrl() const
{
    return "http://127.0.0.1:" + std::to_string(m_options.portBase);
}

std::string process_fleet::callerAddress(std::size_t vm) const
{
    return "127.0.1." + std::to_string(vm + 1) + ":" + std::to_string(m_options.portBase + 1);
}

int process_fleet::portOf(const std::string &target) const
{
    constexpr int firstTargetPort = 100;
    for (std::size_t i = 0; i < m_options.targets.size(); ++i) {
        if (m_options.targets[i].name == target) {
            return m_options.portBase + firstTargetPort + static_cast<int>(i);
        }
    }
    return 0;
}

std::string process_fleet::targetAddress(const std::string &name) const
{
    return "127.0.2.1:" + std::to_string(portOf(name));
}

std::string process_fleet::settingsOf(std::size_t vm) const
{
    const std::string ip = "127.0.1." + std::to_string(vm + 1) + ":";
    Json::Value value;
    value["vm"] = m_options.vms[vm].name;
    value["data_center"] = m_options.vms[vm].dc;
    value["caller_address"] = ip + std::to_string(m_options.portBase + 1);
    value["control_address"] = ip + std::to_string(m_options.portBase + 2);
    value["admin_address"] = ip + std::to_string(m_options.portBase + 3);
    value["platform"] = platformUrl();
    value["secret"] = fleetSecret;
    value["threads"] = 8;
    value["timing"] = readJsonObject(m_options.timing).value_or(Json::Value(Json::objectValue));
    return writeJson(value);
}

std::string process_fleet::writeFile(const std::string &name, const std::string &content) const
{
    std::string path = m_directory + "/" + name;
    std::ofstream(path) << content;
    return path;
}

std::string process_fleet::log(const std::string &name) const
{
    std::string fileName = name;
    std::replace(fileName.begin(), fileName.end(), '/', '-');
    const std::ifstream file(m_directory + "/" + fileName + ".log");
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

std::string process_fleet::rulesText() const
{
    std::string text = m_options.rules;
    for (const fleet_target &target : m_options.targets) {
        text += "target " + target.name + " dc=" + target.dc
            + " address=" + targetAddress(target.name) + " " + target.ruleOptions + " # test\n";
    }
    return text;
}

std::vector<std::string> process_fleet::commandOf(const std::string &name) const
{
    const std::string bin = binDirectory();
    if (name == platformProcess) {
        return {bin + "/damaskward-platform-standin", "--address",
                "127.0.0.1:" + std::to_string(m_options.portBase)};
    }
    for (const fleet_target &target : m_options.targets) {
        if (target.name == name) {
            return {bin + "/damaskward-target-standin",
                    "--name",
                    name,
                    "--address",
                    targetAddress(name),
                    "--behaviour",
                    target.behaviour};
        }
    }
    return {bin + "/damaskward", "--settings", m_directory + "/" + name + ".json"};
}

void process_fleet::startProcess(const std::string &name)
{
    startCommand(name, commandOf(name));
}

void process_fleet::startCommand(const std::string &name, std::vector<std::string> command)
{
    std::string fileName = name;
    std::replace(fileName.begin(), fileName.end(), '/', '-');
    const std::string logPath = m_directory + "/" + fileName + ".log";
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (std::string &argument : command) {
        arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    const pid_t pid = fork();
    if (pid == 0) {
        const int log = open(logPath.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    m_processes[name] = pid;
}

void process_fleet::signal(const std::string &name, int number)
{
    const auto process = m_processes.find(name);
    if (process != m_processes.end()) {
        ::kill(process->second, number);
    }
}

void process_fleet::kill(const std::string &name)
{
    signal(name, SIGKILL);
    waitForExit(name, seconds(5));
}

void process_fleet::reap(const std::string &name)
{
    const auto process = m_processes.find(name);
    int status = 0;
    if (process != m_processes.end() && waitpid(process->second, &status, WNOHANG) > 0) {
        m_exitCodes[name] = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        m_processes.erase(process);
    }
}

bool process_fleet::isRunning(const std::string &name)
{
    reap(name);
    return m_processes.count(name) != 0;
}

int process_fleet::waitForExit(const std::string &name, duration timeout)
{
    const bool terminated = waitUntil(timeout, [this, &name] { return !isRunning(name); });
    return terminated ? m_exitCodes[name] : -1;
}

bool process_fleet::waitUntil(duration timeout, const std::function<bool()> &condition)
{
    const time_point deadline = mono_clock::now() + timeout;
    while (!condition()) {
        if (mono_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

bool process_fleet::start()
{
    startProcess(platformProcess);
    for (const fleet_target &target : m_options.targets) {
        startProcess(target.name);
    }
    const bool platform = waitUntil(startTimeout, [this] { return !platformCounts().isNull(); });
    for (const fleet_vm &vm : m_options.vms) {
        startProcess(vm.name);
    }
    const bool serving = waitUntil(startTimeout, [this] {
        for (std::size_t i = 0; i < m_options.vms.size(); ++i) {
            if (httpCall(callerAddress(i), "GET", "/health", {}, {}).status != 200
                || !jsonBool(status(i), "authority")) {
                return false;
            }
        }
        return true;
    });
    const std::string rules = writeFile("rules.txt", rulesText());
    const command_result applied = runDamaskctl("apply " + rules);
    const bool usable = waitUntil(startTimeout, [this] {
        const Json::Value vmStatus = status(0);
        std::size_t ready = 0;
        for (const Json::Value &target : vmStatus["targets"]) {
            ready += jsonBool(target, "usable") ? 1 : 0;
        }
        return ready == m_options.targets.size();
    });
    return platform && serving && applied.exitCode == 0 && usable;
}

http_answer process_fleet::call(std::size_t vm, const std::string &method, const std::string &path,
                                const header_list &headers, const std::string &body) const
{
    return httpCall(callerAddress(vm), method, path, headers, body);
}

http_answer process_fleet::get(std::size_t vm, const std::string &path,
                               const std::string &apiKey) const
{
    return call(vm, "GET", path, {{header::apiKey, apiKey}});
}

http_answer process_fleet::post(std::size_t vm, const std::string &path, const std::string &apiKey,
                                const std::string &idempotencyKey, const std::string &body) const
{
    return call(vm, "POST", path,
                {{header::apiKey, apiKey}, {header::idempotencyKey, idempotencyKey}}, body);
}

void process_fleet::setBehaviour(const std::string &name, const std::string &json) const
{
    const std::string address = name == platformProcess
        ? "127.0.0.1:" + std::to_string(m_options.portBase)
        : targetAddress(name);
    httpCall(address, "POST", "/admin/behave", {}, json);
}

Json::Value process_fleet::records(const std::string &target, bool withRuns) const
{
    const std::string path = withRuns ? "/admin/records?runs" : "/admin/records";
    const http_answer answer = httpCall(targetAddress(target), "GET", path, {}, {});
    return readJsonObject(answer.body).value_or(Json::Value());
}

Json::Value process_fleet::platformCounts() const
{
    const std::string address = "127.0.0.1:" + std::to_string(m_options.portBase);
    const http_answer answer = httpCall(address, "GET", "/admin/counts", {}, {}, milliseconds(500));
    return readJsonObject(answer.body).value_or(Json::Value());
}

http_answer process_fleet::getAdmin(std::size_t vm, const std::string &path) const
{
    const std::string address =
        "127.0.1." + std::to_string(vm + 1) + ":" + std::to_string(m_options.portBase + 3);
    return httpCall(address, "GET", path, {{header::secret, fleetSecret}}, {}, milliseconds(1000));
}

Json::Value process_fleet::status(std::size_t vm) const
{
    return readJsonObject(getAdmin(vm, "/status").body).value_or(Json::Value());
}

std::string process_fleet::gateOf(std::size_t vm, const std::string &target) const
{
    const Json::Value vmStatus = status(vm);
    for (const Json::Value &entry : vmStatus["targets"]) {
        if (jsonText(entry, "target") == target) {
            return jsonText(entry, "gate");
        }
    }
    return "";
}

std::string process_fleet::metricsText(std::size_t vm) const
{
    return getAdmin(vm, "/metrics").body;
}

pid_t process_fleet::pidOf(const std::string &name) const
{
    const auto process = m_processes.find(name);
    return process == m_processes.end() ? 0 : process->second;
}

command_result process_fleet::runDamaskctl(const std::string &arguments) const
{
    const std::string command = "DAMASKWARD_SECRET=" + std::string(fleetSecret) + " "
        + binDirectory() + "/damaskctl --platform " + platformUrl() + " " + arguments + " 2>&1";
    command_result result;
    FILE *pipe = popen(command.c_str(), "r");
    std::array<char, 4096> buffer{};
    while (std::fgets(buffer.data(), static_cast<int>(buffer.size()), pipe) != nullptr) {
        result.output += buffer.data();
    }
    const int status = pclose(pipe);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

} // namespace testing
} // namespace damaskward
