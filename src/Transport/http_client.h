/// \file
/// \brief Creates HTTP clients for load generators. The daemon makes its calls with \ref
/// damaskward::http_channel. Source: cpprestsdk.

#pragma once

#include "../Core/time.h"

#include <cpprest/http_client.h>

#include <memory>
#include <string>

namespace damaskward {

/// \param address IP:PORT
/// \param timeout maximum duration of one request and its response
/// \returns a thread-safe client with its own connections.
inline std::shared_ptr<web::http::client::http_client> makeHttpClient(const std::string &address,
                                                                      milliseconds timeout)
{
    web::http::client::http_client_config config;
    config.set_timeout(timeout);
    return std::make_shared<web::http::client::http_client>(web::uri("http://" + address), config);
}

} // namespace damaskward
