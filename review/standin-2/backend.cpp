#include "backend.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace review {
namespace {

constexpr int good = 200;
constexpr int outdated = 409;
constexpr int misdirected = 421;
constexpr int unavailable = 503;
/// How long a server is down after a crash.
constexpr milliseconds crashTime{3000};
/// A server that has crashed sends nothing. The store removes its entry after three heartbeats.
constexpr milliseconds lapseTime = 3 * backend::heartbeatInterval;

std::int64_t wallClockMillis()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string rangeText(int first, int last)
{
    return std::to_string(first) + '-' + std::to_string(last);
}

/// \returns the number behind \a mark in \a path, 0 if there is none.
int numberAfter(const std::string &path, std::string_view mark)
{
    const std::size_t at = path.find(mark);
    return at == std::string::npos ? 0 : std::atoi(path.c_str() + at + mark.size());
}

} // namespace

backend::backend(std::string name, backend_options options, const std::string &address,
                 store &registry, recorder &record, hooks extra)
    : m_name(std::move(name))
    , m_options(std::move(options))
    , m_address(address)
    , m_registry(registry)
    , m_record(record)
    , m_hooks(std::move(extra))
{
    start();
    m_life_thread = std::thread([this] { live(); });
}

backend::~backend()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_life_thread.join();
    if (m_server) {
        m_server->stop();
    }
}

/// Begins a new life.
void backend::start()
{
    auto server = std::make_unique<http_server>(
        m_address,
        [this](const http_message &request, connection &caller) { handle(request, caller); });
    m_address = server->address();
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_server = std::move(server);
    m_id = "i-" + m_name + '-' + std::to_string(++m_life);
    m_born = wallClockMillis();
    m_sequence = 0;
    m_isUp = true;
    m_coldUntil = m_life > 1 ? steady::now() + warmupTime : time_point{};
    m_holds.clear();
    m_seen.clear();
    report();
    m_record.write("server " + m_id + " starts at " + m_address);
}

/// Sends heartbeats, and starts again after a crash.
void backend::live()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_isStopping) {
        if (m_isUp) {
            m_changed.wait_for(lock, heartbeatInterval, [this] { return m_isStopping || !m_isUp; });
            if (m_isUp && !m_isStopping) {
                report();
            }
            continue;
        }
        std::unique_ptr<http_server> server = std::move(m_server);
        const std::string id = m_id;
        lock.unlock();
        server->stop();
        lock.lock();
        m_changed.wait_for(lock, lapseTime, [this] { return m_isStopping || m_hasEnded; });
        m_registry.drop("servers", id);
        if (m_hasEnded) {
            return;
        }
        m_changed.wait_for(lock, crashTime - lapseTime, [this] { return m_isStopping; });
        lock.unlock();
        server.reset();
        start();
        lock.lock();
    }
}

/// Writes the entry of the server. The mutex is held.
void backend::report()
{
    m_registry.put("servers", m_id,
                   {{"address", m_address},
                    {"born", m_born},
                    {"info",
                     {{"service", m_options.service},
                      {"version", "v1"},
                      {"zone", m_options.zone},
                      {"slots", m_options.slots}}},
                    {"status",
                     {{"state", m_isLeaving ? "draining" : "ready"},
                      {"sequence", ++m_sequence},
                      {"warmupLeftMs", warmupLeft().count()}}}});
}

/// \returns how long the server remains cold. The mutex is held.
milliseconds backend::warmupLeft() const
{
    return std::max(milliseconds(0),
                    std::chrono::duration_cast<milliseconds>(m_coldUntil - steady::now()));
}

void backend::end()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isUp = false;
    m_hasEnded = true;
    m_record.write("server " + m_id + " ends");
    m_changed.notify_all();
}

void backend::becomeCold()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_isUp) {
        m_coldUntil = steady::now() + warmupTime;
        report();
        m_record.write("server " + m_id + " becomes cold");
    }
}

bool backend::isCold()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_isUp && warmupLeft().count() > 0;
}

std::string backend::id()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_id;
}

void backend::leave()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isLeaving = true;
    report();
    m_record.write("server " + m_id + " reports draining");
}

std::vector<hold> backend::holds()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<hold> result;
    std::copy_if(m_holds.begin(), m_holds.end(), std::back_inserter(result),
                 [now = steady::now()](const hold &h) { return now < h.expiresAt; });
    return result;
}

std::vector<run> backend::runs()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {m_runs.begin(), m_runs.end()};
}

int backend::crashCount()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_crashes;
}

/// Answers with the fields that all answers of a server have.
void backend::answer(connection &caller, int status, const std::string &fields,
                     const std::string &body)
{
    std::string text;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_isUp) {
            return; // The process has ended.
        }
        text = fields + "Instance-Id: " + m_id
            + "\r\nBackend-Load: " + std::to_string(m_runs.size()) + ','
            + std::to_string(m_queue.size()) + ',' + std::to_string(m_options.slots) + ','
            + std::to_string(m_options.slowdownPercent) + "\r\n";
        text += m_isLeaving ? "Server-Leaving: 1\r\n" : "";
    }
    caller.write(answerText(status, text, body));
}

void backend::handle(const http_message &request, connection &caller)
{
    const std::string path = request.word(1);
    const std::string expected = request.field("expect-instance");
    if (path == "/health") {
        std::unique_lock<std::mutex> lock(m_mutex);
        const std::string left = std::to_string(warmupLeft().count());
        lock.unlock();
        answer(caller, good, "Warmup-Ms: " + left + "\r\n");
    } else if (!expected.empty() && expected != id()) {
        answer(caller, misdirected, "Not-Executed: 1\r\n");
    } else if (path == "/grant") {
        serveGrant(json::parse(request.body), caller);
    } else if (path == "/release") {
        serveRelease(json::parse(request.body), caller);
    } else {
        serveRequest(request, caller);
    }
}

bool backend::holdsKey(int key) const
{
    return std::any_of(m_holds.begin(), m_holds.end(), [key, now = steady::now()](const hold &h) {
        return h.contains(key) && now < h.expiresAt;
    });
}

milliseconds backend::workOf(const http_message &request)
{
    const int millis = numberAfter(request.word(1), "/work-");
    return millis > 0 ? milliseconds(millis) : usualWork;
}

std::string backend::bodyOf(const http_message &request)
{
    const int bytes = numberAfter(request.word(1), "/bytes-");
    return bytes > 0 ? std::string(static_cast<std::size_t>(bytes), 'x') : std::string("done");
}

/// Waits until the request is the first in the queue and a slot is free. The mutex is held.
/// \returns false if the queue is full or the time of the request has passed
bool backend::waitForSlot(const http_message &request, std::unique_lock<std::mutex> &lock)
{
    constexpr std::size_t maxQueueLength = 8;
    if (m_queue.size() >= maxQueueLength) {
        return false;
    }
    const auto entry = m_queue.insert(m_queue.end(), request.field("request-id"));
    const milliseconds left(std::atoi(request.field("deadline-ms").c_str()));
    const bool isFree = m_changed.wait_for(lock, left, [this, &entry] {
        return !m_isUp
            || (entry == m_queue.begin()
                && m_runs.size() < static_cast<std::size_t>(m_options.slots));
    });
    m_queue.erase(entry);
    m_changed.notify_all();
    return isFree;
}

void backend::serveRequest(const http_message &request, connection &caller)
{
    const std::string requestId = request.field("request-id");
    const std::string echo = "Request-Id: " + requestId + "\r\n";
    const std::string key = request.field("shard-key");
    const run current{requestId, key.empty() ? -1 : std::atoi(key.c_str())};
    std::unique_lock<std::mutex> lock(m_mutex);
    const std::string id = m_id;
    const std::string what = requestId + ' ' + request.word(1);
    if (m_options.isSharded && !holdsKey(current.key)) {
        lock.unlock();
        answer(caller, misdirected, echo + "Not-Executed: 1\r\n");
        return;
    }
    if (!waitForSlot(request, lock)) {
        lock.unlock();
        answer(caller, unavailable, echo + "Not-Executed: 1\r\n");
        return;
    }
    if (!m_isUp || m_id != id) {
        return;
    }
    m_record.write("server " + id + " runs " + what);
    const auto entry = m_runs.insert(m_runs.end(), current);
    lock.unlock();
    if (m_hooks.arrived) {
        m_hooks.arrived(*this, request);
    }
    const bool crashes = m_hooks.crashes && m_hooks.crashes(*this, request);
    lock.lock();
    if (!m_isUp || m_id != id) {
        m_runs.erase(entry);
        return;
    }
    if (crashes) {
        m_runs.erase(entry);
        ++m_crashes;
        m_isUp = false;
        m_record.write("server " + id + " crashes");
        m_changed.notify_all();
        lock.unlock();
        caller.reset();
        return;
    }
    const bool hasEnded =
        m_changed.wait_for(lock, workOf(request), [this, &id] { return !m_isUp || m_id != id; });
    m_runs.erase(entry);
    m_changed.notify_all();
    if (hasEnded) {
        return; // It crashed meanwhile.
    }
    m_record.write("server " + id + " has run " + what);
    lock.unlock();
    answer(caller, good, echo + "Response-Stamp: " + id + '.' + requestId + "\r\n",
           bodyOf(request));
}

void backend::serveGrant(const json &command, connection &caller)
{
    hold granted;
    granted.first = command.at("from");
    granted.last = command.at("target");
    granted.fence = command.at("fence");
    granted.expiresAt = steady::now() + milliseconds(command.at("holdMs").get<int>());
    bool isOutdated = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto overlaps = [&granted](const hold &h) {
            return h.first <= granted.last && granted.first <= h.last;
        };
        isOutdated = std::any_of(m_seen.begin(), m_seen.end(), [&](const hold &h) {
            return overlaps(h) && h.fence > granted.fence;
        });
        if (!isOutdated) {
            m_seen.push_back(granted);
            const bool isRenewal =
                std::any_of(m_holds.begin(), m_holds.end(), [&granted](const hold &h) {
                    return h.first == granted.first && h.last == granted.last
                        && h.fence == granted.fence;
                });
            m_holds.remove_if(
                [&](const hold &h) { return h.first >= granted.first && h.last <= granted.last; });
            m_holds.push_back(granted);
            if (!isRenewal) {
                m_record.write("server " + m_id + " is granted "
                               + rangeText(granted.first, granted.last) + " fence "
                               + std::to_string(granted.fence));
            }
        }
    }
    answer(caller, isOutdated ? outdated : good, "");
}

/// Stops new work on the keys at once and answers when the running work on them has ended.
void backend::serveRelease(const json &command, connection &caller)
{
    hold given;
    given.first = command.at("from");
    given.last = command.at("target");
    given.fence = command.at("fence");
    std::unique_lock<std::mutex> lock(m_mutex);
    m_record.write("server " + m_id + " is told to release " + rangeText(given.first, given.last)
                   + " fence " + std::to_string(given.fence));
    std::list<hold> rest;
    for (const hold &h : m_holds) {
        if (h.fence > given.fence || h.last < given.first || given.last < h.first) {
            rest.push_back(h);
            continue;
        }
        if (h.first < given.first) {
            rest.push_back({h.first, given.first - 1, h.fence, h.expiresAt});
        }
        if (given.last < h.last) {
            rest.push_back({given.last + 1, h.last, h.fence, h.expiresAt});
        }
    }
    m_holds = std::move(rest);
    m_changed.wait(lock, [this, &given] {
        return m_isStopping || std::none_of(m_runs.begin(), m_runs.end(), [&given](const run &r) {
                   return given.contains(r.key);
               });
    });
    m_record.write("server " + m_id + " has released " + rangeText(given.first, given.last));
    lock.unlock();
    answer(caller, good, "Handover: 5c0e7a21d94b36f8\r\n");
}

} // namespace review
