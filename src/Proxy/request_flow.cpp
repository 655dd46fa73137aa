#include "request_flow.h"

#include "../Admission/refusal_counter.h"
#include "millis_field.h"
#include "request_head.h"
#include "retry_after.h"

#include <boost/beast/http/verb.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>

namespace damaskward {
namespace http = boost::beast::http;
namespace {

/// Time for the answer to travel back: it is sent at least this long before the caller's deadline.
constexpr milliseconds responseMargin{10};
/// How long a request waits for a token bucket owner before it is refused: the lifetime of one
/// token request, after which another one is sent.
constexpr milliseconds maxTokenWait{350};
/// For a team over its limit: the time in which a small team's rate yields two or three
/// tokens.
constexpr milliseconds overLimitRetryAfter{500};
/// Delay before a request is sent again to the owner of its key.
constexpr milliseconds ownerRetryDelay{60};
/// Delay before a retry at an owner that shed the request although its queue was not full.
constexpr milliseconds shedRetryDelay{5};
/// How long a request waits for its key to get a usable owner.
constexpr milliseconds maxOwnerWait{700};
/// Passed to refuse() when nothing is known of what refused the request.
constexpr milliseconds unknownDrain{0};

constexpr unsigned firstClientError = 400;
constexpr unsigned firstServerError = 500;

/// \returns whether \a status tells the caller that its request has not run and will not.
bool promisesNotRun(unsigned status)
{
    return status == static_cast<unsigned>(http::status::request_timeout)
        || status == static_cast<unsigned>(http::status::too_many_requests)
        || status == static_cast<unsigned>(http::status::service_unavailable);
}

boost::beast::string_view beastView(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

namespace internal {

void request_flow::start()
{
    runStep([this] { begin(); });
}

/// Sends the request if its deadline, limits and targets allow, or else lets it wait or refuses
/// it. Called again whenever a condition that it waits for may have changed.
void request_flow::advance()
{
    runStep([this] { tryAdvance(); });
}

void request_flow::begin()
{
    m_exchange->onDisconnect([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->callerDisconnected();
        }
    });
    if (!m_config) {
        refuse(503, "no configuration", unknownDrain);
        return;
    }
    if (!findRoute() || !findTeam()) {
        return;
    }
    readDeadline();
    if (m_deadline >= m_router.m_answersUntil) {
        // It could be cut off while its target works on it.
        refuse(503, "shutting down", unknownDrain);
        return;
    }
    m_service = m_router.m_weightedRoundRobin.pick(*m_route);
    m_router.m_admission.recordArrival(m_service, m_priority, mono_clock::now());
    m_router.retryBudgetOf(m_service).earn();
    const service_settings *settings = m_config->service(m_service);
    if (settings && settings->keyed && !readKey()) {
        return;
    }
    if (!m_key) {
        m_side = m_router.m_rollouts.pick(m_service, m_route->name, mono_clock::now());
    }
    if (mayRepeat(m_route->kind)) {
        advance();
        return;
    }
    // If an earlier answer closes the connection, the caller sends the requests pipelined
    // behind it again. A request that must not run twice therefore waits until it is first.
    m_exchange->onHeadOfLine([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->advance();
        }
    });
}

void request_flow::tryAdvance()
{
    if (m_isDone || m_isSending) {
        return;
    }
    if (m_endReason) {
        fail(m_endReason);
        return;
    }
    const time_point now = mono_clock::now();
    if (!hasTimeAt(now)) {
        if (!awaitOpenSends("no time left")) {
            timeOut("no time left");
        }
        return;
    }
    if (!admitToOwner(now) || !spendTeamToken(now)) {
        return;
    }
    if (m_key) {
        sendToOwner(now);
    } else {
        sendToAny(now);
    }
}

bool request_flow::findRoute()
{
    const auto host = fieldOf(request(), "Host");
    const std::string_view target(request().target().data(), request().target().size());
    const std::string_view path = target.substr(0, target.find('?'));
    m_route = m_config->findRoute(host, path);
    if (!m_route) {
        rejectUnknown(404, "no route");
    } else if (m_route->services.empty()) {
        refuse(503, "route set aside", unknownDrain);
    }
    return m_route && !m_route->services.empty();
}

bool request_flow::findTeam()
{
    const std::string key(field(m_router.m_names.apiKey));
    const auto it = m_config->teamOfKey.find(key);
    if (it != m_config->teamOfKey.end()) {
        m_team = it->second;
    } else if (m_config->hasTeams && !m_route->open) {
        if (m_config->hasUnreadableTeams) {
            refuse(503, "team set aside", unknownDrain);
        } else {
            rejectUnknown(401, "unknown key");
        }
        return false;
    }
    m_priority = m_config->priorityOf(*m_route, m_team);
    const team_settings *team = m_config->team(m_team);
    if (team && team->rate > 0.0) {
        m_limit = "team/" + m_team.str();
    }
    return true;
}

/// Answers \a status to a request that this configuration does not know, or a retryable 503
/// when this VM may have missed a newer configuration.
void request_flow::rejectUnknown(unsigned status, const char *reason)
{
    if (m_router.m_stale) {
        refuse(503, reason, unknownDrain);
    } else {
        finish(plainAnswer(status), reason);
    }
}

void request_flow::readDeadline()
{
    milliseconds wait = m_route->timeout;
    if (const auto left = parseMillis(field(m_router.m_names.remainingTime))) {
        m_callerDeadline = m_exchange->arrivedAt() + *left;
        wait = std::min(wait, *left);
    }
    m_deadline = m_exchange->arrivedAt() + wait - responseMargin;
    m_deadlineId = m_router.m_deadlines.add(m_deadline, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_deadlineId = 0;
            self->runStep([&] { self->timeOut("deadline"); });
        }
    });
}

bool request_flow::readKey()
{
    const auto text = field(m_router.m_names.shardKey);
    const long value = isDigits(text) ? std::strtol(std::string(text).c_str(), nullptr, 10) : -1;
    if (value < 0 || value >= keyCount) {
        finish(plainAnswer(400), "no shard key");
        return false;
    }
    m_key = static_cast<shard_key>(value);
    m_router.m_demand.addRequest(m_service, *m_key, m_priority);
    return true;
}

/// \returns false when the request was refused because the key's owner is overloaded.
bool request_flow::admitToOwner(time_point now)
{
    if (!m_key || m_isAdmitted) {
        return true;
    }
    const auto map = m_router.m_owners.find(m_service);
    const range_owner *owner = map == m_router.m_owners.end() ? nullptr : map->second.find(*m_key);
    m_isAdmitted = !owner || m_router.ownerThrottle().admits(owner->target, m_priority, now);
    if (!m_isAdmitted) {
        refuseUnlessRun(503, "owner is overloaded",
                        m_router.ownerThrottle().drainTime(owner->target, now));
    }
    return m_isAdmitted;
}

/// Spends one token of the team's limit, once per request.
/// \returns false when the request waits or was refused.
bool request_flow::spendTeamToken(time_point now)
{
    if (m_limit.empty() || m_hasTeamToken) {
        return true;
    }
    if (m_router.m_tokens.trySpend(m_limit, now)) {
        m_hasTeamToken = true;
        return true;
    }
    if (m_isTokenDenied) {
        refuseUnlessRun(429, "team over its limit", overLimitRetryAfter);
    } else if (now >= m_exchange->arrivedAt() + maxTokenWait) {
        refuseUnlessRun(503, "bank is silent", unknownDrain);
    } else {
        waitForToken(m_limit, m_exchange->arrivedAt() + maxTokenWait, now);
    }
    return false;
}

/// Waits for a token of \a limit, at most until \a until. Does nothing while already waiting.
void request_flow::waitForToken(const std::string &limit, time_point until, time_point now)
{
    if (now < m_tokenWaitDeadline) {
        return;
    }
    m_tokenWaitDeadline = until;
    m_router.m_tokens.waitFor(limit, [weak = weak_from_this()](token_outcome outcome) {
        if (const auto self = weak.lock()) {
            self->m_tokenWaitDeadline = time_point{};
            self->m_isTokenDenied = outcome == token_outcome::Denied;
            self->advance();
        }
    });
    m_router.m_requestTokens();
    scheduleAdvance(until);
}

void request_flow::scheduleAdvance(time_point until)
{
    m_router.m_deadlines.remove(m_wakeUpId);
    m_wakeUpId = m_router.m_deadlines.add(std::min(until, m_deadline), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_wakeUpId = 0;
            self->advance();
        }
    });
}

/// Waits until the key owners change, at most until \a until.
void request_flow::waitForChange(time_point until)
{
    scheduleAdvance(until);
    m_router.addWaiting(weak_from_this());
}

void request_flow::sendToOwner(time_point now)
{
    const auto map = m_router.m_owners.find(m_service);
    const range_owner *owner = map == m_router.m_owners.end() ? nullptr : map->second.find(*m_key);
    target_state *target = owner ? m_router.m_targets.find(owner->target) : nullptr;
    if (target && m_router.m_targets.isUnreachable(*target, now)) {
        refuseUnlessRun(503, "owner's data centre is unreachable", unknownDrain);
        return;
    }
    if (!target || !canSendToOwner(*target, now)) {
        const milliseconds pause = target ? target_pool::pauseLeft(*target, now) : milliseconds(0);
        // The keys of a draining owner get another one, probably before its pause ends.
        if (pause.count() > 0 && target->drainingSince == time_point{}) {
            waitForOwner("owner is paused", pause, now);
        } else {
            waitForOwner("key without an owner",
                         owner && owner->target.empty() ? owner->wait : ownerRetryDelay, now);
        }
        return;
    }
    m_ownerWaitDeadline = time_point{};
    if (!m_router.m_admission.canAnswer(*target, m_deadline, now)) {
        refuseUnlessRun(503, "owner cannot answer in time",
                        m_router.m_admission.drainTime(*target, now));
        return;
    }
    if (!acquireCapacity(*target)) {
        return;
    }
    if (target_pool::isWarmingUp(*target, now) && !spendWarmupToken(*target, now)) {
        return;
    }
    send(*target, now);
}

bool request_flow::canSendToOwner(const target_state &target, time_point now) const
{
    if (!m_router.m_rollouts.isAllowed(target.record, now)) {
        return false; // Its version has no valid share of the requests.
    }
    if (m_router.m_targets.isUsable(target, now)) {
        return true;
    }
    return now >= target.refusingUntil && now >= target.pausedUntil
        && target.drainingSince != time_point{} && now < target.ownedWorkUntil;
}

/// \returns whether a target can answer in time if the request is sent at \a when.
bool request_flow::hasTimeAt(time_point when) const
{
    return m_router.m_admission.hasTimeFor(m_service, m_deadline, when);
}

void request_flow::waitForOwner(const char *reason, milliseconds expected, time_point now)
{
    releaseCapacity(capacity_outcome::Unused); // It may be that of the previous owner.
    if (m_ownerWaitDeadline == time_point{}) {
        m_ownerWaitDeadline = now + maxOwnerWait;
    }
    if (!hasTimeAt(now + expected) || now + expected > m_ownerWaitDeadline) {
        refuseUnlessRun(503, reason, expected);
        return;
    }
    waitForChange(now + std::max(expected, ownerRetryDelay));
}

void request_flow::sendToAny(time_point now)
{
    const bool preferLocal = m_route->kind == request_kind::Download;
    const target_choice choice = m_router.m_admission.choose(
        {m_service, m_tried, preferLocal, m_priority, m_deadline},
        [&](const target_query &query) {
            return m_router.m_rollouts.choose(m_router.m_targets, query, m_side, now);
        },
        now);
    if (!choice.target) {
        refuseUnlessRun(503, choice.refusal, choice.drain);
        return;
    }
    if (!target_pool::isWarmingUp(*choice.target, now)) {
        sendWithCapacity(*choice.target, now);
    } else if (spendWarmupToken(*choice.target, now)) {
        send(*choice.target, now);
    }
}

/// Sends the request to the target that has been granted, or to \a chosen if none is needed.
void request_flow::sendWithCapacity(target_state &chosen, time_point now)
{
    if (!acquireCapacity(chosen)) {
        return;
    }
    target_state *target =
        m_capacity.number == 0 ? &chosen : m_router.m_targets.find(m_capacity.target);
    if (target && m_router.m_targets.isUsable(*target, now)) {
        send(*target, now);
        return;
    }
    // This VM has learned more recently than the owner that the target takes no requests.
    releaseCapacity(capacity_outcome::Unused);
    scheduleAdvance(now + ownerRetryDelay);
}

/// Requests capacity at \a target, or, unless a key binds the request to it, at any target of the
/// same service and data centre.
/// \returns false while the request waits for it.
bool request_flow::acquireCapacity(const target_state &target)
{
    capacity_source *source = m_router.m_capacity;
    // A target has long finished its work when a large answer has arrived, so the time until then
    // says nothing about its capacity.
    const bool isLarge = m_route->kind == request_kind::Download;
    // A request of a team with a limit has spent a token by now, which a refusal here would waste.
    const bool isLimited = !m_limit.empty();
    if (!source || isLarge || isLimited || !source->usesRoom(m_service, m_key.has_value())
        || (!m_key && m_router.m_rollouts.restricts(m_service))) {
        return true;
    }
    const std::string wanted = m_key ? target.record.name : std::string();
    if (m_key) {
        m_router.addWaiting(weak_from_this()); // The key may get another owner meanwhile.
    }
    if (m_capacity.number != 0 && m_capacity.wanted == wanted) {
        return !m_capacity.target.empty();
    }
    releaseCapacity(capacity_outcome::Unused);
    m_capacity.wanted = wanted;
    m_capacity.number = source->acquire(
        {m_service, target.record.dataCenter, wanted, m_priority, m_team, m_deadline, m_tried},
        [weak = weak_from_this()](const capacity_answer &answer) {
            if (const auto self = weak.lock()) {
                self->runStep([&] { self->handleCapacity(answer); });
            }
        });
    return false;
}

void request_flow::handleCapacity(const capacity_answer &answer)
{
    m_capacity.number = answer.number;
    m_capacity.target = answer.target;
    if (answer.number == 0) {
        refuseUnlessRun(503, "no target capacity", answer.retryAfter);
        return;
    }
    tryAdvance();
}

/// Returns capacity, or stops waiting for it.
/// \param running requests that the target has reported to run, -1 if unknown
void request_flow::releaseCapacity(capacity_outcome outcome, int running)
{
    if (m_capacity.number != 0) {
        m_router.m_capacity->release({m_capacity.number, outcome,
                                      milliseconds(toMillis(mono_clock::now() - m_sentAt)),
                                      running});
        m_capacity = {};
    }
}

/// Spends one token of the warm-up rate of \a target.
/// \returns false when the request waits or was refused.
bool request_flow::spendWarmupToken(const target_state &target, time_point now)
{
    const std::string limit = "cold/" + target.record.name;
    m_isTokenDenied = false; // Another token may become available before the wait ends.
    if (m_router.m_tokens.trySpend(limit, now)) {
        return true;
    }
    if (m_warmupWaitDeadline == time_point{}) {
        m_warmupWaitDeadline = now + maxTokenWait;
    }
    if (now >= m_warmupWaitDeadline) {
        refuseUnlessRun(503, "target is cold", milliseconds(300));
        return false;
    }
    waitForToken(limit, m_warmupWaitDeadline, now);
    return false;
}

void request_flow::send(target_state &target, time_point now)
{
    m_router.m_deadlines.remove(m_wakeUpId);
    outgoing_call call;
    call.head = makeRequestHead(request(), m_router.m_names, target.record.name, m_team,
                                std::chrono::duration_cast<milliseconds>(m_deadline - now),
                                m_exchange->body()->size());
    call.body = m_exchange->body();
    m_isSending = true;
    m_target = target.record.name;
    m_targetIncarnation = target.record.incarnation;
    m_sentAt = now;
    if (m_firstSentAt == time_point{}) {
        m_firstSentAt = now;
    }
    m_targetHadFreeSlot = target_pool::expectedLoad(target, now) < target.record.slots;
    const milliseconds silenceLimit = m_router.m_admission.silenceLimit(target, now);
    target_pool::recordRequestSent(target);
    m_router.m_targets.recordProbe(target, now);
    call.connectionKey = m_target;
    call.address = target.record.address;
    call.isHeadRequest = request().method() == http::verb::head;
    call.expectedAnswerId = std::string(field(m_router.m_names.requestId));
    call.deadline = m_deadline;
    call.freshOnly = !mayRepeat(m_route->kind);
    // A refusal that the target repeats has the same id as the answer to the retry.
    call.needsNewConnection = !mayRepeat(m_route->kind) && m_refusedBy.count(m_target) != 0;
    const std::uint64_t number = ++m_sendNumber;
    m_call = m_router.m_pool.send(
        std::move(call), [self = shared_from_this(), number](call_result &&result) {
            const bool mayHaveRun = !neverSent(result.failure);
            self->runStep([&] { self->handleCallResult(number, std::move(result)); }, mayHaveRun);
        });
    if (silenceLimit.count() > 0) {
        scheduleSilenceCheck(now + silenceLimit);
    }
}

void request_flow::scheduleSilenceCheck(time_point at)
{
    if (at >= m_deadline) {
        return;
    }
    m_wakeUpId = m_router.m_deadlines.add(at, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_wakeUpId = 0;
            self->runStep([&] { self->checkSilence(); });
        }
    });
}

/// Sends the request a second time if its target seems to have dropped it and it may run twice: to
/// another target, or to the only owner of its key if that has certainly dropped it. The first send
/// goes on: later answers on other connections also overtake a long request on a target with
/// several slots, and a request that a target works on must not be broken off.
void request_flow::checkSilence()
{
    if (m_isDone || !m_isSending) {
        return;
    }
    const time_point now = mono_clock::now();
    const silence_cause cause = m_router.m_admission.judgeSilence(m_target, m_sentAt, now);
    m_router.m_metrics.count(std::string("tries_") + nameOf(cause));
    // A second run at the owner of a key would take one of the slots that others wait for.
    if (cause != silence_cause::Full
        || (m_key && !m_router.m_admission.hasDropped(m_target, m_sentAt))) {
        scheduleSilenceCheck(now + (now - m_sentAt) / 2); // Later answers may show the cause.
        return;
    }
    if (!acquireSecondSend(now)) {
        return;
    }
    logTry("silent", now);
    m_silentSends.push_back({m_sendNumber, m_target, m_sentAt, std::move(m_call)});
    m_call = {};
    releaseInFlight();
    m_mayHaveRun = true;
    m_hasSecondSend = true;
    ++m_executions;
    retry(now);
}

/// Leaves the answer to the open sends, if there are any. The request then ends with the answer of
/// one of them, when all have failed, or at its deadline.
/// \param reason why nothing more is sent
/// \returns whether there are any
bool request_flow::awaitOpenSends(const char *reason)
{
    if (openSendCount() == 0) {
        return false;
    }
    m_endReason = reason;
    m_router.m_deadlines.remove(m_wakeUpId);
    if (!m_isSending) {
        releaseCapacity(capacity_outcome::Unused);
    }
    return true;
}

/// \returns whether an answer with \a status ends the request. While another send is open, an error
/// does not: the other target may be at work.
bool request_flow::isFinal(unsigned status) const
{
    return status < firstClientError || openSendCount() == 0;
}

/// Keeps \a answer in case that no send succeeds, unless its status would tell the caller that no
/// target runs the request while another send is open.
void request_flow::keepAsFallback(http_answer &&answer)
{
    if (openSendCount() == 0 || !promisesNotRun(answer.result_int())) {
        m_fallback = std::move(answer);
    }
}

/// \returns whether a target has produced \a answer, unchanged.
bool request_flow::isGenuine(const http_answer &answer) const
{
    return answer.count(beastView(m_router.m_names.targetProof)) != 0
        && answer.count(http::field::content_encoding) == 0;
}

void request_flow::handleCallResult(std::uint64_t number, call_result &&result)
{
    if (number == m_sendNumber && m_isSending) {
        handleResult(std::move(result));
    } else {
        handleSilentResult(number, std::move(result));
    }
}

/// Ends the request with the answer to a silent send, unless it is a failure that another send may
/// still make good.
void request_flow::handleSilentResult(std::uint64_t number, call_result &&result)
{
    const auto it = std::find_if(m_silentSends.begin(), m_silentSends.end(),
                                 [number](const auto &send) { return send.number == number; });
    if (m_isDone || it == m_silentSends.end()) {
        return;
    }
    const time_point now = mono_clock::now();
    const std::string targetName = std::move(it->target);
    const time_point sentAt = it->sentAt;
    m_silentSends.erase(it);
    const bool isAnswered = result.failure == call_failure::None;
    target_state *target = m_router.m_targets.find(targetName);
    if (isAnswered && target) {
        recordAnswer(*target, sentAt, result.answer, now);
    }
    const bool isFromTarget = isAnswered && isGenuine(result.answer);
    const bool isRefused = isAnswered
        && (result.answer.count(beastView(m_router.m_names.notRun)) != 0
            || result.answer.result() == http::status::misdirected_request);
    const unsigned status = isAnswered ? result.answer.result_int() : 0;
    if (isFromTarget && !isRefused && status < firstServerError && isFinal(status)) {
        m_call.cancel();
        releaseInFlight();
        m_target = targetName;
        m_sentAt = sentAt;
        m_secondSendOutcome = "lost";
        logTry("answered late", now);
        forwardAnswer(std::move(result.answer), "answered");
        return;
    }
    if (isFromTarget && !isRefused && !m_fallback) {
        keepAsFallback(std::move(result.answer));
    }
    if (m_endReason) {
        fail(m_endReason);
    }
}

void request_flow::handleResult(call_result &&result)
{
    m_isSending = false;
    if (m_isDone) {
        return;
    }
    const time_point now = mono_clock::now();
    target_state *target = m_router.m_targets.find(m_target);
    if (result.failure != call_failure::None) {
        handleSendFailure(result.failure, target, now);
        return;
    }
    if (target) {
        recordAnswer(*target, m_sentAt, result.answer, now);
        applyAvailabilityHeaders(*target, result.answer, now);
    }
    const unsigned status = result.answer.result_int();
    if (result.answer.count(beastView(m_router.m_names.notRun)) != 0
        || status == static_cast<unsigned>(http::status::misdirected_request)) {
        handleNotRun(status, target, now);
        return;
    }
    ++m_executions;
    releaseCapacity(capacity_outcome::Answered,
                    target && target->loadReportedAt == now ? target->load.running : -1);
    const bool good = status / 100 == 2;
    if (good) {
        recordServiceTime(target, now);
    }
    const bool genuine = isGenuine(result.answer);
    recordVersionAnswer(status >= firstServerError || (good && !genuine)
                            ? std::nullopt
                            : std::optional<duration>(now - m_sentAt));
    if (target) {
        const bool healthy = genuine && status < firstServerError;
        m_router.m_targets.recordRequestCompleted(
            *target, healthy ? std::optional<duration>(now - m_sentAt) : std::nullopt, now);
    }
    if (good && !genuine) {
        m_mayHaveRun = true;
        retryOrFail("answer is not the target's", now);
        return;
    }
    if (promisesNotRun(status) && !mayRepeat(m_route->kind)) {
        m_mayHaveRun = true;
        fail("target did not state that the request has not run");
        return;
    }
    const bool repeats =
        status >= firstServerError && mayRepeat(m_route->kind) && acquireRetry(now);
    if (repeats || !isFinal(status)) {
        keepAsFallback(std::move(result.answer));
        if (repeats) {
            retry(now);
        } else {
            fail("answered");
        }
        return;
    }
    m_secondSendOutcome = "won";
    forwardAnswer(std::move(result.answer), "answered");
}

/// Counts the answer for the roll-out of the target's version, if there is one.
/// \param answeredIn its answer time, or nothing if it failed
void request_flow::recordVersionAnswer(std::optional<duration> answeredIn)
{
    if (const target_state *target = m_router.m_targets.find(m_target)) {
        m_router.m_rollouts.recordAnswer(target->record, m_route->name, answeredIn);
    }
}

/// Records the target's service time, only if the request cannot have waited in its queue.
void request_flow::recordServiceTime(const target_state *target, time_point now)
{
    if (!target || !m_targetHadFreeSlot || target->load.waiting != 0) {
        return;
    }
    m_router.m_admission.recordServiceTime(*target, now - m_sentAt);
    if (m_key) {
        service_time_sample &sample = m_router.m_demand.serviceTimes[m_target];
        ++sample.count;
        sample.millis += toMillis(now - m_sentAt);
    }
}

/// Records what an answer to a request that was sent at \a sentAt shows of its target.
void request_flow::recordAnswer(target_state &target, time_point sentAt, const http_answer &answer,
                                time_point now)
{
    m_router.m_targets.recordAnswer(target);
    applyLoadHeaders(target, answer, now);
    connection_evidence &evidence = m_router.m_admission.evidence();
    evidence.recordAnswer(target.record.name, sentAt, now);
    if (target.loadReportedAt == now && target.load.running + target.load.waiting == 0) {
        evidence.recordIdle(target.record.name, sentAt, now);
    }
}

void request_flow::applyLoadHeaders(target_state &target, const http_answer &answer, time_point now)
{
    const header_names &names = m_router.m_names;
    if (const auto load = names.decodeLoad(fieldOf(answer, names.load))) {
        target_pool::recordLoadReport(target, *load, now);
        if (m_key && load->waiting > 0) {
            m_router.m_demand.queueLengths[m_target] = load->waiting;
        }
    }
    if (const auto warmup = parseMillis(fieldOf(answer, names.remainingWarmup))) {
        target_pool::recordWarmup(target, *warmup, now);
    }
}

/// Applies what the target says about further requests.
void request_flow::applyAvailabilityHeaders(target_state &target, const http_answer &answer,
                                            time_point now)
{
    if (target.record.incarnation != m_targetIncarnation) {
        return; // Another process has taken over the target's name since the request was sent.
    }
    if (fieldOf(answer, m_router.m_names.draining) == "1" && !target.hasAnnouncedDrain) {
        m_router.m_targets.recordDrain(target, now);
        m_router.m_log.write(log_line("target drains").add("target", m_target));
    }
    if (answer.result() != http::status::service_unavailable) {
        return;
    }
    if (const auto pause = parseRetryAfter(fieldOf(answer, m_router.m_names.retryAfter))) {
        target_pool::recordPause(target, now + *pause);
        m_router.m_log.write(
            log_line("target pauses").add("target", m_target).add("ms", pause->count()));
    }
}

/// Handles an answer which states that the target has not run the request.
void request_flow::handleNotRun(unsigned status, target_state *target, time_point now)
{
    const bool misdirected = status == static_cast<unsigned>(http::status::misdirected_request);
    releaseCapacity(misdirected ? capacity_outcome::Unused : capacity_outcome::Rejected);
    if (target) {
        target->inFlight = std::max(0, target->inFlight - 1);
    }
    logTry(misdirected ? "misdirected" : "shed", now);
    m_refusedBy.insert(m_target);
    if (m_key) {
        const milliseconds requested =
            target && !misdirected ? target_pool::pauseLeft(*target, now) : milliseconds(0);
        if (!misdirected && target && admission_control::queueIsFull(*target)) {
            // Only the owner can run the request, and its full queue takes a while to drain.
            refuseUnlessRun(503, "owner is full", m_router.m_admission.drainTime(*target, now));
            return;
        }
        // The target turned the request away although its queue has room, so a retry may well
        // be accepted.
        const milliseconds pause = std::max(
            requested, misdirected ? ownerRetryDelay * (1 + m_rejections) : shedRetryDelay);
        constexpr int maxOwnerRejections = 3;
        if (++m_rejections > maxOwnerRejections || pause > maxOwnerWait || !hasTimeAt(now + pause)
            || !m_router.retryBudgetOf(m_service).trySpend()) {
            refuseUnlessRun(503, misdirected ? "owner does not hold the key" : "owner is full",
                            requested);
            return;
        }
        waitForChange(now + pause);
        return;
    }
    m_tried.insert(m_target);
    constexpr int maxRejections = 2;
    if (++m_rejections > maxRejections || !m_router.retryBudgetOf(m_service).trySpend()) {
        refuseUnlessRun(503, "targets are full", m_router.m_admission.drainTime(m_service, now));
        return;
    }
    advance();
}

void request_flow::handleSendFailure(call_failure failure, target_state *target, time_point now)
{
    releaseCapacity(neverSent(failure) ? capacity_outcome::Unused : capacity_outcome::Silent);
    if (neverSent(failure)) {
        logTry(failure == call_failure::Refused ? "refused" : "unreachable", now);
        m_router.m_admission.evidence().recordNoConnection(m_target,
                                                           failure == call_failure::Refused, now);
        if (target) {
            m_router.m_targets.recordRequestCompleted(*target, std::nullopt, now);
            m_router.m_targets.recordConnectionRefused(*target, now);
            if (failure == call_failure::Unreachable) {
                m_router.m_targets.recordConnectionTimeout(*target, now);
            }
            m_router.m_pool.closeIdleTo(m_target);
        }
        m_tried.insert(m_target);
        advance();
        return;
    }
    if (target) {
        m_router.m_targets.recordRequestCompleted(*target, std::nullopt, now);
    }
    recordVersionAnswer(std::nullopt);
    m_mayHaveRun = true;
    ++m_executions;
    logTry("lost", now);
    retryOrFail("no answer", now);
}

/// \returns the time until the request can be sent once more.
milliseconds request_flow::retryPause(time_point now) const
{
    if (!m_key) {
        return milliseconds(0); // Another target may run it.
    }
    const target_state *owner = m_router.m_targets.find(m_target);
    return std::max<milliseconds>(ownerRetryDelay / 2,
                                  owner ? target_pool::pauseLeft(*owner, now) : milliseconds(0));
}

bool request_flow::acquireRetry(time_point now)
{
    return !m_endReason && mayRepeat(m_route->kind) && m_executions < m_route->maxAttempts
        && hasTimeAt(now + retryPause(now)) && m_router.retryBudgetOf(m_service).trySpend();
}

/// The same for a send beside one that is not answered. It is of no use unless it is answered
/// first, so there has to be time for a request of usual length.
bool request_flow::acquireSecondSend(time_point now)
{
    constexpr int thisSend = 1;
    return mayRepeat(m_route->kind) && m_executions + thisSend < m_route->maxAttempts
        && m_router.m_admission.hasTimeForUsual(m_service, m_deadline, now + retryPause(now))
        && m_router.retryBudgetOf(m_service).trySpend();
}

void request_flow::retryOrFail(const char *reason, time_point now)
{
    if (acquireRetry(now)) {
        retry(now);
    } else {
        fail(reason);
    }
}

void request_flow::retry(time_point now)
{
    m_tried.insert(m_target);
    if (m_key) {
        waitForChange(now + retryPause(now)); // Only the owner can run it.
    } else {
        advance();
    }
}

void request_flow::callerDisconnected()
{
    if (!m_isDone) {
        logOutcome(0, "caller left");
        markDone();
    }
}

void request_flow::releaseInFlight()
{
    if (m_isSending) {
        m_isSending = false;
        releaseCapacity(capacity_outcome::Silent);
        if (target_state *target = m_router.m_targets.find(m_target)) {
            target->inFlight = std::max(0, target->inFlight - 1);
        }
    }
}

/// Ends the request at its deadline, or if no target can answer before it.
void request_flow::timeOut(const char *reason)
{
    if (m_isDone) {
        return;
    }
    // A call that still waits for its connection has reached no target.
    if (m_isSending && m_call.maySent()) {
        recordVersionAnswer(std::nullopt);
        m_mayHaveRun = true;
    }
    endWithoutAnswer(504, reason);
}

/// Ends the request without another retry, once all sends have ended: forwards a target's last
/// failure if there is one, answers 502 if a target may have run the request, and refuses it
/// otherwise.
void request_flow::fail(const char *reason)
{
    if (!awaitOpenSends(reason)) {
        endWithoutAnswer(502, reason);
    }
}

/// Ends the request although sends may be open.
/// \param statusIfRun the answer if a target may have run the request, and none has failed it
void request_flow::endWithoutAnswer(unsigned statusIfRun, const char *reason)
{
    if (m_fallback) {
        forwardAnswer(std::move(*m_fallback), reason);
    } else if (m_mayHaveRun) {
        finish(plainAnswer(statusIfRun), reason);
    } else {
        refuse(503, reason, unknownDrain);
    }
}

void request_flow::refuseUnlessRun(unsigned status, const char *reason, milliseconds drain)
{
    if (m_fallback || m_mayHaveRun || openSendCount() > 0) {
        fail(reason);
    } else {
        refuse(status, reason, drain);
    }
}

/// Refuses a request that no target has run, and that is not being sent to one.
/// \param drain after this time, what refused it has free capacity
void request_flow::refuse(unsigned status, const char *reason, milliseconds drain)
{
    http_answer answer = plainAnswer(status);
    m_router.m_metrics.count(refusalCounter(reason, m_priority));
    const milliseconds after = m_router.m_admission.retryAfter(m_service, drain, m_priority,
                                                               m_callerDeadline, mono_clock::now());
    answer.set(beastView(m_router.m_names.retryAfter),
               fmt::format("{:.3f}", static_cast<double>(after.count()) / 1000.0));
    finish(std::move(answer), reason);
}

void request_flow::forwardAnswer(http_answer &&answer, const char *reason)
{
    removeConnectionFields(answer);
    finish(std::move(answer), reason);
}

void request_flow::finish(http_answer &&answer, const char *reason)
{
    const std::string id(field(m_router.m_names.requestId));
    if (!id.empty()) {
        answer.set(beastView(m_router.m_names.requestId), id);
    }
    logOutcome(answer.result_int(), reason, answer.body().size());
    countOutcome(answer, reason);
    markDone();
    m_exchange->answer(std::move(answer));
}

void request_flow::markDone()
{
    m_isDone = true;
    if (m_hasSecondSend) {
        m_router.m_metrics.count("second_sends_" + std::string(m_secondSendOutcome));
    }
    m_call.cancel();
    releaseInFlight();
    for (silent_send &send : m_silentSends) {
        send.call.cancel();
    }
    m_silentSends.clear();
    releaseCapacity(capacity_outcome::Unused);
    m_router.m_deadlines.remove(m_deadlineId);
    m_router.m_deadlines.remove(m_wakeUpId);
    m_router.m_flows.erase(shared_from_this());
}

void request_flow::countOutcome(const http_answer &answer, const char *reason)
{
    const bool ran = m_executions > 0 || m_fallback;
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

std::int64_t request_flow::wallMinute()
{
    return std::chrono::duration_cast<minutes>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void request_flow::logTry(const char *what, time_point now)
{
    m_router.m_metrics.count("tries_" + metricName(what));
    log_line line("try");
    line.add("id", field(m_router.m_names.requestId))
        .add("target", m_target)
        .add("outcome", what)
        .add("ms", toMillis(now - m_sentAt))
        .add("left", toMillis(m_deadline - now));
    addLoadOf(m_target, line, now);
    m_router.m_log.write(line);
}

/// Adds to \a line what \a target last reported of its load, if it has.
void request_flow::addLoadOf(std::string_view target, log_line &line, time_point now) const
{
    const target_state *known = m_router.m_targets.find(target);
    if (known && known->loadReportedAt != time_point{}) {
        line.add("running", known->load.running)
            .add("queued", known->load.waiting)
            .add("slots", known->record.slots)
            .add("loadAge", toMillis(now - known->loadReportedAt));
    }
}

void request_flow::logOutcome(unsigned status, const char *reason, std::size_t bytes)
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
            .add("kind", static_cast<int>(m_route->kind))
            .add("priority", m_priority);
    }
    if (!m_team.empty()) {
        line.add("team", m_team.str());
    }
    if (m_deadline != time_point{}) {
        line.add("left", toMillis(m_deadline - now));
    }
    if (!m_target.empty()) {
        const target_state *target = m_router.m_targets.find(m_target);
        line.add("target", m_target)
            .add("runs", m_executions)
            .add("open", openSendCount())
            .add("waited", toMillis(m_firstSentAt - m_exchange->arrivedAt()))
            .add("dataCenter", target ? target->record.dataCenter.str() : "gone");
        if (openSendCount() > 0) {
            addLoadOf(m_target, line, now);
        }
    }
    if (m_key) {
        line.add("key", *m_key);
    }
    m_router.m_log.write(line);
}

} // namespace internal
} // namespace damaskward
