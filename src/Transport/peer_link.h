/// \file
/// \brief Calls to one other VM, one after the other, on a thread of their own.

#pragma once

#include "../Core/bounded_ring.h"
#include "../Core/ids.h"
#include "../Core/time.h"

#include <json/json.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace damaskward {

/// \class peer_link
/// \brief A bounded ring of JSON-RPC calls and the thread that makes them.
///
/// A peer that does not answer holds up its own link only. When the ring is full a call fails at
/// once.
///
/// \code
/// peer_link link("127.0.0.2:8081", secret, milliseconds(300));
/// link.call("draw", parameters, [](const Json::Value *result) { ... });
/// \endcode
class peer_link
{
public:
    /// Gets the result, or null when there was none. Called on the link's thread.
    using callback = std::function<void(const Json::Value *result)>;

    /// \param address the peer's control address, IP:PORT
    /// \param secret proves that this VM belongs to the system
    /// \param timeout how long one call may take
    peer_link(const std::string &address, const std::string &secret, milliseconds timeout);
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// Queues a call. Thread-safe.
    void call(const std::string &method, const Json::Value &parameters, callback done);

    /// \returns the bytes sent and received so far, bodies only.
    std::uint64_t bytes() const { return m_bytes; }

private:
    struct pending_call
    {
        std::string method;
        Json::Value parameters;
        callback done;
    };
    class connection;

    void run();

    std::unique_ptr<connection> m_connection;
    std::atomic<std::uint64_t> m_bytes{0};
    bounded_ring<std::shared_ptr<pending_call>> m_calls;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace damaskward
