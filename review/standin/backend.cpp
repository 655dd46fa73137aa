#include "backend.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace damaskward::review {
namespace {

using nlohmann::json;

constexpr int idleTimeoutMs = 60000;
constexpr milliseconds heartbeatInterval{870};
constexpr milliseconds workStep{5};
constexpr milliseconds beatStep{20};

long wallMillis()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

long workOf(const std::string &target)
{
    const std::size_t at = target.find("work-");
    return at == std::string::npos ? 0 : std::atol(target.c_str() + at + 5);
}

std::string echoedId(const http_message &request)
{
    const std::string id = request.field("request-id");
    return id.empty() ? std::string() : "Request-Id: " + id + "\r\n";
}

} // namespace

backend::backend(store &rows, run_record &record, backend_options options)
    : m_rows(rows)
    , m_record(record)
    , m_options(std::move(options))
    , m_keys(m_options.sharded ? keyCount : 0)
    , m_born(wallMillis())
    , m_server(std::make_unique<http_server>(m_options.ip,
                                             [this](http_stream &stream) { serve(stream); }))
{
    m_beating = std::thread([this] { beat(); });
}

std::string backend::id() const
{
    const std::lock_guard lock(m_mutex);
    return m_options.id;
}

backend::~backend()
{
    m_isStopping = true;
    m_changed.notify_all();
    m_server->closeAll();
    m_beating.join();
    m_server.reset();
}

void backend::setInterceptor(interceptor action)
{
    const std::lock_guard lock(m_mutex);
    m_interceptor = std::move(action);
}

void backend::beat()
{
    while (!m_isStopping) {
        writeEntry();
        const time_point nextEntryAt = clock_type::now() + heartbeatInterval;
        while (!m_isStopping && clock_type::now() < nextEntryAt) {
            std::this_thread::sleep_for(beatStep);
        }
    }
}

void backend::writeEntry()
{
    const std::lock_guard lock(m_mutex);
    if (!m_hasEntry) {
        return;
    }
    const json entry = {{"address", m_server->address()},
                        {"born", m_born},
                        {"info",
                         {{"service", m_options.service},
                          {"version", "v1"},
                          {"zone", m_options.zone},
                          {"slots", m_options.slots}}},
                        {"status",
                         {{"state", m_isDraining ? "draining" : "ready"},
                          {"sequence", ++m_sequence},
                          {"warmupLeftMs", 0}}}};
    m_rows.put("servers", m_options.id, entry.dump());
}

void backend::leave(bool announce)
{
    {
        const std::lock_guard lock(m_mutex);
        m_isDraining = announce;
        m_hasEntry = announce;
        if (!announce) {
            m_rows.erase("servers", m_options.id);
        }
    }
    m_record.line("backend " + id() + (announce ? " reports draining" : " removes its entry"));
    if (announce) {
        writeEntry();
    }
}

backend::key_use backend::use(key_span keys) const
{
    const std::lock_guard lock(m_mutex);
    const time_point now = clock_type::now();
    key_use result;
    for (int key = keys.first; key <= keys.last; ++key) {
        const key_state &state = m_keys[static_cast<std::size_t>(key)];
        result.heldCount += now < state.heldUntil ? 1 : 0;
        result.runningCount += state.running;
        if (state.running > 0 && now < state.grantedUntil) {
            result.grantLeft =
                std::max(result.grantLeft,
                         std::chrono::duration_cast<milliseconds>(state.grantedUntil - now));
        }
    }
    return result;
}

bool backend::holds(int key) const
{
    return use({key, key}).heldCount == 1;
}

void backend::serve(http_stream &stream)
{
    http_message request;
    while (stream.read(request, idleTimeoutMs)) {
        interceptor intercept;
        {
            const std::lock_guard lock(m_mutex);
            intercept = m_interceptor;
        }
        if (!(intercept && intercept(stream, request)) && !handle(stream, request)) {
            return;
        }
    }
}

bool backend::handle(http_stream &stream, const http_message &request)
{
    if (request.target == "/health") {
        return stream.write(answerText(200, "Instance-Id: " + id() + "\r\n", {}));
    }
    const std::string expected = request.field("expect-instance");
    if (!expected.empty() && expected != id()) {
        return stream.write(answerText(
            421, echoedId(request) + "Not-Executed: 1\r\nInstance-Id: " + id() + "\r\n", {}));
    }
    if (request.target == "/grant") {
        return stream.write(grant(request));
    }
    if (request.target == "/release") {
        return stream.write(release(request));
    }
    const std::string answer = run(stream, request);
    return !answer.empty() && stream.write(answer);
}

std::string backend::grant(const http_message &request)
{
    const json body = json::parse(request.body);
    const key_span keys{body["from"], body["target"]};
    const long fence = body["fence"];
    const time_point until = clock_type::now() + milliseconds(body["holdMs"].get<long>());
    bool isNew = false;
    {
        const std::lock_guard lock(m_mutex);
        for (int key = keys.first; key <= keys.last; ++key) {
            if (m_keys[static_cast<std::size_t>(key)].fence > fence) {
                return answerText(409, {}, {});
            }
        }
        for (int key = keys.first; key <= keys.last; ++key) {
            key_state &state = m_keys[static_cast<std::size_t>(key)];
            isNew = isNew || state.fence != fence;
            state.fence = fence;
            state.heldUntil = std::max(state.heldUntil, until);
            state.grantedUntil = state.heldUntil;
        }
    }
    if (isNew) {
        m_record.line("backend " + id() + " takes keys " + std::to_string(keys.first) + " to "
                      + std::to_string(keys.last) + ", generation " + std::to_string(fence)
                      + ", for " + std::to_string(body["holdMs"].get<long>()) + " ms");
    }
    if (onGranted) {
        onGranted(*this, keys, fence);
    }
    return answerText(200, {}, {});
}

std::string backend::release(const http_message &request)
{
    const json body = json::parse(request.body);
    const key_span keys{body["from"], body["target"]};
    m_record.line("backend " + id() + " is asked to release keys " + std::to_string(keys.first)
                  + " to " + std::to_string(keys.last));
    std::unique_lock lock(m_mutex);
    const time_point now = clock_type::now();
    for (int key = keys.first; key <= keys.last; ++key) {
        time_point &until = m_keys[static_cast<std::size_t>(key)].heldUntil;
        until = std::min(until, now);
    }
    m_changed.wait(lock, [this, keys] {
        return m_isStopping
            || std::all_of(m_keys.begin() + keys.first, m_keys.begin() + keys.last + 1,
                           [](const key_state &state) { return state.running == 0; });
    });
    lock.unlock();
    m_record.line("backend " + id() + " answers the release");
    return answerText(200, "Handover: 5c0e7a21d94b36f8\r\n", {});
}

std::string backend::run(const http_stream &stream, const http_message &request)
{
    const std::string requestId = request.field("request-id");
    std::string common = echoedId(request);
    {
        const std::lock_guard lock(m_mutex);
        common += m_isDraining || !m_hasEntry ? "Server-Leaving: 1\r\n" : "";
    }
    const std::string notRun = common + "Not-Executed: 1\r\n";
    std::size_t key = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_running >= m_options.slots) {
            return answerText(503, notRun, {});
        }
        if (m_options.sharded) {
            key = std::strtoul(request.field("shard-key").c_str(), nullptr, 10);
            if (clock_type::now() >= m_keys.at(key).heldUntil) {
                return answerText(421, notRun, {});
            }
            ++m_keys[key].running;
        }
        ++m_running;
    }
    const int number = ++m_runCount;
    const std::string what = m_options.sharded ? ", key " + std::to_string(key) : std::string();
    m_record.line("backend " + id() + " runs request " + requestId + " " + request.target + what);
    const long budget = std::atol(request.field("deadline-ms").c_str());
    const time_point start = clock_type::now();
    const time_point end = start + milliseconds(workOf(request.target));
    const time_point deadline = start + milliseconds(budget > 0 ? budget : idleTimeoutMs);
    int status = 200;
    while (clock_type::now() < end) {
        std::this_thread::sleep_for(workStep);
        if (stream.isClosedByPeer() || m_isStopping) {
            status = 0;
            break;
        }
        if (clock_type::now() >= deadline) {
            status = 504;
            break;
        }
    }
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        if (m_options.sharded) {
            --m_keys[key].running;
        }
    }
    m_changed.notify_all();
    m_record.line("backend " + id() + " ends request " + requestId + ", "
                  + (status == 0 ? "its connection is closed" : std::to_string(status)));
    if (status == 0) {
        return {};
    }
    return answerText(status,
                      common + "Response-Stamp: " + id() + "." + std::to_string(number)
                          + "\r\nKeep-Alive: timeout=30\r\n",
                      "answer of " + id());
}

} // namespace damaskward::review
