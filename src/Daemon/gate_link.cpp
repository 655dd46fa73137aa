#include "gate_link.h"

#include "../Transport/http_client.h"
#include "../Transport/http_text.h"
#include "grant_client.h"

namespace damaskward {
namespace internal {

using web::http::http_exception;
using web::http::http_request;
using web::http::http_response;

/// Upper bound only: the entry cancels an attempt soon after the request's deadline.
constexpr std::chrono::seconds forwardTimeout{120};
constexpr const char *forwardPrefix = "/forward/";
constexpr const char *fingerprintHeader = "Damask-Fingerprint";
constexpr const char *atMostOnceHeader = "Damask-At-Most-Once";

http_request makeForwardMessage(const forward_request &request, const std::string &secret)
{
    http_request message(request.method);
    message.set_request_uri(web::uri(forwardPrefix
                                     + web::uri::encode_data_string(request.service.str()) + "/"
                                     + web::uri::encode_data_string(request.key)));
    auto &headers = message.headers();
    headers.add(header::secret, secret);
    headers.add(header::requestId, request.requestId);
    headers.add(header::team, request.team.str());
    headers.add(header::target, request.target.name);
    headers.add(header::deadline,
                std::max<std::int64_t>(0, toMillis(request.deadline - mono_clock::now())));
    headers.add(fingerprintHeader, request.fingerprint);
    if (request.shard) {
        headers.add(header::shard, *request.shard);
    }
    if (!request.idempotencyKey.empty()) {
        headers.add(header::idempotencyKey, request.idempotencyKey);
    }
    if (!request.idempotent) {
        headers.add(atMostOnceHeader, "1");
    }
    if (request.body != nullptr && !request.body->empty()) {
        message.set_body(*request.body);
        headers.set_content_type(request.contentType);
    }
    return message;
}

forward_answer readAnswerHead(const http_response &response)
{
    forward_answer answer;
    answer.status = response.status_code();
    answer.contentType = response.headers().content_type();
    answer.state = parseRunState(headerText(response.headers(), header::runState));
    answer.reason = headerText(response.headers(), header::reason);
    answer.owner = headerText(response.headers(), header::owner);
    answer.epoch = headerNumber(response.headers(), header::epoch).value_or(0);
    return answer;
}

forward_answer failedAnswer(const std::exception_ptr &failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const http_exception &e) {
        if (neverConnected(e)) {
            return makeRefused(503, run_state::NotRun, refusal::unreachable);
        }
        return makeRefused(502, run_state::Unknown, refusal::lost);
    } catch (const pplx::task_canceled &) {
        return makeRefused(504, run_state::Unknown, refusal::deadline);
    } catch (const std::exception &) {
        return makeRefused(502, run_state::Unknown, refusal::lost);
    }
}

} // namespace internal

std::shared_ptr<web::http::client::http_client> gate_link::clientFor(const std::string &address,
                                                                     bool idempotent)
{
    if (!idempotent) {
        // A reused connection may send the request twice, see target_exchange.
        return makeHttpClient(address, internal::forwardTimeout);
    }
    const std::lock_guard lock(m_mutex);
    std::shared_ptr<web::http::client::http_client> &known = m_clients[address];
    if (known == nullptr) {
        known = makeHttpClient(address, internal::forwardTimeout);
    }
    return known;
}

void gate_link::forward(const std::string &address,
                        const std::shared_ptr<const forward_request> &request,
                        const pplx::cancellation_token &cancel, answer_callback done)
{
    const auto client = clientFor(address, request->idempotent);
    auto answer = std::make_shared<forward_answer>();
    client->request(internal::makeForwardMessage(*request, m_secret), cancel)
        .then([answer](const web::http::http_response &response) {
            *answer = internal::readAnswerHead(response);
            return response.extract_vector();
        })
        .then([answer, client, request,
               done = std::move(done)](const pplx::task<std::vector<unsigned char>> &task) {
            try {
                answer->body = std::make_shared<const std::vector<unsigned char>>(task.get());
            } catch (...) {
                *answer = internal::failedAnswer(std::current_exception());
            }
            done(*answer);
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
