/// \file
/// \brief JSON-RPC server without a socket. Source: libjsonrpccpp.

#pragma once

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace damaskward {

namespace internal {
class rpc_dispatcher;
}

/// \class rpc_server
/// \brief Dispatches JSON-RPC request texts to functions. Opens no socket itself.
///
/// libjsonrpccpp's HTTP server binds to all addresses, so the caller receives the request texts
/// with its own listener, such as http_server.
///
/// \code
/// rpc_server server;
/// server.add("draw", [](const Json::Value &in) { return answer(in); });
/// std::string answer = server.answer(requestText);
/// \endcode
class rpc_server
{
public:
    using method = std::function<Json::Value(const Json::Value &parameters)>;

    rpc_server();
    ~rpc_server();
    rpc_server(const rpc_server &) = delete;
    rpc_server &operator=(const rpc_server &) = delete;

    /// Adds a method that takes named parameters. Must be called before the first request.
    void add(const std::string &name, method call);
    /// Runs one request text and returns the response text. Thread-safe.
    std::string answer(const std::string &request);

private:
    std::unique_ptr<internal::rpc_dispatcher> m_dispatcher;
};

} // namespace damaskward
