#include "grant_client.h"

#include "../Core/json.h"
#include "../Ownership/message_text.h"
#include "../Transport/http_client.h"

namespace damaskward {

using web::http::http_exception;
using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;

bool neverConnected(const http_exception &e)
{
    // An established connection can fail with this code too, so the message is checked as well.
    return e.error_code() == std::errc::host_unreachable
        && std::string(e.what()).find("Failed to connect") != std::string::npos;
}

grant_client::grant_client(milliseconds timeout)
    : m_timeout(timeout)
    , m_bytes(std::make_shared<std::atomic<std::uint64_t>>(0))
{ }

std::shared_ptr<http_client> grant_client::client(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    std::shared_ptr<http_client> &known = m_clients[address];
    if (known == nullptr) {
        known = makeHttpClient(address, m_timeout);
    }
    return known;
}

void grant_client::send(const std::string &address, const grant_request &request,
                        std::function<void(const grant_outcome &)> done)
{
    http_request message(web::http::methods::POST);
    message.set_request_uri("/control/grant");
    const std::string text = writeJson(toJson(request));
    message.set_body(text, "application/json");
    *m_bytes += text.size();
    const std::shared_ptr<http_client> connection = client(address);
    connection->request(message)
        .then([](const http_response &response) { return response.extract_utf8string(true); })
        .then([connection, done = std::move(done),
               bytes = m_bytes](const pplx::task<std::string> &task) {
            grant_outcome outcome;
            try {
                const std::string answer = task.get();
                *bytes += answer.size();
                const std::optional<Json::Value> value = readJsonObject(answer);
                if (value) {
                    outcome.answer = readGrantAnswer(*value);
                }
            } catch (const http_exception &e) {
                outcome.connectionRefused = neverConnected(e);
            } catch (const std::exception &) {
                outcome.answer.reset();
            }
            done(outcome);
        });
}

} // namespace damaskward
