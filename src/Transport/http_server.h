/// \file
/// \brief HTTP server on one address. Source: cpprestsdk.

#pragma once

#include "../Core/error.h"

#include <cpprest/http_listener.h>

#include <functional>
#include <memory>
#include <string>

namespace damaskward {

/// \class http_server
/// \brief Opens and closes one cpprest listener.
///
/// The handler is called concurrently on cpprest's threads.
///
/// \code
/// http_server server("127.0.0.1:8080", [](web::http::http_request request) { ... });
/// result<void> opened = server.open();
/// \endcode
class http_server
{
public:
    using handler = std::function<void(web::http::http_request)>;

    /// \param address IP:PORT
    http_server(const std::string &address, const handler &handle);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Starts listening. \returns an error when it cannot listen at the address.
    result<void> open();
    /// Stops listening. Requests already received are still answered.
    void close();

private:
    std::string m_address;
    std::unique_ptr<web::http::experimental::listener::http_listener> m_listener;
    bool m_open = false;
};

} // namespace damaskward
