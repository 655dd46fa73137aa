#include "target_exchange.h"

#include "../Transport/headers.h"

#include <cpprest/base_uri.h>

#include <algorithm>

namespace damaskward {
namespace internal {

/// Upper bound only: each exchange is normally cancelled at its request's deadline.
constexpr std::chrono::seconds exchangeTimeout{120};

http_call makeCall(const std::string &address, const forward_request &request,
                   const gate_info &gate, std::uint64_t epoch, time_point deadline)
{
    const time_point now = mono_clock::now();
    http_call call;
    call.address = address;
    call.method = request.method;
    call.path = "/" + web::uri::encode_data_string(request.service.str()) + "/"
        + web::uri::encode_data_string(request.key);
    call.fields = {
        {header::requestId, request.requestId},
        {header::team, request.team.str()},
        {header::gateTerm, std::to_string(gate.gateTerm)},
        {header::deadline, std::to_string(std::max<std::int64_t>(0, toMillis(deadline - now)))}};
    if (request.shard) {
        call.fields.emplace_back(header::shard, std::to_string(*request.shard));
        call.fields.emplace_back(header::epoch, std::to_string(epoch));
    }
    if (!request.idempotencyKey.empty()) {
        call.fields.emplace_back(header::idempotencyKey, request.idempotencyKey);
    }
    if (request.body != nullptr && !request.body->empty()) {
        call.body.assign(request.body->begin(), request.body->end());
        call.contentType = request.contentType;
    }
    call.deadline = now + exchangeTimeout;
    call.needsNewConnection = !request.idempotent;
    return call;
}

exchange_outcome failedOutcome(http_failure failure)
{
    exchange_outcome outcome;
    if (neverSent(failure)) {
        outcome.what = exchange_outcome::kind::NeverSent;
        outcome.reason = std::string(refusal::unreachable);
    } else if (failure == http_failure::TimedOut) {
        outcome.what = exchange_outcome::kind::TimedOut;
        outcome.reason = std::string(refusal::deadline);
    } else {
        outcome.what = exchange_outcome::kind::TargetLost;
        outcome.reason = std::string(refusal::lost);
    }
    return outcome;
}

exchange_outcome exchangeOutcome(const http_outcome &answer, const std::string &requestId)
{
    if (answer.failure != http_failure::None) {
        return failedOutcome(answer.failure);
    }
    exchange_outcome outcome;
    outcome.status = answer.status;
    outcome.contentType = answer.field("Content-Type");
    outcome.body =
        std::make_shared<const std::vector<unsigned char>>(answer.body.begin(), answer.body.end());
    if (answer.field(header::requestId) != requestId) {
        outcome.what = exchange_outcome::kind::BadAnswer;
        outcome.reason = std::string(refusal::crossed);
        return outcome;
    }
    if (!answer.isFramed()) {
        outcome.what = exchange_outcome::kind::BadAnswer;
        outcome.reason = std::string(refusal::unframed);
        return outcome;
    }
    const std::string state = answer.field(header::runState);
    if (!state.empty() && parseRunState(state) == run_state::Unknown) {
        // The target started the request but did not complete it.
        outcome.what = exchange_outcome::kind::TimedOut;
        outcome.reason = std::string(refusal::deadline);
        return outcome;
    }
    const bool notRun = !state.empty() && parseRunState(state) == run_state::NotRun;
    outcome.what =
        notRun ? exchange_outcome::kind::RefusedNotRun : exchange_outcome::kind::Answered;
    outcome.reason = notRun ? answer.field(header::reason) : "";
    return outcome;
}

} // namespace internal

target_exchange::target_exchange(const std::string &address, http_channel &channel)
    : m_address(address)
    , m_channel(channel)
{ }

void target_exchange::send(const forward_request &request, const gate_info &gate,
                           std::uint64_t epoch, const pplx::cancellation_token &cancel,
                           callback done)
{
    const time_point deadline = std::min(request.deadline, gate.authority);
    m_channel.send(internal::makeCall(m_address, request, gate, epoch, deadline), cancel)
        .then([id = request.requestId, done = std::move(done)](const http_outcome &answer) {
            done(internal::exchangeOutcome(answer, id));
        });
}

} // namespace damaskward
