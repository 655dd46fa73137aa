// The functions stand in the order in which a request passes through them, from its arrival to its
// answer, which is why this file is long.

#include "entry_handler.h"

#include "../Hashing/key_hash.h"
#include "../Transport/http_text.h"
#include "entry_call.h"

#include <algorithm>

namespace damaskward {
namespace internal {

/// Upper limit of retries and hedges together, as a fraction of all requests.
constexpr double retryBudgetRatio = 0.1;
constexpr double retryBudgetBurst = 20.0;
/// An idempotent request is sent at most this often when earlier attempts may have been executed.
constexpr int maxExecutions = 2;
/// A waiting request is sent again after this time even if its target, gate term and epoch are the
/// same as for its latest attempt.
constexpr milliseconds sameRouteRetryDelay{100};
/// An attempt of an idempotent request is cancelled this long after it was sent if the VM with its
/// gate has been lost. A gate that has only moved completes what it has sent to its target.
constexpr milliseconds lostGateCancelDelay{300};
/// Gates enforce the deadline themselves. The entry cancels an attempt only this much later, so
/// that the gate's answer can still arrive.
constexpr milliseconds deadlineGrace{100};

std::uint64_t fingerprintOf(const entry_call &call)
{
    std::uint64_t hash = keyHash(call.service.str());
    hash = combineHash(hash, keyHash(call.key));
    hash = combineHash(hash, keyHash(call.team.str()));
    hash = combineHash(hash, keyHash(call.message.method()));
    const auto *bytes = reinterpret_cast<const char *>(call.body->data());
    return combineHash(hash, keyHash(std::string_view(bytes, call.body->size())));
}

std::int64_t wallClockMinute()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<minutes>(now).count();
}

bool isCallerFault(std::string_view reason)
{
    return reason == refusal::limit || reason == refusal::keyReused;
}

} // namespace internal

/// One attempt: a request sent to the gate of one target.
struct entry_handler::attempt
{
    call_ptr call;
    target_id target;
    data_center_id dataCenter;
    vm_id gate;
    std::uint64_t gateSession = 0;
    time_point sentAt;
    pplx::cancellation_token_source cancel;
    std::atomic<bool> isCompleted{false};
};

entry_handler::entry_handler(const entry_dependencies &dependencies)
    : m_dependencies(dependencies)
    , m_idPrefix(dependencies.settings.vm.str() + "-"
                 + std::to_string(mono_clock::now().time_since_epoch().count()) + "-")
    , m_retries(internal::retryBudgetRatio, internal::retryBudgetBurst)
{ }

entry_handler::~entry_handler() = default;

void entry_handler::handle(const web::http::http_request &message)
{
    auto call = std::make_shared<entry_call>();
    call->message = message;
    call->arrivedAt = mono_clock::now();
    ++m_receivedCount;
    const int inProgress = ++m_inProgressCount;
    if (m_stopping) {
        refuse(call, 503, refusal::stopping);
        return;
    }
    if (inProgress > m_dependencies.settings.limits.maxWaiting) {
        refuse(call, 503, refusal::busy);
        return;
    }
    std::string_view reason;
    call->view = m_dependencies.views.get();
    int status = authorizeCaller(message, *call->view, *call, reason);
    if (status == 0) {
        status = validateHeaders(message, *call, reason);
    }
    if (status != 0) {
        refuse(call, status, reason);
        return;
    }
    admit(call);
}

int entry_handler::authorizeCaller(const web::http::http_request &message, const control_view &view,
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

int entry_handler::validateHeaders(const web::http::http_request &message, entry_call &call,
                                   std::string_view &reason) const
{
    const auto &headers = message.headers();
    const caller_limits &limits = m_dependencies.settings.limits;
    call.idempotencyKey = headerText(headers, header::idempotencyKey);
    if (!call.idempotent && call.idempotencyKey.empty()) {
        reason = refusal::noIdempotencyKey;
        return 400;
    }
    // maxBodyBytes is enforced before the body is read, so the length must be known in advance.
    if (headers.has(web::http::header_names::transfer_encoding)) {
        reason = refusal::bodySize;
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

void entry_handler::admit(const call_ptr &call)
{
    m_dependencies.teams.admit(*call->view, call->team, call->deadline,
                               [this, call](std::string_view reason) {
                                   if (reason.empty()) {
                                       readBody(call);
                                   } else {
                                       refuse(call, reason == refusal::limit ? 429 : 503, reason);
                                   }
                               });
}

void entry_handler::readBody(const call_ptr &call)
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
            // Outside the try block: if onBody() throws, the request may already have run, so it
            // must not be refused as "not run".
            onBody(call, std::move(body));
        });
}

void entry_handler::onBody(const call_ptr &call, std::vector<unsigned char> body)
{
    call->body = std::make_shared<const std::vector<unsigned char>>(std::move(body));
    call->fingerprint = internal::fingerprintOf(*call);
    m_retries.earn();
    route(call);
}

std::vector<target_id> entry_handler::candidates(const routed_service &service) const
{
    std::vector<target_id> local;
    std::vector<target_id> remote;
    for (const routed_target &target : service.targets) {
        if (target.usable) {
            const bool isLocal = target.rule.dataCenter == m_dependencies.settings.dataCenter;
            (isLocal ? local : remote).push_back(target.id);
        }
    }
    return local.empty() ? remote : local;
}

const routed_target *entry_handler::chooseTarget(const std::optional<last_attempt> &last,
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

bool entry_handler::shouldSendTo(const std::optional<last_attempt> &last,
                                 const routed_target &target, std::uint64_t epoch)
{
    if (target.gate.empty()) {
        return false;
    }
    const bool changed = !last || last->target != target.id || last->gateTerm != target.gateTerm
        || last->epoch != epoch;
    return changed || mono_clock::now() >= last->sentAt + internal::sameRouteRetryDelay;
}

void entry_handler::route(const call_ptr &call)
{
    const std::shared_ptr<const control_view> view = m_dependencies.views.get();
    const routed_service *service = view->routes->service(call->service.str());
    if (service == nullptr || service->rule.keyed != call->keyed) {
        refuse(call, 404, refusal::noService);
        return;
    }
    if (m_dependencies.crashes.isQuarantined(call->fingerprint)) {
        refuse(call, 503, refusal::quarantined);
        return;
    }
    const std::optional<last_attempt> last = call->lastAttempt();
    const routed_target *target = nullptr;
    std::optional<std::uint32_t> shard;
    std::uint64_t epoch = 0;
    if (call->keyed) {
        const struct key_route where = view->routes->routeKey(*service, call->key);
        target = where.target;
        shard = where.shard;
        epoch = where.epoch;
    } else {
        target = chooseTarget(last, *service);
    }
    if (target == nullptr || !shouldSendTo(last, *target, epoch)) {
        enqueueWaiting(call);
        return;
    }
    sendTo(call, *target, shard, epoch);
}

void entry_handler::sendTo(const call_ptr &call, const routed_target &target,
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

    auto attemptState = std::make_shared<attempt>();
    attemptState->call = call;
    attemptState->target = target.id;
    attemptState->dataCenter = target.rule.dataCenter;
    attemptState->gate = target.gate;
    attemptState->gateSession = target.gateSession;
    attemptState->sentAt = mono_clock::now();
    {
        const std::lock_guard lock(call->mutex);
        ++call->inFlight;
        ++call->attemptCount;
        call->last = last_attempt{target.id, target.gateTerm, epoch, attemptState->sentAt};
    }
    if (!call->keyed) {
        const std::lock_guard lock(m_choosersMutex);
        m_choosers[call->service].recordRequestSent(target.id);
    }
    const answer_callback done = [this, attemptState](const forward_answer &answer) {
        onAnswer(attemptState, answer);
    };
    if (target.gate == m_dependencies.settings.vm) {
        m_dependencies.gates.submit(request, done);
    } else {
        m_dependencies.links.forward(target.gateAddress, request, attemptState->cancel.get_token(),
                                     done);
    }
    if (!attemptState->isCompleted) {
        const std::lock_guard lock(m_attemptsMutex);
        m_attempts.push_back(attemptState);
    }
}

void entry_handler::recordAttemptResult(const attempt &attemptState, const forward_answer &answer)
{
    if (!attemptState.call->keyed) {
        const std::lock_guard lock(m_choosersMutex);
        target_chooser &chooser = m_choosers[attemptState.call->service];
        if (answer.state == run_state::NotRun) {
            chooser.recordRequestRefused(attemptState.target);
        } else {
            const time_point now = mono_clock::now();
            chooser.recordRequestCompleted(attemptState.target, now - attemptState.sentAt, now);
        }
    }
    // A gate reports a crash to the VMs of its own data centre only, so the entry reports crashes
    // of targets in other data centres to the VMs of this one.
    const bool isRemote = attemptState.dataCenter != m_dependencies.settings.dataCenter;
    const bool targetLost = answer.state == run_state::Unknown && answer.reason == refusal::lost;
    if (isRemote && targetLost) {
        m_dependencies.crashes.reportCrash(attemptState.call->fingerprint, attemptState.target);
    }
}

bool entry_handler::canReroute(const entry_call &call, const forward_answer &answer) const
{
    const bool refused = answer.reason == refusal::notGate || answer.reason == refusal::notOwner
        || answer.reason == refusal::unreachable || answer.reason == "not-granted";
    return answer.state == run_state::NotRun && refused && mono_clock::now() < call.deadline;
}

bool entry_handler::trySpendRetry(const entry_call &call, const forward_answer &answer)
{
    if (mono_clock::now() >= call.deadline) {
        return false;
    }
    if (answer.state == run_state::NotRun) {
        const bool isOverloaded = answer.reason == refusal::overload || answer.reason == "shed";
        return isOverloaded && !call.keyed && call.attemptCount <= internal::maxExecutions
            && m_retries.trySpend();
    }
    return answer.state == run_state::Unknown && call.idempotent
        && call.attemptCount < internal::maxExecutions && m_retries.trySpend();
}

void entry_handler::onAnswer(const attempt_ptr &attemptState, const forward_answer &answer)
{
    attemptState->isCompleted = true;
    recordAttemptResult(*attemptState, answer);
    const call_ptr &call = attemptState->call;
    bool shouldResend = false;
    forward_answer bestAnswer;
    {
        const std::lock_guard lock(call->mutex);
        --call->inFlight;
        if (call->answered) {
            return;
        }
        const bool final = answer.state == run_state::Run;
        if (!final && call->inFlight > 0) {
            call->lastAnswer = answer;
            return; // Another attempt is in flight and may still succeed.
        }
        // The caller must learn that the request may have run, so "unknown" is not replaced by
        // "not run".
        const bool keepsLastAnswer = !final && call->lastAnswer
            && call->lastAnswer->state == run_state::Unknown && answer.state == run_state::NotRun;
        if (!keepsLastAnswer) {
            call->lastAnswer = answer;
        }
        bestAnswer = *call->lastAnswer;
        shouldResend = !final && (canReroute(*call, answer) || trySpendRetry(*call, answer));
    }
    if (!shouldResend) {
        this->respond(call, bestAnswer);
        return;
    }
    m_dependencies.requestMetrics.count("sent_again");
    route(call);
}

void entry_handler::enqueueWaiting(const call_ptr &call)
{
    const std::lock_guard lock(m_waitingMutex);
    m_waiting.push_back(call);
}

void entry_handler::hedge(const call_ptr &call)
{
    {
        const std::lock_guard lock(call->mutex);
        if (call->answered || call->hedged || call->inFlight == 0) {
            return;
        }
        call->hedged = true;
    }
    const std::shared_ptr<const control_view> view = m_dependencies.views.get();
    const routed_service *service = view->routes->service(call->service.str());
    if (service == nullptr || candidates(*service).size() < 2 || !m_retries.trySpend()) {
        return;
    }
    const std::optional<last_attempt> last = call->lastAttempt();
    const routed_target *target = chooseTarget(last, *service);
    if (target == nullptr || target->gate.empty() || target->id == last->target) {
        return;
    }
    m_dependencies.requestMetrics.count("hedges");
    sendTo(call, *target, std::nullopt, 0);
}

void entry_handler::cancelOrHedgeAttempts(time_point now)
{
    std::vector<attempt_ptr> running;
    {
        const std::lock_guard lock(m_attemptsMutex);
        std::vector<std::weak_ptr<attempt>> kept;
        for (const std::weak_ptr<attempt> &weak : m_attempts) {
            attempt_ptr attemptState = weak.lock();
            if (attemptState != nullptr && !attemptState->isCompleted) {
                kept.push_back(weak);
                running.push_back(std::move(attemptState));
            }
        }
        m_attempts = std::move(kept);
    }
    const std::shared_ptr<const control_view> view = m_dependencies.views.get();
    for (const attempt_ptr &attemptState : running) {
        const bool isGateLost = view->routes->isLost(attemptState->gate, attemptState->gateSession);
        const bool overdue = now >= attemptState->call->deadline + internal::deadlineGrace;
        const bool isAbandoned = isGateLost && attemptState->call->idempotent
            && now >= attemptState->sentAt + internal::lostGateCancelDelay;
        if (overdue || isAbandoned) {
            attemptState->cancel.cancel();
            continue;
        }
        if (!attemptState->call->keyed && attemptState->call->idempotent) {
            duration delay{};
            {
                const std::lock_guard lock(m_choosersMutex);
                delay = m_choosers[attemptState->call->service].hedgeDelay();
            }
            if (now >= attemptState->sentAt + delay) {
                hedge(attemptState->call);
            }
        }
    }
}

void entry_handler::expire(time_point now)
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
            respond(call, call->lastAnswerOr(none));
        }
    }
    cancelOrHedgeAttempts(now);
}

void entry_handler::recordOutcome(const entry_call &call, const forward_answer &answer)
{
    request_outcome outcome;
    outcome.service = call.service;
    outcome.team = call.team;
    outcome.reason = answer.reason;
    outcome.state = answer.state;
    outcome.latency = mono_clock::now() - call.arrivedAt;
    const std::shared_ptr<const control_view> view =
        call.view != nullptr ? call.view : m_dependencies.views.get();
    const auto objective = view->objectives.find(call.service);
    const bool inTime = objective == view->objectives.end()
        || outcome.latency <= milliseconds(objective->second.latencyMillis);
    outcome.good = answer.state == run_state::Run && answer.status < 500 && inTime;
    outcome.counts = !call.service.empty() && !internal::isCallerFault(answer.reason);
    m_dependencies.requestMetrics.add(outcome, internal::wallClockMinute());
}

void entry_handler::respond(const call_ptr &call, const forward_answer &answer)
{
    {
        const std::lock_guard lock(call->mutex);
        if (call->answered) {
            return;
        }
        call->answered = true;
    }
    recordOutcome(*call, answer);
    web::http::http_response response = writeForwardedAnswer(answer);
    if (answer.state == run_state::NotRun && (answer.status == 503 || answer.status == 429)) {
        response.headers().add(web::http::header_names::retry_after, 1);
    }
    if (answer.body == nullptr) {
        response.set_body("{\"reason\":\"" + answer.reason + "\"}", "application/json");
    }
    sendReply(call->message, response);
    --m_inProgressCount;
}

void entry_handler::refuse(const call_ptr &call, int status, std::string_view reason)
{
    respond(call, makeRefused(status, run_state::NotRun, reason));
}

} // namespace damaskward
