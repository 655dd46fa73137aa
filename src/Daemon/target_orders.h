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

/// How an order to a target ended.
struct order_outcome
{
    std::optional<grant_answer> answer;
    bool connectionRefused = false; ///< nobody listens at the address
};

/// \returns whether a failed exchange never left this machine: no connection could be opened.
bool neverConnected(const web::http::http_exception &e);

/// \class target_orders
/// \brief Asynchronous orders to targets over HTTP. Thread-safe.
///
/// \code
/// orders.send("127.0.0.1:9000", request, [](const order_outcome &outcome) { ... });
/// \endcode
class target_orders
{
public:
    /// \param timeout how long one order may take
    explicit target_orders(milliseconds timeout);

    /// Sends an order; \a done is called on a network thread.
    void send(const std::string &address, const grant_request &request,
              std::function<void(const order_outcome &)> done);
    /// \returns the bytes of bodies sent and received so far.
    std::uint64_t bytes() const { return *m_bytes; }

private:
    std::shared_ptr<web::http::client::http_client> client(const std::string &address);

    const milliseconds m_timeout;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<web::http::client::http_client>> m_clients;
    std::shared_ptr<std::atomic<std::uint64_t>> m_bytes; ///< shared with the answers to come
};

} // namespace damaskward
