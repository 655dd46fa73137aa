/// \file
/// \brief UDP datagrams between VMs, using Boost.Asio.

#pragma once

#include "../Metrics/metrics.h"
#include "../Proxy/handler_guard.h"
#include "peer_message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace damaskward {

/// \class peer_socket
/// \brief Sends and receives peer messages over UDP, which may lose some. Must be used on the event
/// loop's thread.
///
/// \code
/// const auto handle = [](peer_message &&message, const std::string &ip) {};
/// peer_socket socket(loop, guard, "10.1.0.37", 7560, handle);
/// socket.send("10.1.0.38", message);
/// \endcode
class peer_socket
{
public:
    using handler = std::function<void(peer_message &&, const std::string &fromIp)>;

    /// \param guard runs the handler; a message whose handler fails is dropped
    /// \param ip this VM's address
    /// \param port the local port, and the port of all other VMs
    /// \param received called with each well-formed message and its sender's address
    /// \throws boost::system::system_error if the port is already in use
    peer_socket(boost::asio::io_context &loop, const handler_guard &guard, const std::string &ip,
                std::uint16_t port, handler received);

    void send(const std::string &ip, const peer_message &message)
    {
        sendBytes(ip, encodeMessage(message));
    }
    /// Sends an encoded message, unless it is empty. Saves encoding a message again for each
    /// recipient.
    void sendBytes(const std::string &ip, const std::string &bytes);

    /// What has passed through the socket since construction.
    struct traffic
    {
        std::uint64_t sentCount = 0;
        std::uint64_t sentBytes = 0;
        std::uint64_t receivedCount = 0;
        std::uint64_t receivedBytes = 0;
        std::uint64_t malformedCount = 0; ///< of those received, dropped
        std::uint64_t unsentCount = 0; ///< not sent, because they exceed the limits
    };
    const traffic &counts() const { return m_counts; }
    /// Sets the gauges of the traffic.
    void updateGauges(metrics &gauges) const;

    /// Messages of one kind that were sent.
    struct kind_traffic
    {
        std::uint64_t count = 0;
        std::uint64_t bytes = 0;
    };
    /// \returns by kind what was sent since construction.
    const std::map<std::string_view, kind_traffic> &sentByKind() const { return m_sentByKind; }

private:
    void receive();

    void handleDatagram(std::string_view datagram);

    const handler_guard &m_guard;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_from;
    std::array<char, 65536> m_buffer{};
    std::uint16_t m_port;
    handler m_received;
    traffic m_counts;
    std::map<std::string_view, kind_traffic> m_sentByKind;
};

} // namespace damaskward
