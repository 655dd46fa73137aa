/// \file
/// \brief Sends grants to targets.

#pragma once

#include "../Ownership/messages.h"
#include "../Transport/http_channel.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace damaskward {

/// The outcome of sending a grant to a target.
struct grant_outcome
{
    std::optional<grant_answer> answer; ///< nothing if no valid answer arrived
    bool connectionRefused = false; ///< no connection to the address could be opened
};

/// \class grant_client
/// \brief Sends grants to targets over HTTP, asynchronously. Thread-safe.
///
/// \code
/// orders.send("127.0.0.1:9000", request, [](const grant_outcome &outcome) { ... });
/// \endcode
class grant_client
{
public:
    /// \param timeout limit for one exchange
    /// \param channel sends the grants
    explicit grant_client(milliseconds timeout, http_channel &channel = http_channel::shared());

    /// Sends a grant; \a done is called on a network thread.
    void send(const std::string &address, const grant_request &request,
              std::function<void(const grant_outcome &)> done);
    /// \returns the number of body bytes sent and received so far.
    std::uint64_t bytes() const { return *m_bytes; }

private:
    const milliseconds m_timeout;
    http_channel &m_channel;
    /// Shared with exchanges in flight, which may outlive this object.
    std::shared_ptr<std::atomic<std::uint64_t>> m_bytes;
};

} // namespace damaskward
