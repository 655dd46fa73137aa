/// \file
/// \brief Forwards admitted requests to gates at other VMs.

#pragma once

#include "../Transport/http_channel.h"
#include "forwarding.h"

#include <cpprest/http_msg.h>

#include <memory>
#include <string>

namespace damaskward {

/// \class gate_link
/// \brief Forwards requests to other VMs' control addresses and reads their answers. Thread-safe.
///
/// \code
/// links.forward("127.0.0.2:8081", request, [](const forward_answer &answer) { ... });
/// \endcode
class gate_link
{
public:
    /// \param channel sends the requests
    explicit gate_link(std::string secret, http_channel &channel = http_channel::shared())
        : m_secret(std::move(secret))
        , m_channel(channel)
    { }

    /// Sends \a request to the control address \a address; \a done is called on a network thread.
    /// \param cancel aborts the exchange
    void forward(const std::string &address, const std::shared_ptr<const forward_request> &request,
                 const pplx::cancellation_token &cancel, answer_callback done);

private:
    const std::string m_secret;
    http_channel &m_channel;
};

/// Reads a forwarded request, without its body, at the gate.
/// \returns null if the message is not a well-formed forwarded request.
std::shared_ptr<forward_request> readForwarded(const web::http::http_request &message);
/// \returns the HTTP response that carries \a answer.
web::http::http_response writeForwardedAnswer(const forward_answer &answer);

} // namespace damaskward
