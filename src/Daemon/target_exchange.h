/// \file
/// \brief Sends a request to a target and validates the answer.

#pragma once

#include "../Transport/http_channel.h"
#include "control_view.h"
#include "forwarding.h"

#include <functional>
#include <memory>
#include <string>

namespace damaskward {

/// The outcome of an exchange with a target.
struct exchange_outcome
{
    enum class kind {
        Answered, ///< a complete answer to this request
        RefusedNotRun, ///< the target reports that the request did not run
        NeverSent, ///< no connection could be opened
        TargetLost, ///< the connection broke while the request may have run
        TimedOut, ///< cancelled or past its deadline; the request may have run
        BadAnswer ///< the answer may be incomplete or belong to another request
    };
    kind what = kind::TargetLost;
    int status = 0;
    std::string contentType;
    shared_body body;
    std::string reason;
};

/// \class target_exchange
/// \brief Sends requests to one target and validates the answers.
///
/// An answer must be complete and carry the id of its request.
///
/// Each non-idempotent request gets a connection of its own: on a reused one, a close of the idle
/// connection by the target could not be told from the loss of the request.
///
/// \code
/// target_exchange exchange("127.0.0.1:9000");
/// exchange.send(request, gate, epoch, cancel, [](const exchange_outcome &outcome) { ... });
/// \endcode
class target_exchange
{
public:
    using callback = std::function<void(const exchange_outcome &)>;

    /// \param address IP:PORT
    /// \param channel sends the requests
    explicit target_exchange(const std::string &address,
                             http_channel &channel = http_channel::shared());

    /// Sends a request; \a done is called on a network thread.
    /// \param cancel aborts the exchange, which closes its connection
    void send(const forward_request &request, const gate_info &gate, std::uint64_t epoch,
              const pplx::cancellation_token &cancel, callback done);

private:
    const std::string m_address;
    http_channel &m_channel;
};

} // namespace damaskward
