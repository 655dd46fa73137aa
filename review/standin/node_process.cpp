#include "node_process.h"

#include "http.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace damaskward::review {
namespace {

using nlohmann::json;

constexpr const char *program = "target/damaskward-node"; // As in deploy/system.toml.

bool isFree(const std::string &ip, int port, int type)
{
    const int descriptor = ::socket(AF_INET, type, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool isBound =
        ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    ::close(descriptor);
    return isBound;
}

} // namespace

node_place findPlace(const std::string &name, const std::string &zone, const std::string &ip)
{
    constexpr int firstPort = 18000;
    constexpr int lastPort = 28000;
    node_place place{name, zone, ip};
    int port = firstPort;
    for (int *wanted : {&place.callerPort, &place.readyPort, &place.controlPort, &place.peerPort}) {
        while (port < lastPort
               && !(isFree(ip, port, SOCK_STREAM) && isFree(ip, port, SOCK_DGRAM))) {
            ++port;
        }
        *wanted = port++;
    }
    return place;
}

node_process::node_process(run_record &record, node_place place, std::string folder,
                           std::string storeAddress, const std::vector<node_place> &all)
    : m_record(record)
    , m_place(std::move(place))
    , m_folder(std::move(folder))
    , m_settings(m_folder + "/" + m_place.name + ".json")
    , m_storeAddress(std::move(storeAddress))
    , m_all(all)
{ }

node_process::~node_process()
{
    if (m_id != 0) {
        ::kill(m_id, SIGKILL);
        ::waitpid(m_id, nullptr, 0);
    }
}

void node_process::start()
{
    const auto at = [this](int port) { return m_place.ip + ":" + std::to_string(port); };
    json zones = json::object();
    json seeds = json::array();
    for (const node_place &other : m_all) {
        zones[other.zone] = "great-lakes";
        seeds.push_back(other.ip + ":" + std::to_string(other.controlPort));
    }
    const json settings = {
        {"nodeName", m_place.name},
        {"role", "node"},
        {"machineClass", "front"},
        {"serves", {"front", "control"}},
        {"ip", m_place.ip},
        {"zone", m_place.zone},
        {"region", "great-lakes"},
        {"zones", zones},
        {"listen",
         {{"front", at(m_place.callerPort)},
          {"ready", at(m_place.readyPort)},
          {"control", at(m_place.controlPort)}}},
        {"internalPortRange", {m_place.peerPort, m_place.peerPort + 15}},
        {"seeds", seeds},
        {"bootstrap", m_isFirstStart},
        {"faultCounted", false},
        {"limits",
         {{"cpuShare", 0.2},
          {"cores", 1},
          {"memoryMb", 260},
          {"maxFds", 4100},
          {"linkMbps", 1000.0},
          {"diskMb", 0}}},
        {"dataDir", nullptr},
        {"discovery", "platform"},
        {"entry", "vip"},
        {"heartbeatMs", 870},
        {"contracts",
         {"base", "drain", "config", "cost", "retry", "recover", "own", "places", "tenants",
          "quota", "platform"}},
        {"faultTolerance", {{"machines", 2}, {"zones", 1}, {"regions", 0}}},
        {"bounds",
         {"seedLagS=3",         "reuseAfterS=2",        "contactMs=3000",    "ackMs=4000",
          "catchUpS=4",         "drainMs=2000",         "graceS=6",          "lossSlackMs=200",
          "configApplyMs=2000", "downgradeSlackMs=250", "maxStretchMs=5000", "revokeStrict=false",
          "revokeMs=5000",      "retryBudgetRatio=0.2", "budgetWindowS=10",  "budgetSlack=64",
          "quotaWindowS=5",     "quotaOvershoot=0.1",   "quotaSlack=20",     "warmupOvershoot=1.5",
          "warmupSlack=5",      "evacMs=5000",          "recoverS=15",       "holdMaxMs=10000",
          "thawMs=300"}},
        {"grants", "direct"},
        {"platform",
         {{"address", m_storeAddress},
          {"form", "table"},
          {"writesPerS", 400},
          {"readsPerS", 2000},
          {"txMs", 5.0},
          {"partitionWritesS", 200},
          {"rowBytes", 65536},
          {"across", false},
          {"historyS", 20},
          {"blobBytes", 8388608},
          {"blobMs", 25.0},
          {"blobMbS", 80.0}}}};
    std::ofstream(m_settings) << settings.dump(2);
    m_isFirstStart = false;
    const std::string log = m_folder + "/" + m_place.name + ".log";
    m_id = ::fork();
    if (m_id == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // No process outlives the case.
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::setenv("DAMASKWARD_BOOT", m_settings.c_str(), 1);
        ::execl(program, program, nullptr);
        ::_exit(127);
    }
    m_record.line("node " + m_place.name + " is started, process " + std::to_string(m_id));
}

bool node_process::waitUntilReady(milliseconds timeout) const
{
    const time_point until = clock_type::now() + timeout;
    constexpr milliseconds pause{50};
    constexpr int answerTimeoutMs = 500;
    while (clock_type::now() < until) {
        const int descriptor = http_stream::connectTo(m_place.ip, m_place.readyPort);
        if (descriptor >= 0) {
            http_stream stream(descriptor);
            http_message answer;
            if (stream.write("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                && stream.read(answer, answerTimeoutMs) && answer.status == 200) {
                m_record.line("node " + m_place.name + " is ready");
                return true;
            }
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

bool node_process::hasEnded()
{
    if (m_id == 0) {
        return true;
    }
    int status = 0;
    if (::waitpid(m_id, &status, WNOHANG) != m_id) {
        return false;
    }
    m_id = 0;
    m_record.line("node " + m_place.name + " has ended, "
                  + (WIFEXITED(status) ? "exit code " + std::to_string(WEXITSTATUS(status))
                                       : "signal " + std::to_string(WTERMSIG(status))));
    return true;
}

void node_process::kill(int signal) const
{
    if (m_id != 0) {
        ::kill(m_id, signal);
    }
}

} // namespace damaskward::review
