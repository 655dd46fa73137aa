#include "peer_socket.h"

namespace damaskward {
using boost::asio::ip::udp;
using boost::system::error_code;

peer_socket::peer_socket(boost::asio::io_context &loop, const handler_guard &guard,
                         const std::string &ip, std::uint16_t port, handler received)
    : m_guard(guard)
    , m_socket(loop, udp::endpoint(boost::asio::ip::make_address(ip), port))
    , m_port(port)
    , m_received(std::move(received))
{
    m_socket.non_blocking(true);
    receive();
}

void peer_socket::sendBytes(const std::string &ip, const std::string &bytes)
{
    if (bytes.empty()) {
        ++m_counts.unsentCount; // The node logs the count.
        return;
    }
    error_code error;
    const auto address = boost::asio::ip::make_address(ip, error);
    if (error) {
        return;
    }
    // A failed send is treated like a datagram lost in transit: every message is either repeated or
    // superseded by a later one.
    const std::size_t sent =
        m_socket.send_to(boost::asio::buffer(bytes), {address, m_port}, 0, error);
    if (error) {
        return;
    }
    ++m_counts.sentCount;
    m_counts.sentBytes += sent;
    kind_traffic &kind = m_sentByKind[kindOfMessage(bytes)];
    ++kind.count;
    kind.bytes += sent;
}

void peer_socket::receive()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_from, [this](error_code error, std::size_t count) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                ++m_counts.receivedCount;
                m_counts.receivedBytes += count;
                m_guard.run("peer message", [&] { handleDatagram({m_buffer.data(), count}); });
            }
            receive();
        });
}

void peer_socket::handleDatagram(std::string_view datagram)
{
    if (auto message = decodeMessage(datagram)) {
        m_received(std::move(*message), m_from.address().to_string());
    } else {
        ++m_counts.malformedCount; // The node logs the count.
    }
}

void peer_socket::updateGauges(metrics &gauges) const
{
    gauges.gauge("peer_bytes_sent", static_cast<double>(m_counts.sentBytes));
    gauges.gauge("peer_bytes_received", static_cast<double>(m_counts.receivedBytes));
    gauges.gauge("peer_messages_sent", static_cast<double>(m_counts.sentCount));
    gauges.gauge("peer_messages_received", static_cast<double>(m_counts.receivedCount));
    gauges.gauge("peer_messages_unsent", static_cast<double>(m_counts.unsentCount));
    gauges.gauge("peer_messages_malformed", static_cast<double>(m_counts.malformedCount));
    for (const auto &[kind, sent] : m_sentByKind) {
        const std::string name(kind);
        gauges.gauge("peer_bytes_sent_" + name, static_cast<double>(sent.bytes));
        gauges.gauge("peer_messages_sent_" + name, static_cast<double>(sent.count));
    }
}

} // namespace damaskward
