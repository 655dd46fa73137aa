#include "request_router.h"

#include <boost/beast/http/verb.hpp>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace damaskward {
namespace http = boost::beast::http;
namespace {

/// Time that a target needs at least: with less left, a request is not sent any more.
constexpr milliseconds leastWork{40};
/// The way back to the caller: an answer is owed this much before the caller's time is up.
constexpr milliseconds returnTrip{10};
/// How long a request waits for a bank's answer before it is refused: the life of a draw, after
/// which another is made.
constexpr milliseconds mostTokenWait{350};
/// A team over its limit is asked to come back after this time: two or three tokens of a small
/// team's rate.
constexpr milliseconds overLimitRetryAfter{500};
/// The pause before a request is sent again to the same owner of its key.
constexpr milliseconds ownerPause{60};
/// The pause before a request is sent again to an owner that turned it away with room to spare.
constexpr milliseconds shedPause{5};
/// How long a request waits for news of an owner that has gone.
constexpr milliseconds mostOwnerWait{700};
/// A leaving owner is still sent requests for its keys until they have changed hands, but not
/// longer than this: half of the platform's usual bound.
constexpr milliseconds leavingGrace{1000};
/// When nothing better is known, callers are asked to come back after this time.
constexpr milliseconds usualRetryAfter{150};

constexpr unsigned firstServerError = 500;

bool isDigits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isdigit(c) != 0;
    });
}

boost::beast::string_view beastView(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

namespace internal {

/// One request from its arrival to its answer.
class request_flow : public std::enable_shared_from_this<request_flow>
{
public:
    request_flow(request_router &router, std::shared_ptr<http_exchange> exchange)
        : m_router(router)
        , m_exchange(std::move(exchange))
        , m_config(router.m_config)
    { }

    void begin()
    {
        m_exchange->whenGone([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->callerGone();
            }
        });
        if (!m_config) {
            refuse(503, "no configuration", usualRetryAfter);
            return;
        }
        if (!findRoute() || !findTeam()) {
            return;
        }
        readDeadline();
        m_service = m_router.m_picker.pick(*m_route);
        m_router.budgetOf(m_service).earn();
        const service_settings *settings = m_config->service(m_service);
        if (settings && settings->keyed && !readKey()) {
            return;
        }
        if (mayRepeat(m_route->kind)) {
            proceed();
            return;
        }
        // Requests behind one that closes the connection are sent again by their callers.
        m_exchange->whenFirst([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->proceed();
            }
        });
    }

    /// Tries to go on; also called when something that it waits for may have changed.
    void proceed()
    {
        if (m_done || m_sending) {
            return;
        }
        const time_point now = mono_clock::now();
        if (now + leastWork >= m_deadline) {
            giveUp("no time left");
            return;
        }
        if (!admitted(now) || !payToken(now)) {
            return;
        }
        if (m_key) {
            sendToOwner(now);
        } else {
            sendToAny(now);
        }
    }

    bool done() const { return m_done; }

private:
    const http_request &request() const { return m_exchange->request(); }
    std::string_view field(const std::string &name) const { return fieldOf(request(), name); }

    bool findRoute()
    {
        const auto host = fieldOf(request(), "Host");
        const std::string_view target(request().target().data(), request().target().size());
        const std::string_view path = target.substr(0, target.find('?'));
        m_route = m_config->findRoute(host, path);
        if (!m_route) {
            const std::size_t colon = host.rfind(':');
            if (colon != std::string_view::npos && isDigits(host.substr(colon + 1))) {
                m_route = m_config->findRoute(host.substr(0, colon), path);
            }
        }
        if (!m_route) {
            deny(404, "no route");
        }
        return m_route != nullptr;
    }

    bool findTeam()
    {
        const std::string key(field(m_router.m_names.apiKey));
        const auto it = m_config->teamOfKey.find(key);
        if (it != m_config->teamOfKey.end()) {
            m_team = it->second;
        } else if (m_config->hasTeams && !m_route->open) {
            deny(401, "unknown key");
            return false;
        }
        const team_settings *team = m_config->team(m_team);
        if (team && team->rate > 0.0) {
            m_limit = "team/" + m_team.str();
        }
        return true;
    }

    /// Denies what this configuration does not allow; a VM that may have missed a newer one only
    /// refuses.
    void deny(unsigned status, const char *reason)
    {
        if (m_router.m_stale) {
            refuse(503, reason, usualRetryAfter);
        } else {
            finish(plainAnswer(status), reason);
        }
    }

    void readDeadline()
    {
        milliseconds wait = m_route->timeout;
        const auto left = field(m_router.m_names.timeLeft);
        if (isDigits(left)) {
            m_callerDeadline = m_exchange->arrivedAt()
                + milliseconds(std::strtoll(std::string(left).c_str(), nullptr, 10));
            wait = std::min(wait,
                            std::chrono::duration_cast<milliseconds>(m_callerDeadline
                                                                     - m_exchange->arrivedAt()));
        }
        m_deadline = m_exchange->arrivedAt() + wait - returnTrip;
        m_deadlineId = m_router.m_deadlines.add(m_deadline, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->m_deadlineId = 0;
                self->giveUp("deadline");
            }
        });
    }

    bool readKey()
    {
        const auto text = field(m_router.m_names.shardKey);
        const long value =
            isDigits(text) ? std::strtol(std::string(text).c_str(), nullptr, 10) : -1;
        if (value < 0 || value >= keyCount) {
            finish(plainAnswer(400), "no shard key");
            return false;
        }
        m_key = static_cast<shard_key>(value);
        m_router.m_demand.keys[m_service].push_back(*m_key);
        return true;
    }

    /// \returns false when the key's owner cannot take the request in time and it was refused.
    bool admitted(time_point now)
    {
        if (!m_key || m_admitted) {
            return true;
        }
        const auto map = m_router.m_owners.find(m_service);
        const range_owner *owner =
            map == m_router.m_owners.end() ? nullptr : map->second.find(*m_key);
        m_admitted = !owner || m_router.admits(owner->target, now);
        if (!m_admitted) {
            // Soon enough that the next try can still be answered within the objective.
            refuse(503, "owner is overloaded", std::max(usualRetryAfter, m_route->objective / 4));
        }
        return m_admitted;
    }

    /// Pays for the team's limit once. \returns false when the request waits or was refused.
    bool payToken(time_point now)
    {
        if (m_limit.empty() || m_paid) {
            return true;
        }
        if (m_router.m_tokens.trySpend(m_limit, now)) {
            m_paid = true;
            return true;
        }
        if (m_tokenDenied) {
            refuse(429, "team over its limit", overLimitRetryAfter);
        } else if (now >= m_exchange->arrivedAt() + mostTokenWait) {
            refuse(503, "bank is silent", usualRetryAfter);
        } else {
            waitForToken(m_limit, m_exchange->arrivedAt() + mostTokenWait, now);
        }
        return false;
    }

    /// Waits for the bank of \a limit, once at a time, at most until \a until.
    void waitForToken(const std::string &limit, time_point until, time_point now)
    {
        if (now < m_tokenWaitEnd) {
            return;
        }
        m_tokenWaitEnd = until;
        m_router.m_tokens.waitFor(limit, [weak = weak_from_this()](token_reply reply) {
            if (const auto self = weak.lock()) {
                self->m_tokenWaitEnd = time_point{};
                self->m_tokenDenied = reply == token_reply::Denied;
                self->proceed();
            }
        });
        m_router.m_drawNow();
        proceedAt(until);
    }

    void proceedAt(time_point until)
    {
        m_router.m_deadlines.remove(m_parkId);
        m_parkId = m_router.m_deadlines.add(std::min(until, m_deadline), [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->m_parkId = 0;
                self->proceed();
            }
        });
    }

    /// Waits for news, at most until \a until.
    void park(time_point until)
    {
        proceedAt(until);
        m_router.addParked(weak_from_this());
    }

    void sendToOwner(time_point now)
    {
        const auto map = m_router.m_owners.find(m_service);
        const range_owner *owner =
            map == m_router.m_owners.end() ? nullptr : map->second.find(*m_key);
        target_state *target = owner ? m_router.m_targets.find(owner->target) : nullptr;
        if (target && m_router.m_targets.away(*target, now)) {
            refuseUnlessRun(503, "owner's data centre is unreachable", usualRetryAfter);
            return;
        }
        if (!target || !ownerUsable(*target, now)) {
            waitForOwner(owner && owner->target.empty() ? owner->wait : ownerPause, now);
            return;
        }
        m_ownerWaitEnd = time_point{};
        if (target_book::cold(*target, now) && !payWarmup(*target, now)) {
            return;
        }
        send(*target, now);
    }

    bool ownerUsable(const target_state &t, time_point now) const
    {
        if (m_router.m_targets.usable(t, now)) {
            return true;
        }
        return now >= t.refusingUntil && t.leavingSince != time_point{}
        && now < t.leavingSince + leavingGrace;
    }

    void waitForOwner(milliseconds expected, time_point now)
    {
        if (m_ownerWaitEnd == time_point{}) {
            m_ownerWaitEnd = now + mostOwnerWait;
        }
        if (now + expected + leastWork >= m_deadline || now + expected > m_ownerWaitEnd) {
            refuseUnlessRun(503, "key without an owner", std::max(expected, usualRetryAfter));
            return;
        }
        park(now + std::max(expected, ownerPause));
    }

    void sendToAny(time_point now)
    {
        const bool near = m_route->kind == request_kind::Download;
        target_state *target = m_router.m_targets.choose(m_service, m_tried, near, false, now);
        if (!target) {
            target = m_router.m_targets.choose(m_service, m_tried, near, true, now);
            if (target && !payWarmup(*target, now)) {
                return;
            }
        }
        if (!target) {
            if (!m_tried.empty()) {
                m_tried.clear();
                fail("no other target");
                return;
            }
            refuseUnlessRun(503, "no target", milliseconds(300));
            return;
        }
        send(*target, now);
    }

    /// Pays for a request to a cold target. \returns false when the request waits or was refused.
    bool payWarmup(const target_state &target, time_point now)
    {
        const std::string limit = "cold/" + target.record.name;
        m_tokenDenied = false; // The next token may well come within the wait.
        if (m_router.m_tokens.trySpend(limit, now)) {
            return true;
        }
        if (m_warmupWaitEnd == time_point{}) {
            m_warmupWaitEnd = now + mostTokenWait;
        }
        if (now >= m_warmupWaitEnd) {
            refuseUnlessRun(503, "target is cold", milliseconds(300));
            return false;
        }
        waitForToken(limit, m_warmupWaitEnd, now);
        return false;
    }

    void send(target_state &target, time_point now)
    {
        m_router.m_deadlines.remove(m_parkId);
        m_sending = true;
        m_target = target.record.name;
        m_sentAt = now;
        if (m_firstSentAt == time_point{}) {
            m_firstSentAt = now;
        }
        m_sentToIdle = target_book::expectedLoad(target, now) < target.record.slots;
        target_book::started(target);
        m_router.m_targets.probing(target, now);
        outgoing_call call;
        call.peer = m_target;
        call.address = target.record.address;
        call.head = headFor(target, now);
        call.body = request().body();
        call.headOnly = request().method() == http::verb::head;
        call.answerId = std::string(field(m_router.m_names.requestId));
        call.deadline = m_deadline;
        call.freshOnly = !mayRepeat(m_route->kind);
        m_call = m_router.m_pool.send(std::move(call),
                                      [self = shared_from_this()](call_result &&result) {
                                          self->answered(std::move(result));
                                      });
    }

    std::string headFor(const target_state &target, time_point now)
    {
        const header_names &names = m_router.m_names;
        http_request out;
        out.method_string(request().method_string());
        out.target(request().target());
        for (const auto &f : request()) {
            out.insert(f.name_string(), f.value());
        }
        removeConnectionFields(out);
        for (const std::string *name :
             {&names.apiKey, &names.team, &names.expectedTarget, &names.timeLeft}) {
            out.erase(beastView(*name));
        }
        const auto left = std::chrono::duration_cast<milliseconds>(m_deadline - now).count();
        out.set(beastView(names.timeLeft), std::to_string(left));
        out.set(beastView(names.expectedTarget), target.record.name);
        if (!m_team.empty()) {
            out.set(beastView(names.team), m_team.str());
        }
        if (!request().body().empty() || request().method() == http::verb::post
            || request().method() == http::verb::put) {
            out.set(http::field::content_length, std::to_string(request().body().size()));
        }
        return headText(out);
    }

    void answered(call_result &&result)
    {
        m_sending = false;
        if (m_done) {
            return;
        }
        const time_point now = mono_clock::now();
        target_state *target = m_router.m_targets.find(m_target);
        if (result.failure != call_failure::None) {
            sendFailed(result.failure, target, now);
            return;
        }
        if (target) {
            m_router.m_targets.reached(*target);
            readReports(*target, result.answer, now);
        }
        const unsigned status = result.answer.result_int();
        if (result.answer.count(beastView(m_router.m_names.notRun)) != 0
            || status == static_cast<unsigned>(http::status::misdirected_request)) {
            turnedAway(status, target, now);
            return;
        }
        ++m_runs;
        const bool good = status / 100 == 2;
        if (good && m_key) {
            noteWork(target, now);
        }
        const bool genuine = result.answer.count(beastView(m_router.m_names.proof)) != 0
            && result.answer.count(http::field::content_encoding) == 0;
        if (target) {
            const bool healthy = genuine && status < firstServerError;
            m_router.m_targets.ended(
                *target, healthy ? std::optional<duration>(now - m_sentAt) : std::nullopt, now);
        }
        if (good && !genuine) {
            m_mayHaveRun = true;
            tryAgain("answer is not the target's", now);
            return;
        }
        if (status >= firstServerError && mayRepeat(m_route->kind) && mayTryAgain(now)) {
            m_fallback = std::move(result.answer);
            sendAgain(now);
            return;
        }
        deliver(std::move(result.answer), "answered");
    }

    /// Notes how long the target worked, if the request surely did not queue.
    void noteWork(const target_state *target, time_point now)
    {
        if (target && m_sentToIdle && target->load.waiting == 0) {
            work_sample &sample = m_router.m_demand.work[m_target];
            ++sample.count;
            sample.millis += toMillis(now - m_sentAt);
        }
    }

    void readReports(target_state &target, const http_answer &answer, time_point now)
    {
        const header_names &names = m_router.m_names;
        if (const auto load = names.decodeLoad(fieldOf(answer, names.load))) {
            target_book::reported(target, *load, now);
            if (m_key && load->waiting > 0) {
                m_router.m_demand.waiting[m_target] = load->waiting;
            }
        }
        const auto warmup = fieldOf(answer, names.warmupLeft);
        if (isDigits(warmup)) {
            target_book::warming(
                target, milliseconds(std::strtoll(std::string(warmup).c_str(), nullptr, 10)), now);
        }
    }

    static bool queueIsFull(const target_state &target)
    {
        return target.load.waiting >= target.record.slots;
    }

    /// \returns about how long the target takes to work off half of its queue.
    static milliseconds drainTime(const target_state &target)
    {
        const double work = target.workMillis > 0.0 ? target.workMillis : 1.0;
        const double queue = static_cast<double>(target.load.waiting) / target.record.slots;
        constexpr double mostMillis = 250.0; // The next try can then still be answered in time.
        return std::max(
            usualRetryAfter,
            milliseconds(static_cast<std::int64_t>(std::min(mostMillis, queue * work / 2.0))));
    }

    /// The target said that it has not run the request.
    void turnedAway(unsigned status, target_state *target, time_point now)
    {
        const bool misdirected = status == static_cast<unsigned>(http::status::misdirected_request);
        if (target) {
            target->inFlight = std::max(0, target->inFlight - 1);
        }
        logTry(misdirected ? "misdirected" : "shed", now);
        if (m_key) {
            if (!misdirected && target && queueIsFull(*target)) {
                // Nothing but its owner can run it, and the queue takes a while to drain.
                refuseUnlessRun(503, "owner is full", drainTime(*target));
                return;
            }
            // Turned away with room to spare: the next try may well be taken.
            const milliseconds pause = misdirected ? ownerPause * (1 + m_turnedAway) : shedPause;
            constexpr int mostOwnerTries = 3;
            if (++m_turnedAway > mostOwnerTries || now + pause + leastWork >= m_deadline
                || !m_router.budgetOf(m_service).trySpend()) {
                refuseUnlessRun(503, misdirected ? "owner does not hold the key" : "owner is full",
                                usualRetryAfter);
                return;
            }
            park(now + pause);
            return;
        }
        m_tried.insert(m_target);
        constexpr int mostTurns = 2;
        if (++m_turnedAway > mostTurns || !m_router.budgetOf(m_service).trySpend()) {
            refuseUnlessRun(503, "targets are full", usualRetryAfter);
            return;
        }
        proceed();
    }

    void sendFailed(call_failure failure, target_state *target, time_point now)
    {
        if (neverSent(failure)) {
            logTry(failure == call_failure::Refused ? "refused" : "unreachable", now);
            if (target) {
                m_router.m_targets.ended(*target, std::nullopt, now);
                m_router.m_targets.refused(*target, now);
                if (failure == call_failure::Unreachable) {
                    m_router.m_targets.unreachable(*target, now);
                }
                m_router.m_pool.forget(m_target);
            }
            m_tried.insert(m_target);
            proceed();
            return;
        }
        if (target) {
            m_router.m_targets.ended(*target, std::nullopt, now);
        }
        m_mayHaveRun = true;
        ++m_runs;
        logTry("lost", now);
        tryAgain("no answer", now);
    }

    bool mayTryAgain(time_point now)
    {
        return mayRepeat(m_route->kind) && m_runs < m_route->maxAttempts
            && now + leastWork < m_deadline && m_router.budgetOf(m_service).trySpend();
    }

    void tryAgain(const char *reason, time_point now)
    {
        if (mayTryAgain(now)) {
            sendAgain(now);
        } else {
            fail(reason);
        }
    }

    void sendAgain(time_point now)
    {
        m_tried.insert(m_target);
        if (m_key) {
            park(now + ownerPause / 2); // Its owner alone can run it.
        } else {
            proceed();
        }
    }

    void callerGone()
    {
        m_call.cancel();
        releaseTarget();
        if (!m_done) {
            logOutcome(0, "caller left");
            close();
        }
    }

    void releaseTarget()
    {
        if (m_sending) {
            m_sending = false;
            if (target_state *target = m_router.m_targets.find(m_target)) {
                target->inFlight = std::max(0, target->inFlight - 1);
            }
        }
    }

    void giveUp(const char *reason)
    {
        if (m_done) {
            return;
        }
        const bool sent = m_sending;
        m_call.cancel();
        releaseTarget();
        if (sent) {
            m_mayHaveRun = true;
        }
        if (m_fallback) {
            deliver(std::move(*m_fallback), reason);
        } else if (m_mayHaveRun) {
            finish(plainAnswer(504), reason);
        } else {
            refuse(503, reason, usualRetryAfter);
        }
    }

    /// No more tries: the last answer of a target, or an answer that promises nothing.
    void fail(const char *reason)
    {
        if (m_fallback) {
            deliver(std::move(*m_fallback), reason);
        } else if (m_mayHaveRun) {
            finish(plainAnswer(502), reason);
        } else {
            refuse(503, reason, usualRetryAfter);
        }
    }

    void refuseUnlessRun(unsigned status, const char *reason, milliseconds after)
    {
        if (m_fallback || m_mayHaveRun) {
            fail(reason);
        } else {
            refuse(status, reason, after);
        }
    }

    /// Refuses a request that no target has run, and says when to come back.
    void refuse(unsigned status, const char *reason, milliseconds after)
    {
        http_answer answer = plainAnswer(status);
        // Spread over half the span, so that those refused together do not return together.
        const double jitter = static_cast<double>(std::rand()) / RAND_MAX / 2.0;
        const double seconds = static_cast<double>(after.count()) / 1000.0 * (1.0 + jitter);
        answer.set(beastView(m_router.m_names.retryAfter), fmt::format("{:.3f}", seconds));
        finish(std::move(answer), reason);
    }

    void deliver(http_answer &&answer, const char *reason)
    {
        removeConnectionFields(answer);
        finish(std::move(answer), reason);
    }

    void finish(http_answer &&answer, const char *reason)
    {
        const std::string id(field(m_router.m_names.requestId));
        if (!id.empty()) {
            answer.set(beastView(m_router.m_names.requestId), id);
        }
        logOutcome(answer.result_int(), reason, answer.body().size());
        countOutcome(answer, reason);
        close();
        m_exchange->answer(std::move(answer));
    }

    void close()
    {
        m_done = true;
        m_router.m_deadlines.remove(m_deadlineId);
        m_router.m_deadlines.remove(m_parkId);
        m_router.m_flows.erase(shared_from_this());
    }

    void countOutcome(const http_answer &answer, const char *reason)
    {
        const bool ran = m_runs > 0 || m_fallback;
        const duration latency = mono_clock::now() - m_exchange->arrivedAt();
        const bool served = answer.result_int() / 100 == 2;
        request_outcome outcome;
        outcome.service = m_service;
        outcome.team = m_team;
        outcome.reason = served ? "" : reason;
        outcome.state = served || ran ? run_state::Run
            : m_mayHaveRun            ? run_state::Unknown
                                      : run_state::NotRun;
        outcome.latency = latency;
        outcome.good = served && m_route && latency <= m_route->objective;
        outcome.counts = answer.result_int() != 429 && answer.result_int() / 100 != 4;
        m_router.m_metrics.add(outcome, wallMinute());
    }

    static std::int64_t wallMinute()
    {
        return std::chrono::duration_cast<minutes>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    void logTry(const char *what, time_point now)
    {
        m_router.m_metrics.count(std::string("tries_") + what);
        m_router.m_log.write(log_line("try")
                                 .add("id", field(m_router.m_names.requestId))
                                 .add("target", m_target)
                                 .add("outcome", what)
                                 .add("ms", toMillis(now - m_sentAt)));
    }

    void logOutcome(unsigned status, const char *reason, std::size_t bytes = 0)
    {
        const time_point now = mono_clock::now();
        log_line line("request");
        line.add("id", field(m_router.m_names.requestId))
            .add("status", status)
            .add("reason", reason)
            .add("ms", toMillis(now - m_exchange->arrivedAt()))
            .add("bytes", bytes)
            .add("config", m_config ? m_config->version : 0);
        if (m_route) {
            line.add("route", m_route->name)
                .add("service", m_service.str())
                .add("kind", static_cast<int>(m_route->kind));
        }
        if (!m_team.empty()) {
            line.add("team", m_team.str());
        }
        if (!m_target.empty()) {
            const target_state *target = m_router.m_targets.find(m_target);
            line.add("target", m_target)
                .add("runs", m_runs)
                .add("waited", toMillis(m_firstSentAt - m_exchange->arrivedAt()))
                .add("dataCenter", target ? target->record.dataCenter.str() : "gone");
        }
        if (m_key) {
            line.add("key", *m_key);
        }
        m_router.m_log.write(line);
    }

    request_router &m_router;
    std::shared_ptr<http_exchange> m_exchange;
    std::shared_ptr<const deployment> m_config;
    const route *m_route = nullptr;
    service_id m_service;
    team_id m_team;
    std::string m_limit; ///< the team's limit, empty when it has none
    std::optional<shard_key> m_key;
    time_point m_callerDeadline{};
    time_point m_deadline{};
    time_point m_ownerWaitEnd{};
    time_point m_tokenWaitEnd{}; ///< while a bank is asked for a token
    time_point m_warmupWaitEnd{};
    time_point m_firstSentAt{};
    time_point m_sentAt{};
    deadline_queue::deadline_id m_deadlineId = 0;
    deadline_queue::deadline_id m_parkId = 0;
    std::string m_target; ///< the one it was last sent to
    std::set<std::string> m_tried;
    call_handle m_call;
    std::optional<http_answer> m_fallback; ///< a target's failure, if no other answer comes
    int m_runs = 0; ///< sends that were run or may have been
    int m_turnedAway = 0;
    bool m_admitted = false; ///< the owner of its key can take it
    bool m_paid = false;
    bool m_tokenDenied = false;
    bool m_sending = false;
    bool m_sentToIdle = false;
    bool m_mayHaveRun = false;
    bool m_done = false;
};

} // namespace internal

request_router::request_router(deadline_queue &deadlines, outgoing_pool &pool, target_book &targets,
                               token_desk &tokens, header_names names, request_log &log,
                               metrics &counts, std::function<void()> drawNow)
    : m_deadlines(deadlines)
    , m_pool(pool)
    , m_targets(targets)
    , m_tokens(tokens)
    , m_names(std::move(names))
    , m_log(log)
    , m_metrics(counts)
    , m_drawNow(std::move(drawNow))
{ }

request_router::~request_router() = default;

void request_router::serve(std::shared_ptr<http_exchange> exchange)
{
    auto flow = std::make_shared<internal::request_flow>(*this, std::move(exchange));
    m_flows.insert(flow);
    flow->begin();
}

void request_router::setDeployment(std::shared_ptr<const deployment> config)
{
    m_config = std::move(config);
    m_picker.reset();
}

void request_router::setOwners(const service_id &service, range_map owners)
{
    m_owners[service] = std::move(owners);
    wakeParked();
}

void request_router::setOwnerShares(const std::map<std::string, double> &shares, time_point until)
{
    for (auto it = m_gates.begin(); it != m_gates.end();) {
        it = shares.count(it->first) == 0 ? m_gates.erase(it) : std::next(it);
    }
    for (const auto &[owner, share] : shares) {
        // A new gate opens at a random point, so that not all VMs let the first requests through.
        const auto [it, added] = m_gates.try_emplace(owner);
        it->second.share = share;
        if (added) {
            it->second.credit = static_cast<double>(std::rand()) / RAND_MAX;
        }
    }
    m_gatesUntil = until;
}

bool request_router::admits(const std::string &owner, time_point now)
{
    const auto it = now < m_gatesUntil ? m_gates.find(owner) : m_gates.end();
    if (it == m_gates.end()) {
        return true;
    }
    it->second.credit += it->second.share;
    if (it->second.credit < 1.0) {
        return false;
    }
    it->second.credit -= 1.0;
    return true;
}

void request_router::addParked(std::weak_ptr<internal::request_flow> flow)
{
    constexpr std::size_t pruneAbove = 512;
    if (m_parked.size() > pruneAbove) {
        m_parked.erase(std::remove_if(m_parked.begin(), m_parked.end(),
                                      [](const auto &weak) {
                                          const auto held = weak.lock();
                                          return !held || held->done();
                                      }),
                       m_parked.end());
    }
    m_parked.push_back(std::move(flow));
}

void request_router::wakeParked()
{
    const auto parked = std::move(m_parked);
    m_parked.clear();
    for (const auto &weak : parked) {
        const auto flow = weak.lock();
        if (flow && !flow->done()) {
            flow->proceed();
        }
    }
}

void request_router::setRetryLimits(double share, double slack)
{
    if (share != m_retryShare || slack != m_retrySlack) {
        m_retryShare = share;
        m_retrySlack = slack;
        m_budgets.clear();
    }
}

retry_budget &request_router::budgetOf(const service_id &service)
{
    auto &budget = m_budgets[service];
    if (!budget) {
        budget = std::make_unique<retry_budget>(m_retryShare, m_retrySlack);
    }
    return *budget;
}

key_demand request_router::takeDemand()
{
    return std::exchange(m_demand, {});
}

} // namespace damaskward
