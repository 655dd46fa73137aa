/// \file
/// \brief Runs the platform, the servers and the clients of one case of the review.
///
/// Usage: standin CASE STORES FRONTS READYS RECORD TROUBLE PIDS; addresses are IP:PORT, lists are
/// separated by commas. Exits with 1 if the rule of the case was broken, with 0 if it held and with
/// 2 if the case could not run.

#include "backend.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <utility>
#include <vector>

namespace review {
namespace {

using json = nlohmann::json;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;
constexpr int good = 200;

constexpr const char *host = "ranks.example";
constexpr const char *serviceName = "ledger";
constexpr const char *zoneName = "zone-a";
constexpr const char *apiKey = "xd9dnn2ctnfzs989anu6";
constexpr int scanTimeoutMillis = 4000;
/// `contactMs` of the settings.
constexpr milliseconds contactTime{3000};

struct setup
{
    std::vector<std::string> stores; ///< of the platform's store, one for each VM
    std::vector<std::string> fronts;
    std::vector<std::string> readys;
    std::string recordPath;
    bool hasTrouble = true;
    std::string pidPath; ///< file with the process ids of the VMs
};

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> result;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        result.push_back(part);
    }
    return result;
}

/// A route to the service, as in the examples of the pages.
json routeOf(const std::string &prefix, const std::string &kind, int timeoutMillis = 1200)
{
    return {{"host", host},           {"prefix", prefix},
            {"kind", kind},           {"timeoutMs", timeoutMillis},
            {"targetLatencyMs", 600}, {"priority", 1},
            {"service", serviceName}, {"maxAttempts", 2},
            {"public", false}};
}

/// A configuration with one service, and a route for each kind of request.
json configuration(bool isSharded)
{
    json service = {
        {"healthPath", "/health"}, {"maxConnections", 130}, {"warmupS", 3.0}, {"warmupPerS", 3.5}};
    if (isSharded) {
        service["sharded"] = true;
        service["warmS"] = 2.0;
    }
    return {{"version", "r7"},
            {"routes",
             {{"lookup", routeOf("/rank/", "safe")},
              {"filing", routeOf("/filing/", "unsafe")},
              {"scan", routeOf("/scan/", "upload", scanTimeoutMillis)}}},
            {"services", {{serviceName, service}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 1048576},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants", {{"dojo", {{"apiKeys", {apiKey}}, {"priority", 0}}}}}};
}

/// \class client
/// \brief Sends requests, each on a new connection.
class client
{
public:
    static constexpr milliseconds usualBudget{1200};

    explicit client(recorder &record)
        : m_record(record)
    { }

    /// \returns the status of the answer, 0 for none.
    int get(const std::string &front, const std::string &path, int key = -1)
    {
        return send("GET", front, path, key);
    }

    int send(const std::string &method, const std::string &front, const std::string &path,
             int key = -1)
    {
        return sendAs("q" + std::to_string(++m_lastId), method, front, path, key);
    }

    int sendAs(const std::string &id, const std::string &method, const std::string &front,
               const std::string &path, int key, milliseconds timeBudget = usualBudget)
    {
        std::string fields = std::string("Host: ") + host + "\r\nRequest-Id: " + id
            + "\r\nDeadline-Ms: " + std::to_string(timeBudget.count()) + "\r\nCredential: " + apiKey
            + "\r\n";
        fields += key < 0 ? "" : "Shard-Key: " + std::to_string(key) + "\r\n";
        m_record.write("client sends " + id + ' ' + method + ' ' + path + " to " + front);
        noteSent(id, steady::now());
        http_message answer;
        const auto open = connectTo(front);
        if (open) {
            open->write(requestText(method, path, fields, ""));
            open->read(answer, steady::now() + timeBudget);
        }
        const std::string stamp = answer.field("response-stamp");
        m_record.write("client gets " + id + " status " + std::to_string(answer.status())
                       + (stamp.empty() ? "" : " stamp " + stamp));
        return answer.status();
    }

    /// \returns when the request with \a id was sent.
    time_point sentAt(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_sentAt[id];
    }

private:
    void noteSent(const std::string &id, time_point at)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_sentAt[id] = at;
    }

    recorder &m_record;
    std::mutex m_mutex;
    std::map<std::string, time_point> m_sentAt;
    std::atomic<int> m_lastId{0};
};

/// \class traffic
/// \brief Sends ordinary requests at a constant rate, each with another key, to all VMs in turn.
class traffic
{
public:
    traffic(client &caller, std::vector<std::string> fronts, bool isSharded)
        : m_caller(caller)
        , m_fronts(std::move(fronts))
        , m_isSharded(isSharded)
        , m_thread([this] { sendAll(); })
    { }
    ~traffic() { stop(); }
    traffic(const traffic &) = delete;
    traffic &operator=(const traffic &) = delete;

    void stop()
    {
        m_isStopping = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }
    int sentCount() const { return m_sent; }
    int servedCount() const { return m_served; }

private:
    void sendAll()
    {
        constexpr milliseconds interval{40};
        constexpr int keyStep = 40503; // Of multiplicative hashing: subsequent keys are far apart.
        std::list<std::thread> requests;
        for (int i = 0; !m_isStopping; ++i) {
            const int key = m_isSharded ? i * keyStep % backend::keyCount : -1;
            const std::string &front = m_fronts[static_cast<std::size_t>(i) % m_fronts.size()];
            ++m_sent;
            requests.emplace_back([this, front, i, key] {
                const bool isServed =
                    m_caller.get(front, "/rank/student-" + std::to_string(i), key) == good;
                m_served += isServed ? 1 : 0;
            });
            std::this_thread::sleep_for(interval);
        }
        for (std::thread &request : requests) {
            request.join();
        }
    }

    client &m_caller;
    std::vector<std::string> m_fronts;
    bool m_isSharded;
    std::atomic<bool> m_isStopping{false};
    std::atomic<int> m_sent{0};
    std::atomic<int> m_served{0};
    std::thread m_thread;
};

/// \returns the process id of VM number \a vm, 0 if it is not known.
pid_t pidOf(const setup &s, std::size_t vm)
{
    std::ifstream file(s.pidPath);
    pid_t pid = 0;
    for (std::size_t i = 0; i <= vm; ++i) {
        pid = 0;
        file >> pid;
    }
    return pid;
}

/// \returns whether all VMs were ready within a time that is ample for a start.
bool waitUntilReady(const setup &s)
{
    constexpr milliseconds interval{100};
    const time_point until = steady::now() + std::chrono::seconds(20);
    for (const std::string &ready : s.readys) {
        for (int status = 0; status != good;) {
            if (steady::now() >= until) {
                return false;
            }
            std::this_thread::sleep_for(interval);
            http_message answer;
            const auto open = connectTo(ready);
            if (open) {
                open->write(requestText("GET", "/readiness", "Host: vm\r\n", ""));
                open->read(answer, until);
            }
            status = answer.status();
        }
    }
    return true;
}

/// BUDGET: a request crashes each server that begins to run it, and comes again.
int playCrashingRequest(const setup &s, recorder &record)
{
    constexpr const char *path = "/rank/student-crash";
    constexpr int serverCount = 6;
    constexpr int allowedRetries = 3; // As the rule states.
    constexpr std::size_t countedCrash = 3;
    constexpr milliseconds pause{2500};
    constexpr int returns = 12;
    struct arrival
    {
        std::string id;
        time_point at{};
    };
    std::mutex mutex;
    std::vector<arrival> arrivals; // Each of them crashes its server.
    store platform(s.stores);
    platform.put("op", "config", configuration(false));
    backend::hooks hooks;
    hooks.crashes = [&](backend &, const http_message &request) {
        if (request.word(1) != path) {
            return false;
        }
        const std::lock_guard<std::mutex> lock(mutex);
        arrivals.push_back({request.field("request-id"), steady::now()});
        return s.hasTrouble;
    };
    std::list<backend> servers;
    for (int i = 0; i < serverCount; ++i) {
        servers.emplace_back("s" + std::to_string(i), backend_options{serviceName, zoneName},
                             "127.0.0.1:0", platform, record, hooks);
    }
    if (!waitUntilReady(s)) {
        return couldNotRun;
    }
    std::this_thread::sleep_for(contactTime);
    client caller(record);
    traffic ordinary(caller, s.fronts, false);
    for (int i = 0; i < returns; ++i) {
        caller.get(s.fronts[static_cast<std::size_t>(i) % s.fronts.size()], path);
        std::this_thread::sleep_for(pause);
    }
    ordinary.stop();
    const std::lock_guard<std::mutex> lock(mutex);
    if (arrivals.size() < countedCrash) {
        return couldNotRun;
    }
    const time_point countedFrom = arrivals[countedCrash - 1].at + contactTime;
    std::map<std::string, int> arrivalsOf;
    int retries = 0;
    for (const arrival &a : arrivals) {
        const bool isRetry = ++arrivalsOf[a.id] > 1;
        retries += isRetry && a.at > countedFrom ? 1 : 0;
    }
    int crashes = 0;
    for (backend &server : servers) {
        crashes += server.crashCount();
    }
    record.write("the request came " + std::to_string(returns) + " times, reached servers "
                 + std::to_string(arrivals.size()) + " times and crashed "
                 + std::to_string(crashes));
    record.write("retries later than contactMs after the third crash: " + std::to_string(retries)
                 + ", allowed " + std::to_string(allowedRetries));
    record.write("ordinary requests: " + std::to_string(ordinary.sentCount()) + " sent, "
                 + std::to_string(ordinary.servedCount()) + " served");
    return retries > allowedRetries ? broken : held;
}

/// FAILBACK: a server becomes cold again, and crashes at a rate well above what it tolerates.
int playColdServer(const setup &s, recorder &record)
{
    constexpr int serverCount = 3;
    constexpr int rounds = 8;
    constexpr milliseconds pause{6500};
    constexpr milliseconds interval{11};
    constexpr double tolerated = 3.5 * 1.5 + 5.0; // warmupPerS x warmupOvershoot + warmupSlack.
    constexpr int crashFactor = 2; // Well above what is tolerated.
    constexpr std::chrono::seconds window{1};
    struct arrival
    {
        std::string server;
        time_point sentAt{};
        time_point at{};
    };
    client caller(record);
    std::mutex mutex;
    std::vector<arrival> arrivals; // At cold servers.
    store platform(s.stores);
    platform.put("op", "config", configuration(false));
    backend::hooks hooks;
    std::atomic<int> crashes{0};
    std::atomic<bool> isPlaying{false};
    hooks.crashes = [&](backend &self, const http_message &request) {
        if (!isPlaying || !self.isCold()) {
            return false;
        }
        const time_point now = steady::now();
        const std::lock_guard<std::mutex> lock(mutex);
        const std::string id = self.name();
        arrivals.push_back({id, caller.sentAt(request.field("request-id")), now});
        const auto recent = std::count_if(arrivals.begin(), arrivals.end(), [&](const arrival &a) {
            return a.server == id && a.at > now - window;
        });
        const bool isTooMany = static_cast<double>(recent) > crashFactor * tolerated;
        crashes += isTooMany ? 1 : 0;
        return isTooMany;
    };
    std::list<backend> servers;
    for (int i = 0; i < serverCount; ++i) {
        servers.emplace_back("s" + std::to_string(i), backend_options{serviceName, zoneName},
                             "127.0.0.1:0", platform, record, hooks);
    }
    if (!waitUntilReady(s)) {
        return couldNotRun;
    }
    std::this_thread::sleep_for(contactTime);
    isPlaying = true;
    std::atomic<bool> isStopping{false};
    std::atomic<int> sent{0};
    std::atomic<int> lost{0};
    std::thread sender([&] {
        std::list<std::thread> requests;
        for (std::size_t i = 0; !isStopping; ++i) {
            requests.emplace_back([&, i] {
                const std::string &front = s.fronts[i % s.fronts.size()];
                const int status = i % 2 == 0
                    ? caller.send("POST", front, "/filing/" + std::to_string(i))
                    : caller.get(front, "/rank/" + std::to_string(i));
                ++sent;
                const bool isRefused = status == 503 || status == 429;
                lost += i % 2 == 0 && status != good && !isRefused ? 1 : 0;
            });
            std::this_thread::sleep_for(interval);
        }
        for (std::thread &request : requests) {
            request.join();
        }
    });
    for (int i = 0; i < rounds; ++i) {
        auto server = servers.begin();
        std::advance(server, i % serverCount);
        if (s.hasTrouble) {
            server->becomeCold();
        }
        std::this_thread::sleep_for(pause);
    }
    isStopping = true;
    sender.join();
    const std::lock_guard<std::mutex> lock(mutex);
    int most = 0;
    for (const arrival &first : arrivals) {
        const auto count =
            std::count_if(arrivals.begin(), arrivals.end(), [&first, window](const arrival &a) {
                return a.server == first.server && a.sentAt >= first.sentAt
                    && a.at < first.sentAt + window;
            });
        most = std::max(most, static_cast<int>(count));
    }
    record.write("most requests of one second at a cold server: " + std::to_string(most)
                 + ", tolerated " + std::to_string(tolerated));
    record.write("crashes of cold servers: " + std::to_string(crashes));
    record.write("requests sent: " + std::to_string(sent) + ", of those that may run once, ended "
                 + "without an answer of a server: " + std::to_string(lost));
    return most > tolerated ? broken : held;
}

/// DRAIN: the VM that reads the list of servers is cut off from the store as a server leaves.
int playCutReader(const setup &s, recorder &record)
{
    constexpr int serverCount = 9;
    constexpr int rounds = 6;
    constexpr int burst = 12;
    constexpr std::size_t vmCount = 3;
    constexpr milliseconds pollInterval{2};
    constexpr milliseconds drainTime{2000}; // `drainMs` of the settings.
    constexpr milliseconds burstsAfter[] = {milliseconds(2050), milliseconds(2200)};
    constexpr milliseconds cutTime{5500};
    constexpr milliseconds pause{7500};
    client caller(record);
    std::mutex mutex;
    std::map<std::string, time_point> leftAt;
    int late = 0;
    store platform(s.stores);
    platform.put("op", "config", configuration(false));
    backend::hooks hooks;
    hooks.arrived = [&](backend &self, const http_message &request) {
        const std::lock_guard<std::mutex> lock(mutex);
        const auto it = leftAt.find(self.name());
        const std::string id = request.field("request-id");
        if (it != leftAt.end() && caller.sentAt(id) > it->second + drainTime) {
            ++late;
            const std::chrono::duration<double> age = steady::now() - it->second;
            record.write("DRAIN: " + id + " reaches " + self.name() + ' '
                         + std::to_string(age.count()) + " s after the store has accepted that it "
                         + "is draining");
        }
    };
    std::list<backend> servers;
    for (int i = 0; i < serverCount; ++i) {
        servers.emplace_back("s" + std::to_string(i), backend_options{serviceName, zoneName},
                             "127.0.0.1:0", platform, record, hooks);
    }
    if (!waitUntilReady(s) || s.fronts.size() != vmCount) {
        return couldNotRun;
    }
    std::this_thread::sleep_for(2 * contactTime);
    auto server = servers.begin();
    int roundsWithLate = 0;
    for (int round = 0; round < rounds; ++round, ++server) {
        const int lateBefore = late;
        for (const int count = platform.readCount(); platform.readCount() == count;) {
            std::this_thread::sleep_for(pollInterval);
        }
        const std::size_t reader = platform.lastReader();
        if (s.hasTrouble) {
            platform.cut(reader);
            record.write("VM " + s.fronts[reader] + " is cut off from the store");
        }
        server->leave();
        const time_point from = steady::now();
        {
            const std::lock_guard<std::mutex> lock(mutex);
            leftAt[server->name()] = from;
        }
        std::list<std::thread> requests;
        for (const milliseconds after : burstsAfter) {
            std::this_thread::sleep_until(from + after);
            for (std::size_t vm = 0; vm < vmCount; ++vm) {
                for (int i = 0; vm != reader && i < burst; ++i) {
                    requests.emplace_back([&caller, &s, vm, i] {
                        caller.get(s.fronts[vm], "/rank/student-" + std::to_string(i));
                    });
                }
            }
        }
        for (std::thread &request : requests) {
            request.join();
        }
        server->end();
        std::this_thread::sleep_until(from + cutTime);
        platform.heal(reader);
        std::this_thread::sleep_for(pause);
        const std::lock_guard<std::mutex> lock(mutex);
        roundsWithLate += late > lateBefore ? 1 : 0;
    }
    record.write("requests that reached a leaving server too late: " + std::to_string(late)
                 + ", in " + std::to_string(roundsWithLate) + " of " + std::to_string(rounds)
                 + " rounds");
    return late > 0 ? broken : held;
}

/// LOST: after a SIGTERM, a VM breaks off requests on which their servers are at work.
int playLongRequest(const setup &s, recorder &record)
{
    constexpr int serverCount = 3;
    constexpr int trials = 6;
    constexpr std::chrono::seconds warmUp{40};
    constexpr milliseconds interval{42};
    constexpr milliseconds trialInterval{330};
    /// Of a first attempt, and what is left for a second one after a first that was refused soon.
    constexpr milliseconds timeBudgets[] = {milliseconds(1060), milliseconds(1200)};
    /// The router answers this long before the time budget ends; such answers are not counted.
    constexpr milliseconds budgetMargin{30};
    constexpr const char *longPath = "/rank/work-950";
    store platform(s.stores);
    platform.put("op", "config", configuration(true));
    std::list<backend> servers;
    backend_options options{serviceName, zoneName, 4, true};
    for (int i = 0; i < serverCount; ++i) {
        servers.emplace_back("s" + std::to_string(i), options, "127.0.0.1:0", platform, record,
                             backend::hooks{});
    }
    if (!waitUntilReady(s)) {
        return couldNotRun;
    }
    client caller(record);
    std::atomic<bool> isStopping{false};
    std::thread sender([&] {
        constexpr int keyStep = 40503; // Of multiplicative hashing: subsequent keys are far apart.
        std::list<std::thread> requests;
        for (int i = 0; !isStopping; ++i) {
            requests.emplace_back([&, i] {
                const std::string path = i % 2 == 0 ? "/rank/work-300" : "/rank/work-420";
                // The share of connections of each VM is uneven.
                caller.get(i % 5 == 0 ? s.fronts.back() : s.fronts.front(), path,
                           i * keyStep % backend::keyCount);
            });
            std::this_thread::sleep_for(interval);
        }
        for (std::thread &request : requests) {
            request.join();
        }
    });
    std::this_thread::sleep_for(warmUp);
    if (s.hasTrouble) {
        const pid_t pid = pidOf(s, 0);
        if (pid == 0 || ::kill(pid, SIGTERM) != 0) {
            isStopping = true;
            sender.join();
            return couldNotRun;
        }
        record.write("VM " + s.fronts.front() + " gets SIGTERM");
    }
    std::atomic<int> lost{0};
    std::list<std::thread> requests;
    for (int i = 0; i < trials; ++i) {
        std::this_thread::sleep_for(trialInterval);
        auto server = servers.begin();
        std::advance(server, i % serverCount);
        const std::vector<hold> holds = server->holds();
        if (holds.empty()) {
            continue;
        }
        requests.emplace_back([&, i, key = holds.front().first] {
            const time_point from = steady::now();
            const std::string id = "long-" + std::to_string(i);
            const milliseconds timeBudget = timeBudgets[i % 2];
            const int status =
                caller.sendAs(id, "GET", s.fronts.front(), longPath, key, timeBudget);
            const time_point now = steady::now();
            const bool isAtWork = std::any_of(servers.begin(), servers.end(), [&id](backend &b) {
                const std::vector<run> runs = b.runs();
                return std::any_of(runs.begin(), runs.end(),
                                   [&id](const run &r) { return r.id == id; });
            });
            if (status != good && isAtWork && now < from + timeBudget - budgetMargin) {
                const std::chrono::duration<double> age = now - from;
                record.write("broken off: " + id + " gets " + std::to_string(status) + " after "
                             + std::to_string(age.count()) + " s while its server is at work");
                ++lost;
            }
        });
    }
    for (std::thread &request : requests) {
        request.join();
    }
    isStopping = true;
    sender.join();
    record.write("long requests sent: " + std::to_string(trials)
                 + ", broken off while their servers were at work: " + std::to_string(lost));
    // The rule binds only around planned work.
    return lost > 0 && s.hasTrouble ? broken : held;
}

/// LOST: requesters stop reading for a while in the middle of an answer.
int playSlowReader(const setup &s, recorder &record)
{
    constexpr int serverCount = 2;
    constexpr int requesters = 6;
    constexpr int allowed = 3; // As the rule states.
    constexpr int receiveBytes = 4096;
    constexpr milliseconds pause{3700};
    constexpr milliseconds timeBudget{4000};
    constexpr const char *path = "/scan/work-220/bytes-30000";
    constexpr std::size_t bodyBytes = 30000;
    constexpr std::size_t uploadBytes = 60000;
    store platform(s.stores);
    platform.put("op", "config", configuration(false));
    std::list<backend> servers;
    for (int i = 0; i < serverCount; ++i) {
        servers.emplace_back("s" + std::to_string(i), backend_options{serviceName, zoneName, 8},
                             "127.0.0.1:0", platform, record, backend::hooks{});
    }
    if (!waitUntilReady(s)) {
        return couldNotRun;
    }
    std::this_thread::sleep_for(contactTime);
    std::atomic<int> lost{0};
    std::list<std::thread> threads;
    for (int i = 0; i < requesters; ++i) {
        threads.emplace_back([&, i] {
            const std::string &front = s.fronts[static_cast<std::size_t>(i) % s.fronts.size()];
            const auto open = connectTo(front, receiveBytes);
            if (!open) {
                return;
            }
            // The connection is kept: a small request comes first.
            for (const char *target : {"/rank/small", path}) {
                const bool isScan = target == path;
                const std::string id = "r" + std::to_string(i) + (isScan ? "-scan" : "-small");
                const time_point from = steady::now();
                const std::string method = isScan ? "POST" : "GET";
                std::string line = "client sends ";
                line.append(id).append(" ").append(method).append(" ").append(target);
                record.write(line.append(" to ").append(front));
                std::string fields = std::string("Host: ") + host + "\r\nRequest-Id: ";
                fields.append(id).append("\r\nDeadline-Ms: ");
                fields.append(std::to_string(timeBudget.count())).append("\r\nCredential: ");
                fields.append(apiKey).append("\r\n");
                const std::string body(isScan ? uploadBytes : 0, 'x');
                open->write(requestText(method, target, fields, body));
                if (isScan && s.hasTrouble) {
                    std::this_thread::sleep_for(pause);
                }
                http_message answer;
                const bool isWhole = open->read(answer, from + timeBudget);
                const std::chrono::duration<double> age = steady::now() - from;
                record.write("client gets " + id + " status " + std::to_string(answer.status())
                             + " stamp " + answer.field("response-stamp") + ", "
                             + std::to_string(answer.body.size()) + " bytes after "
                             + std::to_string(age.count()) + " s"
                             + (isWhole ? "" : ", the connection ended early"));
                lost += isScan && !(isWhole && answer.body.size() == bodyBytes) ? 1 : 0;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    record.write("answers not received whole: " + std::to_string(lost) + " of "
                 + std::to_string(requesters) + ", allowed " + std::to_string(allowed));
    return lost > allowed ? broken : held;
}

int play(const std::string &name, const setup &s)
{
    recorder record(s.recordPath);
    int result = couldNotRun;
    if (name == "crashing-request") {
        result = playCrashingRequest(s, record);
    } else if (name == "cold-server") {
        result = playColdServer(s, record);
    } else if (name == "cut-reader") {
        result = playCutReader(s, record);
    } else if (name == "slow-reader") {
        result = playSlowReader(s, record);
    } else if (name == "long-request") {
        result = playLongRequest(s, record);
    }
    constexpr const char *texts[] = {"the rule held", "the rule was broken", "could not run"};
    record.write(std::string("result: ") + texts[result]);
    std::cout << name << ": " << texts[result] << '\n';
    return result;
}

} // namespace
} // namespace review

int main(int argc, char **argv)
{
    constexpr int argumentCount = 8;
    if (argc != argumentCount) {
        std::cerr << "usage: standin CASE STORES FRONTS READYS RECORD TROUBLE PIDS\n";
        return review::couldNotRun;
    }
    constexpr unsigned longestRunSeconds = 110;
    ::alarm(longestRunSeconds); // Ends a run that hangs.
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    try {
        return review::play(arguments[0],
                            {review::splitList(arguments[1]), review::splitList(arguments[2]),
                             review::splitList(arguments[3]), arguments[4], arguments[5] != "0",
                             arguments[6]});
    } catch (const std::exception &e) {
        std::cerr << "standin: " << e.what() << '\n';
        return review::couldNotRun;
    }
}
