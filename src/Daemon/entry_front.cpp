// Long because the whole way of one request, from its arrival to its answer, is read here in order.

#include "entry_front.h"

#include "../Hashing/key_hash.h"
#include "../Transport/http_text.h"
#include "entry_call.h"

#include <algorithm>

namespace damaskward {
namespace internal {

/// Retries and hedges are at most this share of the requests.
constexpr double retryShare = 0.1;
constexpr double retryBurst = 20.0;
/// How often a request may be sent when an earlier attempt may have run.
constexpr int maxRuns = 2;
/// A request that waits for its owner is tried again after this time even if nothing changed.
constexpr milliseconds ownerRetryTime{100};
/// An attempt at a gate that has lost its role is given up after this time.
constexpr milliseconds lostGatePatience{300};
/// Gates answer by the deadline themselves; this much later the entry does.
constexpr milliseconds deadlineGrace{100};

std::uint64_t fingerprintOf(const entry_call &call)
{
    std::uint64_t print = keyHash(call.service.str());
    print = combineHash(print, keyHash(call.key));
    print = combineHash(print, keyHash(call.team.str()));
    print = combineHash(print, keyHash(call.message.method()));
    const auto *bytes = reinterpret_cast<const char *>(call.body->data());
    return combineHash(print, keyHash(std::string_view(bytes, call.body->size())));
}

std::int64_t wallMinute()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<minutes>(now).count();
}

bool isOwnDoing(std::string_view reason)
{
    return reason == refusal::limit || reason == refusal::keyReused;
}

} // namespace internal

/// One sending of a request to a gate.
struct entry_front::attempt
{
    call_ptr call;
    target_id target;
    data_center_id dataCenter;
    std::uint64_t gateTerm = 0;
    time_point sentAt;
    pplx::cancellation_token_source cancel;
    std::atomic<bool> ended{false};
};

entry_front::entry_front(const entry_parts &parts)
    : m_parts(parts)
    , m_idPrefix(parts.settings.vm.str() + "-"
                 + std::to_string(mono_clock::now().time_since_epoch().count()) + "-")
    , m_retries(internal::retryShare, internal::retryBurst)
{ }

entry_front::~entry_front() = default;

void entry_front::handle(const web::http::http_request &message)
{
    auto call = std::make_shared<entry_call>();
    call->message = message;
    call->arrivedAt = mono_clock::now();
    ++m_taken;
    const int inside = ++m_inside;
    if (m_stopping) {
        refuse(call, 503, refusal::stopping);
        return;
    }
    if (inside > m_parts.settings.limits.maxWaiting) {
        refuse(call, 503, refusal::busy);
        return;
    }
    std::string_view reason;
    call->view = m_parts.views.get();
    int status = checkCaller(message, *call->view, *call, reason);
    if (status == 0) {
        status = checkMessage(message, *call, reason);
    }
    if (status != 0) {
        refuse(call, status, reason);
        return;
    }
    admit(call);
}

int entry_front::checkCaller(const web::http::http_request &message, const control_view &view,
                             entry_call &call, std::string_view &reason) const
{
    const std::optional<request_path> path = splitPath(message.relative_uri());
    if (!path) {
        reason = refusal::badPath;
        return 404;
    }
    const team_id *team = view.routes->teamOfKey(headerText(message.headers(), header::apiKey));
    if (team == nullptr) {
        reason = refusal::badKey;
        return 401;
    }
    call.team = *team;
    const routed_service *service = view.routes->service(path->service);
    if (service == nullptr) {
        reason = refusal::noService;
        return 404;
    }
    if (!view.routes->mayCall(*team, *service)) {
        reason = refusal::notAllowed;
        return 403;
    }
    call.service = service->id;
    call.key = path->key;
    call.keyed = service->rule.keyed;
    call.idempotent = service->rule.idempotent;
    return 0;
}

int entry_front::checkMessage(const web::http::http_request &message, entry_call &call,
                              std::string_view &reason) const
{
    const auto &headers = message.headers();
    const caller_limits &limits = m_parts.settings.limits;
    call.idempotencyKey = headerText(headers, header::idempotencyKey);
    if (!call.idempotent && call.idempotencyKey.empty()) {
        reason = refusal::noIdempotencyKey;
        return 400;
    }
    if (headers.has(web::http::header_names::transfer_encoding)) {
        reason = refusal::bodySize; // The length must be known before the body is read.
        return 411;
    }
    const auto length = headerNumber(headers, "Content-Length");
    if (length.value_or(0) > static_cast<std::uint64_t>(limits.maxBodyBytes)) {
        reason = refusal::bodySize;
        return 413;
    }
    milliseconds allowed = limits.defaultDeadline;
    if (headers.has(header::deadline)) {
        const auto millis = headerNumber(headers, header::deadline);
        if (!millis || *millis == 0) {
            reason = refusal::badHeader;
            return 400;
        }
        allowed = milliseconds(std::min<std::uint64_t>(
            *millis, static_cast<std::uint64_t>(limits.maxDeadline.count())));
    }
    call.deadline = call.arrivedAt + allowed;
    return 0;
}

void entry_front::admit(const call_ptr &call)
{
    m_parts.teams.admit(*call->view, call->team, call->deadline,
                        [this, call](std::string_view reason) {
                            if (reason.empty()) {
                                readBody(call);
                            } else {
                                refuse(call, reason == refusal::limit ? 429 : 503, reason);
                            }
                        });
}

void entry_front::readBody(const call_ptr &call)
{
    if (headerNumber(call->message.headers(), "Content-Length").value_or(0) == 0) {
        onBody(call, std::vector<unsigned char>());
        return;
    }
    call->message.extract_vector().then(
        [this, call](const pplx::task<std::vector<unsigned char>> &task) {
            std::vector<unsigned char> body;
            try {
                body = task.get();
            } catch (const std::exception &) {
                refuse(call, 400, refusal::bodySize);
                return;
            }
            onBody(call, std::move(body)); // Outside: after a failure in there it may have run.
        });
}

void entry_front::onBody(const call_ptr &call, std::vector<unsigned char> body)
{
    call->body = std::make_shared<const std::vector<unsigned char>>(std::move(body));
    call->fingerprint = internal::fingerprintOf(*call);
    m_retries.earn();
    route(call);
}

std::vector<target_id> entry_front::candidates(const routed_service &service) const
{
    std::vector<target_id> near;
    std::vector<target_id> far;
    for (const routed_target &target : service.targets) {
        if (target.usable) {
            const bool here = target.rule.dataCenter == m_parts.settings.dataCenter;
            (here ? near : far).push_back(target.id);
        }
    }
    return near.empty() ? far : near;
}

const routed_target *entry_front::chooseAny(const std::optional<last_attempt> &last,
                                            const routed_service &service)
{
    std::optional<target_id> chosen;
    {
        const std::lock_guard lock(m_choosersMutex);
        const auto tried = last ? std::optional(last->target) : std::nullopt;
        chosen = m_choosers[service.id].choose(candidates(service), tried, mono_clock::now());
    }
    const auto same = [&chosen](const routed_target &t) { return chosen && t.id == *chosen; };
    const auto it = std::find_if(service.targets.begin(), service.targets.end(), same);
    return it == service.targets.end() ? nullptr : &*it;
}

bool entry_front::isWorthSending(const std::optional<last_attempt> &last,
                                 const routed_target &target, std::uint64_t epoch)
{
    if (target.gate.empty()) {
        return false;
    }
    const bool changed = !last || last->target != target.id || last->gateTerm != target.gateTerm
        || last->epoch != epoch;
    return changed || mono_clock::now() >= last->sentAt + internal::ownerRetryTime;
}

void entry_front::route(const call_ptr &call)
{
    const std::shared_ptr<const control_view> view = m_parts.views.get();
    const routed_service *service = view->routes->service(call->service.str());
    if (service == nullptr || service->rule.keyed != call->keyed) {
        refuse(call, 404, refusal::noService);
        return;
    }
    if (m_parts.crashes.isQuarantined(call->fingerprint)) {
        refuse(call, 503, refusal::quarantined);
        return;
    }
    const std::optional<last_attempt> last = call->lastAttempt();
    const routed_target *target = nullptr;
    std::optional<std::uint32_t> shard;
    std::uint64_t epoch = 0;
    if (call->keyed) {
        const struct route where = view->routes->routeKey(*service, call->key);
        target = where.target;
        shard = where.shard;
        epoch = where.epoch;
    } else {
        target = chooseAny(last, *service);
    }
    if (target == nullptr || !isWorthSending(last, *target, epoch)) {
        wait(call);
        return;
    }
    sendTo(call, *target, shard, epoch);
}

void entry_front::sendTo(const call_ptr &call, const routed_target &target,
                         std::optional<std::uint32_t> shard, std::uint64_t epoch)
{
    auto request = std::make_shared<forward_request>();
    request->service = call->service;
    request->key = call->key;
    request->method = call->message.method();
    request->body = call->body;
    request->contentType = call->message.headers().content_type();
    request->team = call->team;
    request->requestId = m_idPrefix + std::to_string(++m_nextRequest);
    request->idempotencyKey = call->idempotencyKey;
    request->idempotent = call->idempotent;
    request->fingerprint = call->fingerprint;
    request->target = target.id;
    request->shard = shard;
    request->deadline = call->deadline;

    auto a = std::make_shared<attempt>();
    a->call = call;
    a->target = target.id;
    a->dataCenter = target.rule.dataCenter;
    a->gateTerm = target.gateTerm;
    a->sentAt = mono_clock::now();
    {
        const std::lock_guard lock(call->mutex);
        ++call->inFlight;
        ++call->sent;
        call->last = last_attempt{target.id, target.gateTerm, epoch, a->sentAt};
    }
    if (!call->keyed) {
        const std::lock_guard lock(m_choosersMutex);
        m_choosers[call->service].started(target.id);
    }
    const answer_callback done = [this, a](const forward_answer &answer) { onAnswer(a, answer); };
    if (target.gate == m_parts.settings.vm) {
        m_parts.gates.submit(request, done);
    } else {
        m_parts.links.forward(target.gateAddress, request, a->cancel.get_token(), done);
    }
    if (!a->ended) {
        const std::lock_guard lock(m_attemptsMutex);
        m_attempts.push_back(a);
    }
}

void entry_front::noteTarget(const attempt &a, const forward_answer &answer)
{
    if (!a.call->keyed) {
        const std::lock_guard lock(m_choosersMutex);
        target_chooser &chooser = m_choosers[a.call->service];
        if (answer.state == run_state::NotRun) {
            chooser.refused(a.target);
        } else {
            const time_point now = mono_clock::now();
            chooser.ended(a.target, now - a.sentAt, now);
        }
    }
    // The gate has told the VMs of its own data centre.
    const bool elsewhere = a.dataCenter != m_parts.settings.dataCenter;
    const bool targetLost = answer.state == run_state::Unknown && answer.reason == refusal::lost;
    if (elsewhere && targetLost) {
        m_parts.crashes.noteCrash(a.call->fingerprint, a.target);
    }
}

bool entry_front::waitsForOwner(const entry_call &call, const forward_answer &answer) const
{
    const bool refused = answer.reason == refusal::notGate || answer.reason == refusal::notOwner
        || answer.reason == refusal::unreachable || answer.reason == "not-granted";
    return answer.state == run_state::NotRun && refused && mono_clock::now() < call.deadline;
}

bool entry_front::maySendAgain(const entry_call &call, const forward_answer &answer)
{
    if (mono_clock::now() >= call.deadline) {
        return false;
    }
    if (answer.state == run_state::NotRun) {
        const bool elsewhere = answer.reason == refusal::overload || answer.reason == "shed";
        return elsewhere && !call.keyed && call.sent <= internal::maxRuns && m_retries.trySpend();
    }
    return answer.state == run_state::Unknown && call.idempotent && call.sent < internal::maxRuns
        && m_retries.trySpend();
}

void entry_front::onAnswer(const attempt_ptr &a, const forward_answer &answer)
{
    a->ended = true;
    noteTarget(*a, answer);
    const call_ptr &call = a->call;
    bool again = false;
    forward_answer best;
    {
        const std::lock_guard lock(call->mutex);
        --call->inFlight;
        if (call->answered) {
            return;
        }
        const bool final = answer.state == run_state::Run;
        if (!final && call->inFlight > 0) {
            call->lastAnswer = answer;
            return; // Another attempt may still bring the answer.
        }
        // An attempt that may have run outweighs one that surely did not.
        const bool worse = !final && call->lastAnswer
            && call->lastAnswer->state == run_state::Unknown && answer.state == run_state::NotRun;
        if (!worse) {
            call->lastAnswer = answer;
        }
        best = *call->lastAnswer;
        again = !final && (waitsForOwner(*call, answer) || maySendAgain(*call, answer));
    }
    if (!again) {
        this->answer(call, best);
        return;
    }
    m_parts.counts.count("sent_again");
    route(call);
}

void entry_front::wait(const call_ptr &call)
{
    const std::lock_guard lock(m_waitingMutex);
    m_waiting.push_back(call);
}

void entry_front::hedge(const call_ptr &call)
{
    {
        const std::lock_guard lock(call->mutex);
        if (call->answered || call->hedged || call->inFlight == 0) {
            return;
        }
        call->hedged = true;
    }
    const std::shared_ptr<const control_view> view = m_parts.views.get();
    const routed_service *service = view->routes->service(call->service.str());
    if (service == nullptr || candidates(*service).size() < 2 || !m_retries.trySpend()) {
        return;
    }
    const std::optional<last_attempt> last = call->lastAttempt();
    const routed_target *target = chooseAny(last, *service);
    if (target == nullptr || target->gate.empty() || target->id == last->target) {
        return;
    }
    m_parts.counts.count("hedges");
    sendTo(call, *target, std::nullopt, 0);
}

void entry_front::reviewAttempts(time_point now)
{
    std::vector<attempt_ptr> running;
    {
        const std::lock_guard lock(m_attemptsMutex);
        std::vector<std::weak_ptr<attempt>> kept;
        for (const std::weak_ptr<attempt> &weak : m_attempts) {
            attempt_ptr a = weak.lock();
            if (a != nullptr && !a->ended) {
                kept.push_back(weak);
                running.push_back(std::move(a));
            }
        }
        m_attempts = std::move(kept);
    }
    const std::shared_ptr<const control_view> view = m_parts.views.get();
    for (const attempt_ptr &a : running) {
        const routed_target *target = view->routes->target(a->target);
        const bool gateLost = target == nullptr || target->gateTerm != a->gateTerm;
        const bool overdue = now >= a->call->deadline + internal::deadlineGrace;
        const bool pointless =
            gateLost && a->call->idempotent && now >= a->sentAt + internal::lostGatePatience;
        if (overdue || pointless) {
            a->cancel.cancel();
            continue;
        }
        if (!a->call->keyed && a->call->idempotent) {
            duration delay{};
            {
                const std::lock_guard lock(m_choosersMutex);
                delay = m_choosers[a->call->service].hedgeDelay();
            }
            if (now >= a->sentAt + delay) {
                hedge(a->call);
            }
        }
    }
}

void entry_front::expire(time_point now)
{
    std::vector<call_ptr> waiting;
    {
        const std::lock_guard lock(m_waitingMutex);
        waiting.swap(m_waiting);
    }
    for (const call_ptr &call : waiting) {
        if (now < call->deadline) {
            route(call);
        } else {
            const forward_answer none = makeRefused(503, run_state::NotRun, refusal::noOwner);
            answer(call, call->lastAnswerOr(none));
        }
    }
    reviewAttempts(now);
}

void entry_front::countOutcome(const entry_call &call, const forward_answer &answer)
{
    request_outcome outcome;
    outcome.service = call.service;
    outcome.team = call.team;
    outcome.reason = answer.reason;
    outcome.state = answer.state;
    outcome.latency = mono_clock::now() - call.arrivedAt;
    const std::shared_ptr<const control_view> view =
        call.view != nullptr ? call.view : m_parts.views.get();
    const auto objective = view->objectives.find(call.service);
    const bool inTime = objective == view->objectives.end()
        || outcome.latency <= milliseconds(objective->second.latencyMillis);
    outcome.good = answer.state == run_state::Run && answer.status < 500 && inTime;
    outcome.counts = !call.service.empty() && !internal::isOwnDoing(answer.reason);
    m_parts.counts.add(outcome, internal::wallMinute());
}

void entry_front::answer(const call_ptr &call, const forward_answer &answer)
{
    {
        const std::lock_guard lock(call->mutex);
        if (call->answered) {
            return;
        }
        call->answered = true;
    }
    countOutcome(*call, answer);
    web::http::http_response response = writeForwardedAnswer(answer);
    if (answer.state == run_state::NotRun && (answer.status == 503 || answer.status == 429)) {
        response.headers().add(web::http::header_names::retry_after, 1);
    }
    if (answer.body == nullptr) {
        response.set_body("{\"reason\":\"" + answer.reason + "\"}", "application/json");
    }
    sendReply(call->message, response);
    --m_inside;
}

void entry_front::refuse(const call_ptr &call, int status, std::string_view reason)
{
    answer(call, makeRefused(status, run_state::NotRun, reason));
}

} // namespace damaskward
