#include "target_exchange.h"

#include "../Transport/http_client.h"
#include "../Transport/http_text.h"
#include "grant_client.h"

namespace damaskward {
namespace internal {

using web::http::http_exception;
using web::http::http_request;
using web::http::http_response;

/// Upper bound only: each exchange is normally cancelled at its request's deadline.
constexpr std::chrono::seconds exchangeTimeout{120};

http_request makeMessage(const forward_request &request, const gate_info &gate, std::uint64_t epoch,
                         time_point deadline)
{
    http_request message(request.method);
    const std::string path = "/" + web::uri::encode_data_string(request.service.str()) + "/"
        + web::uri::encode_data_string(request.key);
    message.set_request_uri(web::uri(path));
    auto &headers = message.headers();
    headers.add(header::requestId, request.requestId);
    headers.add(header::team, request.team.str());
    headers.add(header::gateTerm, gate.gateTerm);
    headers.add(header::deadline,
                std::max<std::int64_t>(0, toMillis(deadline - mono_clock::now())));
    if (request.shard) {
        headers.add(header::shard, *request.shard);
        headers.add(header::epoch, epoch);
    }
    if (!request.idempotencyKey.empty()) {
        headers.add(header::idempotencyKey, request.idempotencyKey);
    }
    if (request.body != nullptr && !request.body->empty()) {
        message.set_body(*request.body);
        headers.set_content_type(request.contentType);
    }
    return message;
}

/// Validates the status line and the headers of an answer, before the body is read.
exchange_outcome validateHead(const http_response &response, const std::string &requestId)
{
    exchange_outcome outcome;
    outcome.status = response.status_code();
    outcome.contentType = response.headers().content_type();
    const std::string answeredId = headerText(response.headers(), header::requestId);
    if (answeredId != requestId) {
        outcome.what = exchange_outcome::kind::BadAnswer;
        outcome.reason = std::string(refusal::crossed);
        return outcome;
    }
    if (!isFramed(response.headers())) {
        outcome.what = exchange_outcome::kind::BadAnswer;
        outcome.reason = std::string(refusal::unframed);
        return outcome;
    }
    const std::string state = headerText(response.headers(), header::runState);
    if (!state.empty() && parseRunState(state) == run_state::Unknown) {
        // The target started the request but did not complete it.
        outcome.what = exchange_outcome::kind::TimedOut;
        outcome.reason = std::string(refusal::deadline);
        return outcome;
    }
    const bool notRun = !state.empty() && parseRunState(state) == run_state::NotRun;
    outcome.what =
        notRun ? exchange_outcome::kind::RefusedNotRun : exchange_outcome::kind::Answered;
    outcome.reason = notRun ? headerText(response.headers(), header::reason) : "";
    return outcome;
}

exchange_outcome failedOutcome(const std::exception_ptr &failure)
{
    exchange_outcome outcome;
    outcome.reason = std::string(refusal::lost);
    try {
        std::rethrow_exception(failure);
    } catch (const http_exception &e) {
        if (neverConnected(e)) {
            outcome.what = exchange_outcome::kind::NeverSent;
            outcome.reason = std::string(refusal::unreachable);
        } else if (e.error_code() == std::errc::timed_out
                   || e.error_code() == std::errc::operation_canceled) {
            outcome.what = exchange_outcome::kind::TimedOut;
            outcome.reason = std::string(refusal::deadline);
        }
    } catch (const pplx::task_canceled &) {
        outcome.what = exchange_outcome::kind::TimedOut;
        outcome.reason = std::string(refusal::deadline);
    } catch (const std::exception &) {
        outcome.what = exchange_outcome::kind::TargetLost;
    }
    return outcome;
}

} // namespace internal

target_exchange::target_exchange(const std::string &address)
    : m_address(address)
    , m_reusableClient(makeHttpClient(address, internal::exchangeTimeout))
{ }

void target_exchange::send(const forward_request &request, const gate_info &gate,
                           std::uint64_t epoch, const pplx::cancellation_token &cancel,
                           callback done)
{
    const time_point deadline = std::min(request.deadline, gate.authority);
    const auto message = internal::makeMessage(request, gate, epoch, deadline);
    const auto client = request.idempotent ? m_reusableClient
                                           : makeHttpClient(m_address, internal::exchangeTimeout);
    auto outcome = std::make_shared<exchange_outcome>();
    client->request(message, cancel)
        .then([outcome, id = request.requestId](const web::http::http_response &response) {
            *outcome = internal::validateHead(response, id);
            return response.extract_vector();
        })
        .then([outcome, client,
               done = std::move(done)](const pplx::task<std::vector<unsigned char>> &task) {
            try {
                outcome->body = std::make_shared<const std::vector<unsigned char>>(task.get());
            } catch (...) {
                *outcome = internal::failedOutcome(std::current_exception());
            }
            done(*outcome);
        });
}

} // namespace damaskward
