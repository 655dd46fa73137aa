/// \file
/// \brief Sends grants to targets.

#pragma once

#include "../Ownership/messages.h"

#include <cpprest/http_client.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace damaskward {

/// The outcome of sending a grant to a target.
struct grant_outcome
{
    std::optional<grant_answer> answer; ///< nothing if no valid answer arrived
    bool connectionRefused = false; ///< no connection to the address could be opened
};

/// \returns whether an exchange failed before anything was sent: no connection could be opened.
bool neverConnected(const web::http::http_exception &e);

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
    explicit grant_client(milliseconds timeout);

    /// Sends a grant; \a done is called on a network thread.
    void send(const std::string &address, const grant_request &request,
              std::function<void(const grant_outcome &)> done);
    /// \returns the number of body bytes sent and received so far.
    std::uint64_t bytes() const { return *m_bytes; }

private:
    std::shared_ptr<web::http::client::http_client> client(const std::string &address);

    const milliseconds m_timeout;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<web::http::client::http_client>> m_clients;
    /// Shared with exchanges in flight, which may outlive this object.
    std::shared_ptr<std::atomic<std::uint64_t>> m_bytes;
};

} // namespace damaskward
