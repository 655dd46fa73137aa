#include "http_server.h"

namespace damaskward {

using web::http::experimental::listener::http_listener;
using web::http::experimental::listener::http_listener_config;

http_server::http_server(const std::string &address, const handler &handle)
    : m_address(address)
{
    http_listener_config config;
    constexpr int backlog = 512;
    config.set_backlog(backlog);
    m_listener = std::make_unique<http_listener>(web::uri("http://" + address), config);
    m_listener->support(handle);
}

http_server::~http_server()
{
    close();
}

result<void> http_server::open()
{
    try {
        m_listener->open().wait();
        m_open = true;
        return {};
    } catch (const std::exception &e) {
        return fail("listen", m_address, e.what());
    }
}

void http_server::close()
{
    if (!m_open) {
        return;
    }
    m_open = false;
    try {
        m_listener->close().wait();
    } catch (const std::exception &) {
        // The process is shutting down, so there is no one left to report the error to.
    }
}

} // namespace damaskward
