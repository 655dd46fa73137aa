/// \file
/// \brief Sequential JSON-RPC calls to one other VM on a dedicated thread.

#pragma once

#include "../Core/bounded_queue.h"
#include "../Core/ids.h"
#include "../Core/time.h"
#include "http_channel.h"

#include <json/json.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace damaskward {

/// \class peer_link
/// \brief A bounded queue of JSON-RPC calls and the thread that makes them.
///
/// An unresponsive peer delays only the calls of its own link. A call fails immediately when the
/// queue is full.
///
/// \code
/// peer_link link("127.0.0.2:8081", secret, milliseconds(300));
/// link.call("draw", parameters, [](const Json::Value *result) { ... });
/// \endcode
class peer_link
{
public:
    /// Receives the result, or null when the call failed. Called on the link's thread, or within
    /// call() when the queue is full.
    using callback = std::function<void(const Json::Value *result)>;

    /// \param address the peer's control address, IP:PORT
    /// \param secret authenticates this VM to the peer
    /// \param timeout maximum duration of one call
    /// \param channel sends the calls
    peer_link(const std::string &address, const std::string &secret, milliseconds timeout,
              http_channel &channel = http_channel::shared());
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// Queues a call. Thread-safe.
    void call(const std::string &method, const Json::Value &parameters, callback done);

    /// \returns the number of body bytes sent and received so far.
    std::uint64_t bytes() const { return m_bytes; }

private:
    struct pending_call
    {
        std::string method;
        Json::Value parameters;
        callback done;
    };

    bool exchange(const std::string &request, std::string &answer);
    void run();

    const std::string m_address;
    const std::string m_secret;
    const milliseconds m_timeout;
    http_channel &m_channel;
    std::atomic<std::uint64_t> m_bytes{0};
    bounded_queue<std::shared_ptr<pending_call>> m_calls;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace damaskward
