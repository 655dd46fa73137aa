/// \file
/// \brief Endpoints and options of TCP connections. Source: Boost.Asio.

#pragma once

#include "peer_silence.h"

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace damaskward {

/// \returns \a address (IP:PORT) as an endpoint, or nothing if it is not one.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

/// \returns \a address (IP:PORT) as an endpoint. \throws boost::system::system_error
boost::asio::ip::tcp::endpoint tcpEndpoint(std::string_view address);

/// Disables Nagle's algorithm and enables keep-alive probes. They detect a lost peer within about
/// 3 s while no data is outstanding; otherwise the kernel sends none, see peer_silence.
void setUpSocket(boost::asio::ip::tcp::socket &socket);

/// \returns the status of the data sent on \a socket, all acknowledged if it is not connected.
send_status sendStatus(boost::asio::ip::tcp::socket &socket);

} // namespace damaskward
