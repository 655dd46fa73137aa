#include "gate_link.h"

#include "../Transport/http_text.h"

#include <algorithm>

namespace damaskward {
namespace internal {

/// Upper bound only: the entry cancels an attempt soon after the request's deadline.
constexpr std::chrono::seconds forwardTimeout{120};
constexpr const char *forwardPrefix = "/forward/";
constexpr const char *fingerprintHeader = "Damask-Fingerprint";
constexpr const char *atMostOnceHeader = "Damask-At-Most-Once";

http_call makeForwardCall(const std::string &address, const forward_request &request,
                          const std::string &secret)
{
    const time_point now = mono_clock::now();
    http_call call;
    call.address = address;
    call.method = request.method;
    call.path = forwardPrefix + web::uri::encode_data_string(request.service.str()) + "/"
        + web::uri::encode_data_string(request.key);
    call.fields = {{header::secret, secret},
                   {header::requestId, request.requestId},
                   {header::team, request.team.str()},
                   {header::target, request.target.name},
                   {header::deadline,
                    std::to_string(std::max<std::int64_t>(0, toMillis(request.deadline - now)))},
                   {fingerprintHeader, std::to_string(request.fingerprint)}};
    if (request.shard) {
        call.fields.emplace_back(header::shard, std::to_string(*request.shard));
    }
    if (!request.idempotencyKey.empty()) {
        call.fields.emplace_back(header::idempotencyKey, request.idempotencyKey);
    }
    if (!request.idempotent) {
        call.fields.emplace_back(atMostOnceHeader, "1");
    }
    if (request.body != nullptr && !request.body->empty()) {
        call.body.assign(request.body->begin(), request.body->end());
        call.contentType = request.contentType;
    }
    call.deadline = now + forwardTimeout;
    call.needsNewConnection = !request.idempotent;
    return call;
}

forward_answer forwardAnswer(const http_outcome &outcome)
{
    if (neverSent(outcome.failure)) {
        return makeRefused(503, run_state::NotRun, refusal::unreachable);
    }
    if (outcome.failure == http_failure::TimedOut) {
        return makeRefused(504, run_state::Unknown, refusal::deadline);
    }
    if (outcome.failure == http_failure::Lost) {
        return makeRefused(502, run_state::Unknown, refusal::lost);
    }
    forward_answer answer;
    answer.status = outcome.status;
    answer.contentType = outcome.field("Content-Type");
    answer.state = parseRunState(outcome.field(header::runState));
    answer.reason = outcome.field(header::reason);
    answer.owner = outcome.field(header::owner);
    answer.epoch = numberIn(outcome.field(header::epoch)).value_or(0);
    answer.body = std::make_shared<const std::vector<unsigned char>>(outcome.body.begin(),
                                                                     outcome.body.end());
    return answer;
}

} // namespace internal

void gate_link::forward(const std::string &address,
                        const std::shared_ptr<const forward_request> &request,
                        const pplx::cancellation_token &cancel, answer_callback done)
{
    m_channel.send(internal::makeForwardCall(address, *request, m_secret), cancel)
        .then([done = std::move(done)](const http_outcome &outcome) {
            done(internal::forwardAnswer(outcome));
        });
}

std::shared_ptr<forward_request> readForwarded(const web::http::http_request &message)
{
    const std::string path = message.relative_uri().path();
    const std::string prefix = internal::forwardPrefix;
    if (path.compare(0, prefix.size(), prefix) != 0) {
        return nullptr;
    }
    const std::optional<request_path> parts = splitPath(web::uri(path.substr(prefix.size() - 1)));
    const auto &headers = message.headers();
    const std::optional<std::uint64_t> millis = headerNumber(headers, header::deadline);
    if (!parts || !millis) {
        return nullptr;
    }
    auto request = std::make_shared<forward_request>();
    request->service = service_id(parts->service);
    request->key = parts->key;
    request->method = message.method();
    request->contentType = headers.content_type();
    request->team = team_id(headerText(headers, header::team));
    request->requestId = headerText(headers, header::requestId);
    request->idempotencyKey = headerText(headers, header::idempotencyKey);
    request->idempotent = !headers.has(internal::atMostOnceHeader);
    request->fingerprint = headerNumber(headers, internal::fingerprintHeader).value_or(0);
    request->target = {request->service, headerText(headers, header::target)};
    const std::optional<std::uint64_t> shard = headerNumber(headers, header::shard);
    if (shard) {
        request->shard = static_cast<std::uint32_t>(*shard);
    }
    request->deadline = mono_clock::now() + milliseconds(*millis);
    return request;
}

web::http::http_response writeForwardedAnswer(const forward_answer &answer)
{
    web::http::http_response response(static_cast<web::http::status_code>(answer.status));
    auto &headers = response.headers();
    headers.add(header::runState, std::string(toString(answer.state)));
    if (!answer.reason.empty()) {
        headers.add(header::reason, answer.reason);
    }
    if (!answer.owner.empty()) {
        headers.add(header::owner, answer.owner);
    }
    headers.add(header::epoch, answer.epoch);
    if (answer.body != nullptr) {
        response.set_body(*answer.body);
        if (!answer.contentType.empty()) {
            headers.set_content_type(answer.contentType);
        }
    }
    return response;
}

} // namespace damaskward
