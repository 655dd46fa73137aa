/// \file
/// \brief One request to a target and the checks on its answer.

#pragma once

#include "control_view.h"
#include "forwarding.h"

#include <cpprest/http_client.h>

#include <functional>
#include <memory>
#include <string>

namespace damaskward {

/// How an exchange with a target ended.
struct exchange_outcome
{
    enum class kind {
        Answered, ///< the whole answer to this very request
        RefusedNotRun, ///< the target says by its protocol that it did not run
        NeverSent, ///< no connection could be opened
        TargetLost, ///< the connection broke while the request may have run
        TimedOut,
        BadAnswer ///< an answer that cannot be trusted to be whole or to be this request's
    };
    kind what = kind::TargetLost;
    int status = 0;
    std::string contentType;
    shared_body body;
    std::string reason;
};

/// \class target_exchange
/// \brief Sends requests to one target and checks that each answer is whole and its own.
///
/// cpprest's client silently sends a request again when a reused connection is closed without an
/// answer, and it reuses connections whatever `Connection` header the request has. So each
/// non-idempotent request gets a client of its own, whose connection cannot have been used before.
///
/// \code
/// target_exchange exchange("127.0.0.1:9000");
/// exchange.send(request, gate, epoch, deadline, token, [](const exchange_outcome &o) { ... });
/// \endcode
class target_exchange
{
public:
    using callback = std::function<void(const exchange_outcome &)>;

    /// \param address IP:PORT
    explicit target_exchange(const std::string &address);

    /// Sends a request; \a done is called on a network thread.
    /// \param cancel gives the exchange up, which closes its connection
    void send(const forward_request &request, const gate_info &gate, std::uint64_t epoch,
              const pplx::cancellation_token &cancel, callback done);

private:
    const std::string m_address;
    std::shared_ptr<web::http::client::http_client> m_reusing; ///< for idempotent requests
};

} // namespace damaskward
