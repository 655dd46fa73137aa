#include "gate_front.h"

#include <cpprest/asyncrt_utils.h>

#include <algorithm>

namespace damaskward {
namespace internal {

/// A recorded answer's body is kept up to this size; a longer one is answered but not kept.
constexpr std::size_t maxRecordedBody = 65536;

forward_answer replayed(const intent_row &row, std::uint64_t fingerprint)
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

gate_front::gate::gate(const gate_info &held)
    : info(std::make_shared<const gate_info>(held))
    , queue(held.limits)
    , exchange(std::make_unique<target_exchange>(held.address))
{ }

gate_front::gate_front(std::shared_ptr<intent_keeper> intents, crash_ledger &crashes,
                       metrics &counts, std::uint64_t tokenSeed)
    : m_intents(std::move(intents))
    , m_crashes(crashes)
    , m_metrics(counts)
    , m_random(tokenSeed)
{ }

gate_front::~gate_front() = default;

std::uint64_t gate_front::newToken()
{
    const std::lock_guard lock(m_randomMutex);
    return m_random();
}

std::shared_ptr<gate_front::gate> gate_front::find(const target_id &target) const
{
    const std::shared_lock lock(m_gatesMutex);
    const auto found = m_gates.find(target);
    return found == m_gates.end() ? nullptr : found->second;
}

void gate_front::sync(const control_view &view)
{
    const time_point now = mono_clock::now();
    std::map<target_id, std::shared_ptr<gate>> held;
    std::vector<std::shared_ptr<gate>> left;
    {
        const std::unique_lock lock(m_gatesMutex);
        for (const gate_info &info : view.gates) {
            const auto known = m_gates.find(info.target);
            const bool same =
                known != m_gates.end() && known->second->info->address == info.address;
            held[info.target] = same ? known->second : std::make_shared<gate>(info);
        }
        for (const auto &[target, g] : m_gates) {
            if (held.count(target) == 0 || held[target] != g) {
                left.push_back(g);
            }
        }
        m_gates = held;
        m_left.insert(m_left.end(), left.begin(), left.end());
    }
    for (const gate_info &info : view.gates) {
        const std::shared_ptr<gate> &g = held[info.target];
        {
            const std::lock_guard lock(g->mutex);
            g->info = std::make_shared<const gate_info>(info);
            g->queue.setLimits(info.limits);
            g->queue.setOpen(info.open);
            g->queue.setBoot(info.boot, now);
            g->queue.setRunningElsewhere(info.runningForOthers);
        }
        pump(g);
    }
    for (const std::shared_ptr<gate> &g : left) {
        std::vector<std::shared_ptr<pending>> refused;
        {
            const std::lock_guard lock(g->mutex);
            g->queue.setOpen(false);
            for (const request_number number : g->queue.drainAll()) {
                refused.push_back(g->requests[number]);
                g->requests.erase(number);
            }
        }
        for (const auto &p : refused) {
            p->done(makeRefused(503, run_state::NotRun, refusal::notGate));
        }
    }
}

std::string_view gate_front::whyRefused(const gate &g, const forward_request &request) const
{
    if (g.info->authority <= mono_clock::now() && g.info->open) {
        return refusal::notGate;
    }
    if (request.shard && g.info->epochs.count(*request.shard) == 0) {
        return refusal::notOwner;
    }
    if (m_crashes.isQuarantined(request.fingerprint)) {
        return refusal::quarantined;
    }
    return {};
}

void gate_front::submit(const std::shared_ptr<const forward_request> &request,
                        const answer_callback &done)
{
    const std::shared_ptr<gate> g = find(request->target);
    if (g == nullptr) {
        done(makeRefused(503, run_state::NotRun, refusal::notGate));
        return;
    }
    std::string_view reason;
    {
        const std::lock_guard lock(g->mutex);
        reason = whyRefused(*g, *request);
        if (reason.empty()) {
            const request_number number = ++m_nextNumber;
            auto waiting = std::make_shared<pending>();
            waiting->request = request;
            waiting->done = done;
            const waiting_request entry{number, request->team, request->deadline};
            if (g->queue.enqueue(entry, mono_clock::now())) {
                g->requests[number] = std::move(waiting);
            } else {
                reason = refusal::overload;
            }
        }
    }
    if (!reason.empty()) {
        done(makeRefused(503, run_state::NotRun, reason));
        return;
    }
    pump(g);
}

void gate_front::pump(const std::shared_ptr<gate> &g)
{
    std::vector<dispatched_ptr> ready;
    {
        const std::lock_guard lock(g->mutex);
        const time_point now = mono_clock::now();
        if (now >= g->info->authority) {
            return;
        }
        while (const std::optional<request_number> number = g->queue.dispatch(now)) {
            auto d = std::make_shared<dispatched>();
            d->at = g;
            d->number = *number;
            d->what = g->requests[*number];
            d->what->sent = true;
            d->info = g->info;
            ready.push_back(std::move(d));
        }
    }
    for (const dispatched_ptr &d : ready) {
        start(d);
    }
}

void gate_front::start(const dispatched_ptr &d)
{
    const forward_request &request = *d->what->request;
    if (request.shard) {
        const auto granted = d->info->epochs.find(*request.shard);
        if (granted == d->info->epochs.end()) {
            finish(d, false, makeRefused(503, run_state::NotRun, refusal::notOwner));
            return;
        }
        d->what->epoch = granted->second;
    }
    if (request.idempotent) {
        send(d);
    } else {
        recordIntent(d);
    }
}

void gate_front::recordIntent(const dispatched_ptr &d)
{
    const forward_request &request = *d->what->request;
    d->intentName = intentName(request.service, request.team, request.idempotencyKey);
    d->intent.token = newToken();
    d->intent.fingerprint = request.fingerprint;
    m_intents->record(d->intentName, d->intent,
                      [this, d](const intent_outcome &outcome) { onIntent(d, outcome); });
}

void gate_front::onIntent(const dispatched_ptr &d, const intent_outcome &outcome)
{
    switch (outcome.what) {
    case intent_outcome::kind::Recorded:
        d->intentVersion = outcome.version;
        // The row may have taken long; the grant and the request must still be good.
        if (mono_clock::now() >= std::min(d->info->authority, d->what->request->deadline)) {
            answerNotRun(d, refusal::deadline);
            return;
        }
        send(d);
        return;
    case intent_outcome::kind::Exists:
        finish(d, false, internal::replayed(outcome.existing, d->what->request->fingerprint));
        return;
    case intent_outcome::kind::Failed:
        finish(d, false, makeRefused(503, run_state::NotRun, refusal::platform));
        return;
    }
}

void gate_front::send(const dispatched_ptr &d)
{
    d->at->exchange->send(*d->what->request, *d->info, d->what->epoch, d->what->cancel.get_token(),
                          [this, d](const exchange_outcome &outcome) { onExchange(d, outcome); });
}

void gate_front::onExchange(const dispatched_ptr &d, const exchange_outcome &outcome)
{
    switch (outcome.what) {
    case exchange_outcome::kind::Answered:
        m_crashes.noteServed(d->what->request->fingerprint);
        answerRun(d, outcome);
        return;
    case exchange_outcome::kind::RefusedNotRun:
    case exchange_outcome::kind::NeverSent:
        answerNotRun(d, outcome.reason);
        return;
    case exchange_outcome::kind::TargetLost:
        m_crashes.noteCrash(d->what->request->fingerprint, d->info->target);
        answerDoubt(d, outcome);
        return;
    case exchange_outcome::kind::TimedOut:
    case exchange_outcome::kind::BadAnswer:
        answerDoubt(d, outcome);
        return;
    }
}

void gate_front::answerRun(const dispatched_ptr &d, const exchange_outcome &outcome)
{
    forward_answer answer;
    answer.status = outcome.status;
    answer.contentType = outcome.contentType;
    answer.body = outcome.body;
    answer.state = run_state::Run;
    answer.epoch = d->what->epoch;
    answer.owner = d->info->target.str();
    if (d->what->request->idempotent || outcome.body->size() > internal::maxRecordedBody) {
        finish(d, true, answer);
        return;
    }
    intent_row row = d->intent;
    row.done = true;
    row.status = outcome.status;
    row.contentType = outcome.contentType;
    row.body = utility::conversions::to_base64(*outcome.body);
    row.owner = d->info->target.str();
    m_intents->complete(d->intentName, d->intentVersion, row,
                        [this, d, answer] { finish(d, true, answer); });
}

void gate_front::answerNotRun(const dispatched_ptr &d, std::string_view reason)
{
    const forward_answer answer = makeRefused(503, run_state::NotRun, reason);
    if (d->what->request->idempotent) {
        finish(d, false, answer);
        return;
    }
    // The answer follows the withdrawal, so that the request can be sent elsewhere at once.
    m_intents->withdraw(d->intentName, d->intentVersion,
                        [this, d, answer] { finish(d, false, answer); });
}

void gate_front::answerDoubt(const dispatched_ptr &d, const exchange_outcome &outcome)
{
    const int status = outcome.what == exchange_outcome::kind::TimedOut ? 504 : 502;
    finish(d, false, makeRefused(status, run_state::Unknown, outcome.reason));
}

void gate_front::finish(const dispatched_ptr &d, bool served, const forward_answer &answer)
{
    {
        const std::lock_guard lock(d->at->mutex);
        d->at->queue.finish(d->number, served, mono_clock::now());
        d->at->requests.erase(d->number);
    }
    d->what->done(answer);
    pump(d->at);
}

void gate_front::expire(time_point now)
{
    std::vector<std::shared_ptr<gate>> gates;
    {
        const std::unique_lock lock(m_gatesMutex);
        for (const auto &[target, g] : m_gates) {
            gates.push_back(g);
        }
        const auto gone = [](const std::weak_ptr<gate> &g) { return g.expired(); };
        m_left.erase(std::remove_if(m_left.begin(), m_left.end(), gone), m_left.end());
        for (const std::weak_ptr<gate> &left : m_left) {
            if (std::shared_ptr<gate> g = left.lock()) {
                gates.push_back(std::move(g));
            }
        }
    }
    for (const std::shared_ptr<gate> &g : gates) {
        std::vector<std::shared_ptr<pending>> late;
        std::vector<std::shared_ptr<pending>> overdue;
        {
            const std::lock_guard lock(g->mutex);
            for (const request_number number : g->queue.expire(now)) {
                late.push_back(g->requests[number]);
                g->requests.erase(number);
            }
            for (const auto &[number, p] : g->requests) {
                if (p->sent && p->request->deadline <= now) {
                    overdue.push_back(p);
                }
            }
        }
        for (const auto &p : late) {
            p->done(makeRefused(503, run_state::NotRun, refusal::deadline));
        }
        for (const auto &p : overdue) {
            p->cancel.cancel();
        }
        pump(g); // A cold target may have become warm.
    }
}

std::size_t gate_front::inside() const
{
    const std::shared_lock lock(m_gatesMutex);
    std::size_t count = 0;
    for (const auto &[target, g] : m_gates) {
        const std::lock_guard gateLock(g->mutex);
        count += g->requests.size();
    }
    return count;
}

} // namespace damaskward
