#include "tcp_endpoint.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <charconv>
#include <string>

namespace damaskward {
using boost::asio::ip::tcp;
using boost::system::error_code;

std::optional<tcp::endpoint> parseEndpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    // make_address() reads only up to a NUL character.
    if (colon == std::string_view::npos || address.find('\0') != std::string_view::npos) {
        return std::nullopt;
    }
    error_code ipError;
    const auto ip = boost::asio::ip::make_address(std::string(address.substr(0, colon)), ipError);
    const std::string_view portText = address.substr(colon + 1);
    const char *const end = portText.data() + portText.size();
    std::uint16_t port = 0;
    const auto [parsedEnd, portError] = std::from_chars(portText.data(), end, port);
    if (ipError || portError != std::errc() || parsedEnd != end) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

tcp::endpoint tcpEndpoint(std::string_view address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        throw boost::system::system_error(make_error_code(boost::system::errc::invalid_argument),
                                          std::string(address));
    }
    return *endpoint;
}

void setUpSocket(tcp::socket &socket)
{
    error_code ignored; // A broken socket reports its error at its next use.
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const auto set = [&socket](int option, int value) {
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
    };
    // An unresponsive peer is detected within about 3 s, the platform's limit for lost contact.
    set(TCP_KEEPIDLE, 1);
    set(TCP_KEEPINTVL, 1);
    set(TCP_KEEPCNT, 2);
}

send_status sendStatus(tcp::socket &socket)
{
    send_status status;
    int outstanding = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &outstanding) != 0 || outstanding <= 0) {
        return status;
    }
    status.hasOutstandingData = true;
    tcp_info info{};
    socklen_t infoBytes = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &infoBytes) == 0) {
        status.unansweredSegments = static_cast<int>(info.tcpi_unacked);
        status.unansweredProbes = info.tcpi_probes;
        status.acknowledgedAt = mono_clock::now() - milliseconds(info.tcpi_last_ack_recv);
    }
    return status;
}

} // namespace damaskward
