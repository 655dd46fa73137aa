#include "grant_client.h"

#include "../Core/json.h"
#include "../Ownership/message_text.h"

namespace damaskward {

grant_client::grant_client(milliseconds timeout, http_channel &channel)
    : m_timeout(timeout)
    , m_channel(channel)
    , m_bytes(std::make_shared<std::atomic<std::uint64_t>>(0))
{ }

void grant_client::send(const std::string &address, const grant_request &request,
                        std::function<void(const grant_outcome &)> done)
{
    http_call call;
    call.address = address;
    call.method = "POST";
    call.path = "/control/grant";
    call.contentType = "application/json";
    call.body = writeJson(toJson(request));
    call.deadline = mono_clock::now() + m_timeout;
    *m_bytes += call.body.size();
    m_channel.send(std::move(call))
        .then([done = std::move(done), bytes = m_bytes](const http_outcome &answer) {
            grant_outcome outcome;
            outcome.connectionRefused = answer.failure == http_failure::Refused;
            *bytes += answer.body.size();
            if (answer.failure == http_failure::None) {
                if (const auto value = readJsonObject(answer.body)) {
                    outcome.answer = readGrantAnswer(*value);
                }
            }
            done(outcome);
        });
}

} // namespace damaskward
