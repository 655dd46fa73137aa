// A stand-in for a target: fenced grants, warm-up, load shedding, deadlines, crashes, and a record
// of its runs and grants for the tests.

#include "damaskward/Ownership"
#include "damaskward/Transport"
#include "run_record.h"
#include "target_behaviour.h"
#include "target_state.h"
#include "tools/common/process.h"
#include "with_body.h"

#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>
#include <pplx/threadpool.h>

#include <deque>
#include <iostream>
#include <map>
#include <mutex>

DEFINE_string(address, "127.0.0.1:9000", "IP:PORT to listen on");
DEFINE_string(name, "service/t1", "SERVICE/NAME of the target, used in responses");
DEFINE_string(behaviour, "{}", "initial behaviour, as JSON");
DEFINE_int32(threads, 4, "threads that serve the network");
DEFINE_uint64(seed, 1, "seed of the service times");

namespace damaskward {
namespace standin {

using web::http::http_request;
using web::http::http_response;
using web::http::status_codes;

constexpr int crashedExitCode = 9;

std::int64_t wallMicros()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<microseconds>(now).count();
}

/// The fields of a request that decide whether and how it runs.
struct run_request
{
    std::string key;
    std::string id;
    std::string team;
    std::string idempotencyKey;
    std::uint64_t gateTerm = 0;
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> shard;
    time_point deadline;
};

/// The number of running requests from \a at on.
struct load_sample
{
    time_point at;
    int running = 0;
};

/// \class target
/// \brief Serves grants, load reports and requests of one target.
class target
{
public:
    explicit target(const target_behaviour &behaviour)
        : m_startedAt(mono_clock::now())
        , m_state(static_cast<std::uint64_t>(wallMicros()))
        , m_behaviour(behaviour)
        , m_random(FLAGS_seed)
    { }

    void handle(const http_request &request)
    {
        withBody(request, [this](const http_request &received, const std::string &body) {
            dispatch(received, body);
        });
    }

private:
    target_time targetNow() const
    {
        const duration up = mono_clock::now() - m_startedAt;
        return {std::chrono::duration_cast<microseconds>(up).count()};
    }

    void dispatch(const http_request &request, const std::string &body)
    {
        const std::string path = request.relative_uri().path();
        if (path == "/control/grant") {
            grant(request, body);
        } else if (path == "/control/load") {
            load(request);
        } else if (path == "/control/cancel") {
            cancel(request, body);
        } else if (path == "/admin/behave") {
            setBehaviour(request, body);
        } else if (path == "/admin/records") {
            records(request);
        } else {
            run(request);
        }
    }

    void grant(const http_request &request, const std::string &body)
    {
        const std::optional<Json::Value> value = readJsonObject(body);
        if (!value) {
            sendReply(request, http_response(status_codes::BadRequest));
            return;
        }
        const std::lock_guard lock(m_mutex);
        const std::map<std::uint32_t, held_shard> before = m_state.shards();
        const grant_answer answer = m_state.take(readGrantRequest(*value), targetNow());
        if (answer.accepted) {
            recordGrants(before);
        }
        sendReply(request, makeJson(status_codes::OK, writeJson(toJson(answer))));
    }

    void recordGrants(const std::map<std::uint32_t, held_shard> &before)
    {
        const std::int64_t now = wallMicros();
        const std::int64_t until = now + (m_state.deadline().micros - targetNow().micros);
        for (const auto &[number, held] : m_state.shards()) {
            m_record.recordGrant(number, held.epoch, now, until);
        }
        for (const auto &[number, held] : before) {
            if (m_state.shards().count(number) == 0) {
                m_record.recordRelease(number, now);
            }
        }
    }

    /// Changes the number of running requests and adds it to the history for delayed load reports.
    void changeRunning(int change)
    {
        m_running += change;
        if (m_behaviour.loadLagMillis > 0) {
            m_loadHistory.push_back({mono_clock::now(), m_running});
        }
    }

    /// \returns the number of requests that were running loadLagMillis ago.
    int reportedLoad()
    {
        if (m_behaviour.loadLagMillis == 0) {
            return m_running;
        }
        const time_point reportedAt = mono_clock::now() - milliseconds(m_behaviour.loadLagMillis);
        while (!m_loadHistory.empty() && m_loadHistory.front().at <= reportedAt) {
            m_delayedLoad = m_loadHistory.front().running;
            m_loadHistory.pop_front();
        }
        return m_delayedLoad;
    }

    void load(const http_request &request)
    {
        const std::lock_guard lock(m_mutex);
        Json::Value value;
        value["running"] = m_behaviour.alwaysReportsIdle ? 0 : reportedLoad();
        value["slots"] = m_behaviour.slots;
        sendReply(request, makeJson(status_codes::OK, writeJson(value)));
    }

    void setBehaviour(const http_request &request, const std::string &body)
    {
        const std::optional<Json::Value> value = readJsonObject(body);
        if (value) {
            const std::lock_guard lock(m_mutex);
            m_behaviour = readBehaviour(*value, m_behaviour);
        }
        sendReply(request, makeJson(status_codes::OK, "{}"));
    }

    void records(const http_request &request)
    {
        const std::lock_guard lock(m_mutex);
        const bool withRuns = request.relative_uri().query() == "runs";
        sendReply(request, makeJson(status_codes::OK, writeJson(m_record.toJson(withRuns))));
    }

    static run_request readRequest(const http_request &request)
    {
        const auto &headers = request.headers();
        run_request run;
        const std::optional<request_path> path = splitPath(request.relative_uri());
        run.key = path ? path->key : "";
        run.id = headerText(headers, header::requestId);
        run.team = headerText(headers, header::team);
        run.idempotencyKey = headerText(headers, header::idempotencyKey);
        run.gateTerm = headerNumber(headers, header::gateTerm).value_or(0);
        run.epoch = headerNumber(headers, header::epoch).value_or(0);
        run.shard = headerNumber(headers, header::shard);
        constexpr std::uint64_t defaultMillis = 10000;
        const auto millis = headerNumber(headers, header::deadline).value_or(defaultMillis);
        run.deadline = mono_clock::now() + milliseconds(millis);
        return run;
    }

    bool isWarmingUp() const
    {
        return mono_clock::now() < m_startedAt + milliseconds(m_behaviour.warmupMillis);
    }

    /// \returns the reason for refusing the request, empty when it may start. Crashes the process
    /// when the request exceeds the slots of a target that is warming up.
    std::string refusalReason(const run_request &run)
    {
        const bool granted = run.shard ? m_state.admits(static_cast<std::uint32_t>(*run.shard),
                                                        run.epoch, run.gateTerm, targetNow())
                                       : m_state.admitsUnkeyed(run.gateTerm, targetNow());
        if (!granted && !m_behaviour.ignoresGrants) {
            return "not-granted";
        }
        if (m_behaviour.shedsAll || (!isWarmingUp() && m_running >= m_behaviour.slots)) {
            return "shed";
        }
        if (isWarmingUp() && m_running >= m_behaviour.warmupSlots) {
            std::cerr << FLAGS_name
                      << ": more concurrent requests than cold_slots during warm-up, crashing"
                      << std::endl;
            std::_Exit(crashedExitCode);
        }
        return "";
    }

    void run(const http_request &request)
    {
        const run_request run = readRequest(request);
        std::string refusal;
        duration serviceTime{};
        {
            const std::lock_guard lock(m_mutex);
            recordHeaders(request);
            refusal = refusalReason(run);
            if (refusal.empty()) {
                start(run);
                serviceTime = drawServiceTime();
            } else {
                m_record.addRefused();
            }
        }
        if (!refusal.empty()) {
            http_response response =
                makeRefusal(status_codes::ServiceUnavailable, run_state::NotRun, refusal);
            response.headers().add(header::requestId, run.id);
            sendReply(request, response);
            return;
        }
        scheduleFinish(request, run, serviceTime);
    }

    void recordHeaders(const http_request &request)
    {
        if (m_behaviour.recordsNoRuns) {
            return;
        }
        for (const auto &[name, value] : request.headers()) {
            m_record.addHeader(name, value);
        }
    }

    void start(const run_request &run)
    {
        changeRunning(1);
        m_record.recordRunning(m_running);
        m_state.started(static_cast<std::uint32_t>(run.shard.value_or(0)), run.gateTerm);
        if (!m_behaviour.recordsNoRuns) {
            m_record.addRun({wallMicros(), run.key, run.team, run.idempotencyKey, run.epoch});
        }
        const bool crashes = !m_behaviour.crashKey.empty() && run.key == m_behaviour.crashKey;
        if (crashes) {
            std::cerr << FLAGS_name << ": request for key " << run.key << ", crashing" << std::endl;
            std::_Exit(crashedExitCode);
        }
    }

    duration drawServiceTime()
    {
        const auto mean = static_cast<double>(m_behaviour.serviceMicros);
        if (!m_behaviour.exponential || mean <= 0.0) {
            return microseconds(m_behaviour.serviceMicros);
        }
        const double serviceMicros = std::exponential_distribution<double>(1.0 / mean)(m_random);
        return microseconds(static_cast<std::int64_t>(serviceMicros));
    }

    /// Finishes the request after its service time, or earlier at its deadline or on cancellation.
    void scheduleFinish(const http_request &request, const run_request &run, duration serviceTime)
    {
        const duration timeLeft = run.deadline - mono_clock::now();
        const bool missesDeadline = timeLeft < serviceTime;
        if (serviceTime <= duration::zero()) {
            finish(request, run, false);
            return;
        }
        auto &service = crossplat::threadpool::shared_instance().service();
        auto timer = std::make_shared<boost::asio::steady_timer>(service);
        timer->expires_after(std::max(duration::zero(), std::min(timeLeft, serviceTime)));
        {
            const std::lock_guard lock(m_mutex);
            m_timers[run.id] = timer;
        }
        timer->async_wait(
            [this, timer, request, run, missesDeadline](const boost::system::error_code &error) {
                const bool cancelled = static_cast<bool>(error);
                finish(request, run, missesDeadline || cancelled);
            });
    }

    /// Cancels the request whose id is the `id` of the body, if it is still running.
    void cancel(const http_request &request, const std::string &body)
    {
        const std::optional<Json::Value> value = readJsonObject(body);
        std::shared_ptr<boost::asio::steady_timer> timer;
        {
            const std::lock_guard lock(m_mutex);
            const auto known = m_timers.find(value ? jsonText(*value, "id") : "");
            timer = known == m_timers.end() ? nullptr : known->second;
        }
        if (timer != nullptr) {
            timer->cancel();
        }
        sendReply(request,
                  makeJson(status_codes::OK, timer == nullptr ? "{}" : R"({"ended":true})"));
    }

    /// \param endedEarly whether the request ended before its service time had passed
    void finish(const http_request &request, const run_request &run, bool endedEarly)
    {
        http_response response(endedEarly ? status_codes::GatewayTimeout : status_codes::OK);
        {
            const std::lock_guard lock(m_mutex);
            changeRunning(-1);
            m_timers.erase(run.id);
            m_state.ended(static_cast<std::uint32_t>(run.shard.value_or(0)), run.gateTerm);
            if (m_behaviour.crashesAfterRun) {
                std::_Exit(crashedExitCode);
            }
            if (endedEarly) {
                response.headers().add(header::runState, std::string(toString(run_state::Unknown)));
                response.headers().add(header::reason, "deadline");
            }
            if (!m_behaviour.omitsRequestId) {
                response.headers().add(header::requestId,
                                       m_behaviour.sendsWrongRequestId ? "wrong" : run.id);
            }
            const std::string filler(static_cast<std::size_t>(m_behaviour.bodyBytes), 'x');
            response.set_body("{\"served_by\":\"" + FLAGS_name + "\",\"key\":\"" + run.key + "\"}"
                                  + filler,
                              "application/json");
        }
        sendReply(request, response);
    }

    const time_point m_startedAt;
    std::mutex m_mutex;
    target_state m_state;
    target_behaviour m_behaviour;
    run_record m_record;
    std::mt19937_64 m_random;
    int m_running = 0;
    std::map<std::string, std::shared_ptr<boost::asio::steady_timer>> m_timers; ///< by request id
    std::deque<load_sample> m_loadHistory;
    int m_delayedLoad = 0;
};

result<int> serve()
{
    const std::optional<Json::Value> value = readJsonObject(FLAGS_behaviour);
    if (!value) {
        return fail("read --behaviour", FLAGS_name, "the value is not a JSON object");
    }
    target self(readBehaviour(*value, target_behaviour{}));
    http_server server(FLAGS_address,
                       [&self](const http_request &request) { self.handle(request); });
    BOOST_LEAF_CHECK(server.open());
    std::cout << "target stand-in " << FLAGS_name << " listens on " << FLAGS_address << std::endl;
    waitForStopSignal();
    std::cout.flush();
    std::_Exit(ExitOk); // Skips destructors: pending timers still refer to the target.
}

} // namespace standin
} // namespace damaskward

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("a stand-in for a target that holds keys exclusively");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    damaskward::blockStopSignals();
    damaskward::setNetworkThreads(FLAGS_threads);
    return damaskward::runMain("damaskward-target-standin", damaskward::standin::serve);
}
