#include "gate_handler.h"

#include <cpprest/asyncrt_utils.h>

#include <algorithm>

namespace damaskward {
namespace internal {

/// Maximum size of a response body stored in an intent row. A larger response is sent to the caller
/// without being stored; a resend of its request then gets 409 with the reason "in-doubt".
constexpr std::size_t maxRecordedBodyBytes = 65536;

forward_answer answerFromIntent(const intent_row &row, std::uint64_t fingerprint)
{
    if (row.fingerprint != fingerprint) {
        return makeRefused(422, run_state::NotRun, refusal::keyReused);
    }
    if (!row.done) {
        return makeRefused(409, run_state::Unknown, refusal::inDoubt);
    }
    forward_answer answer;
    answer.status = row.status;
    answer.contentType = row.contentType;
    answer.state = run_state::Run;
    answer.owner = row.owner;
    answer.body = std::make_shared<const std::vector<unsigned char>>(
        utility::conversions::from_base64(row.body));
    return answer;
}

} // namespace internal

gate_handler::gate::gate(const gate_info &held)
    : info(std::make_shared<const gate_info>(held))
    , queue(held.limits)
    , exchange(std::make_unique<target_exchange>(held.address))
{ }

gate_handler::gate_handler(std::shared_ptr<intent_store> intents, shared_crash_tracker &crashes,
                           metrics &requestMetrics, std::uint64_t tokenSeed)
    : m_intents(std::move(intents))
    , m_crashes(crashes)
    , m_metrics(requestMetrics)
    , m_random(tokenSeed)
{ }

gate_handler::~gate_handler() = default;

std::uint64_t gate_handler::newAttemptToken()
{
    const std::lock_guard lock(m_randomMutex);
    return m_random();
}

std::shared_ptr<gate_handler::gate> gate_handler::findGate(const target_id &target) const
{
    const std::shared_lock lock(m_gatesMutex);
    const auto found = m_gates.find(target);
    return found == m_gates.end() ? nullptr : found->second;
}

void gate_handler::sync(const control_view &view)
{
    const time_point now = mono_clock::now();
    std::map<target_id, std::shared_ptr<gate>> held;
    std::vector<std::shared_ptr<gate>> released;
    {
        const std::unique_lock lock(m_gatesMutex);
        for (const gate_info &info : view.gates) {
            const auto existing = m_gates.find(info.target);
            const bool isSameAddress =
                existing != m_gates.end() && existing->second->info->address == info.address;
            held[info.target] = isSameAddress ? existing->second : std::make_shared<gate>(info);
        }
        for (const auto &[target, gateState] : m_gates) {
            if (held.count(target) == 0 || held[target] != gateState) {
                released.push_back(gateState);
            }
        }
        m_gates = held;
        m_releasedGates.insert(m_releasedGates.end(), released.begin(), released.end());
    }
    for (const gate_info &info : view.gates) {
        const std::shared_ptr<gate> &gateState = held[info.target];
        {
            const std::lock_guard lock(gateState->mutex);
            gateState->info = std::make_shared<const gate_info>(info);
            gateState->queue.setLimits(info.limits);
            gateState->queue.setOpen(info.open);
            gateState->queue.setBoot(info.boot, now);
            gateState->queue.setRunningFromOtherGate(info.runningForOthers);
        }
        if (mustRefuseAll(info)) {
            refuseWaiting(*gateState, refusal::unreachable);
        }
        dispatchReady(gateState);
    }
    for (const std::shared_ptr<gate> &gateState : released) {
        {
            const std::lock_guard lock(gateState->mutex);
            gateState->queue.setOpen(false);
        }
        refuseWaiting(*gateState, refusal::notGate);
    }
}

/// Requests of a keyed service wait for their owner, the only target that can run them. Others can
/// run elsewhere at once.
bool gate_handler::mustRefuseAll(const gate_info &info)
{
    return info.isDown && !info.keyed;
}

void gate_handler::refuseWaiting(gate &gateState, std::string_view reason)
{
    std::vector<std::shared_ptr<pending>> refusedRequests;
    {
        const std::lock_guard lock(gateState.mutex);
        for (const request_number number : gateState.queue.drainAll()) {
            refusedRequests.push_back(gateState.requests[number]);
            gateState.requests.erase(number);
        }
    }
    for (const auto &pendingRequest : refusedRequests) {
        pendingRequest->done(makeRefused(503, run_state::NotRun, reason));
    }
}

std::string_view gate_handler::refusalReason(const gate &gateState,
                                             const forward_request &request) const
{
    if (gateState.info->authority <= mono_clock::now() && gateState.info->open) {
        return refusal::notGate;
    }
    if (mustRefuseAll(*gateState.info)) {
        return refusal::unreachable;
    }
    if (request.shard && gateState.info->epochs.count(*request.shard) == 0) {
        return refusal::notOwner;
    }
    if (m_crashes.isQuarantined(request.fingerprint)) {
        return refusal::quarantined;
    }
    return {};
}

void gate_handler::submit(const std::shared_ptr<const forward_request> &request,
                          const answer_callback &done)
{
    const std::shared_ptr<gate> gateState = findGate(request->target);
    if (gateState == nullptr) {
        done(makeRefused(503, run_state::NotRun, refusal::notGate));
        return;
    }
    std::string_view reason;
    {
        const std::lock_guard lock(gateState->mutex);
        reason = refusalReason(*gateState, *request);
        if (reason.empty()) {
            const request_number number = ++m_nextNumber;
            auto waiting = std::make_shared<pending>();
            waiting->message = request;
            waiting->done = done;
            const waiting_request entry{number, request->team, request->deadline};
            if (gateState->queue.enqueue(entry, mono_clock::now())) {
                gateState->requests[number] = std::move(waiting);
            } else {
                reason = refusal::overload;
            }
        }
    }
    if (!reason.empty()) {
        done(makeRefused(503, run_state::NotRun, reason));
        return;
    }
    dispatchReady(gateState);
}

void gate_handler::dispatchReady(const std::shared_ptr<gate> &gateState)
{
    std::vector<dispatch_job_ptr> ready;
    {
        const std::lock_guard lock(gateState->mutex);
        const time_point now = mono_clock::now();
        if (now >= gateState->info->authority) {
            return;
        }
        while (const std::optional<request_number> number = gateState->queue.dispatch(now)) {
            auto job = std::make_shared<dispatch_job>();
            job->gateState = gateState;
            job->number = *number;
            job->request = gateState->requests[*number];
            job->request->sent = true;
            job->info = gateState->info;
            ready.push_back(std::move(job));
        }
    }
    for (const dispatch_job_ptr &job : ready) {
        startJob(job);
    }
}

void gate_handler::startJob(const dispatch_job_ptr &job)
{
    const forward_request &request = *job->request->message;
    if (request.shard) {
        const auto granted = job->info->epochs.find(*request.shard);
        if (granted == job->info->epochs.end()) {
            finish(job, false, makeRefused(503, run_state::NotRun, refusal::notOwner));
            return;
        }
        job->request->epoch = granted->second;
    }
    if (request.idempotent) {
        send(job);
    } else {
        recordIntent(job);
    }
}

void gate_handler::recordIntent(const dispatch_job_ptr &job)
{
    const forward_request &request = *job->request->message;
    job->intentName = intentName(request.service, request.team, request.idempotencyKey);
    job->intent.token = newAttemptToken();
    job->intent.fingerprint = request.fingerprint;
    m_intents->record(job->intentName, job->intent,
                      [this, job](const intent_outcome &outcome) { onIntent(job, outcome); });
}

void gate_handler::onIntent(const dispatch_job_ptr &job, const intent_outcome &outcome)
{
    switch (outcome.what) {
    case intent_outcome::kind::Recorded:
        job->intentVersion = outcome.version;
        // Recording the intent takes time: the gate's authority or the request's deadline may have
        // passed meanwhile.
        if (mono_clock::now() >= std::min(job->info->authority, job->request->message->deadline)) {
            answerNotRun(job, refusal::deadline);
            return;
        }
        send(job);
        return;
    case intent_outcome::kind::Exists:
        finish(job, false,
               internal::answerFromIntent(outcome.existing, job->request->message->fingerprint));
        return;
    case intent_outcome::kind::Failed:
        finish(job, false, makeRefused(503, run_state::NotRun, refusal::platform));
        return;
    }
}

void gate_handler::send(const dispatch_job_ptr &job)
{
    job->gateState->exchange->send(
        *job->request->message, *job->info, job->request->epoch, job->request->cancel.get_token(),
        [this, job](const exchange_outcome &outcome) { onExchange(job, outcome); });
}

void gate_handler::onExchange(const dispatch_job_ptr &job, const exchange_outcome &outcome)
{
    switch (outcome.what) {
    case exchange_outcome::kind::Answered:
        m_crashes.recordAnswer(job->request->message->fingerprint);
        answerRun(job, outcome);
        return;
    case exchange_outcome::kind::RefusedNotRun:
    case exchange_outcome::kind::NeverSent:
        answerNotRun(job, outcome.reason);
        return;
    case exchange_outcome::kind::TargetLost:
        m_crashes.reportCrash(job->request->message->fingerprint, job->info->target);
        answerUnknown(job, outcome);
        return;
    case exchange_outcome::kind::TimedOut:
    case exchange_outcome::kind::BadAnswer:
        answerUnknown(job, outcome);
        return;
    }
}

void gate_handler::answerRun(const dispatch_job_ptr &job, const exchange_outcome &outcome)
{
    forward_answer answer;
    answer.status = outcome.status;
    answer.contentType = outcome.contentType;
    answer.body = outcome.body;
    answer.state = run_state::Run;
    answer.epoch = job->request->epoch;
    answer.owner = job->info->target.str();
    if (job->request->message->idempotent
        || outcome.body->size() > internal::maxRecordedBodyBytes) {
        finish(job, true, answer);
        return;
    }
    intent_row row = job->intent;
    row.done = true;
    row.status = outcome.status;
    row.contentType = outcome.contentType;
    row.body = utility::conversions::to_base64(*outcome.body);
    row.owner = job->info->target.str();
    m_intents->complete(job->intentName, job->intentVersion, row,
                        [this, job, answer] { finish(job, true, answer); });
}

void gate_handler::answerNotRun(const dispatch_job_ptr &job, std::string_view reason)
{
    const forward_answer answer = makeRefused(503, run_state::NotRun, reason);
    if (job->request->message->idempotent) {
        finish(job, false, answer);
        return;
    }
    // The answer follows the attempt to delete the intent row, so that the entry can send the
    // request to another target at once.
    m_intents->withdraw(job->intentName, job->intentVersion,
                        [this, job, answer] { finish(job, false, answer); });
}

void gate_handler::answerUnknown(const dispatch_job_ptr &job, const exchange_outcome &outcome)
{
    const int status = outcome.what == exchange_outcome::kind::TimedOut ? 504 : 502;
    finish(job, false, makeRefused(status, run_state::Unknown, outcome.reason));
}

void gate_handler::finish(const dispatch_job_ptr &job, bool served, const forward_answer &answer)
{
    {
        const std::lock_guard lock(job->gateState->mutex);
        job->gateState->queue.finish(job->number, served, mono_clock::now());
        job->gateState->requests.erase(job->number);
    }
    job->request->done(answer);
    dispatchReady(job->gateState);
}

void gate_handler::expire(time_point now)
{
    std::vector<std::shared_ptr<gate>> gates;
    {
        const std::unique_lock lock(m_gatesMutex);
        for (const auto &[target, gateState] : m_gates) {
            gates.push_back(gateState);
        }
        const auto isExpired = [](const std::weak_ptr<gate> &gateState) {
            return gateState.expired();
        };
        m_releasedGates.erase(
            std::remove_if(m_releasedGates.begin(), m_releasedGates.end(), isExpired),
            m_releasedGates.end());
        for (const std::weak_ptr<gate> &released : m_releasedGates) {
            if (std::shared_ptr<gate> gateState = released.lock()) {
                gates.push_back(std::move(gateState));
            }
        }
    }
    for (const std::shared_ptr<gate> &gateState : gates) {
        std::vector<std::shared_ptr<pending>> expiredRequests;
        std::vector<std::shared_ptr<pending>> overdueRequests;
        {
            const std::lock_guard lock(gateState->mutex);
            for (const request_number number : gateState->queue.expire(now)) {
                expiredRequests.push_back(gateState->requests[number]);
                gateState->requests.erase(number);
            }
            for (const auto &[number, pendingRequest] : gateState->requests) {
                if (pendingRequest->sent && pendingRequest->message->deadline <= now) {
                    overdueRequests.push_back(pendingRequest);
                }
            }
        }
        for (const auto &pendingRequest : expiredRequests) {
            pendingRequest->done(makeRefused(503, run_state::NotRun, refusal::deadline));
        }
        for (const auto &pendingRequest : overdueRequests) {
            pendingRequest->cancel.cancel();
        }
        // More slots may be free now: a target that was warming up may be warm.
        dispatchReady(gateState);
    }
}

std::size_t gate_handler::inProgressCount() const
{
    const std::shared_lock lock(m_gatesMutex);
    std::size_t count = 0;
    const auto add = [&count](gate &gateState) {
        const std::lock_guard gateLock(gateState.mutex);
        count += gateState.requests.size();
    };
    for (const auto &[target, gateState] : m_gates) {
        add(*gateState);
    }
    for (const std::weak_ptr<gate> &released : m_releasedGates) {
        if (const std::shared_ptr<gate> gateState = released.lock()) {
            add(*gateState);
        }
    }
    return count;
}

} // namespace damaskward
