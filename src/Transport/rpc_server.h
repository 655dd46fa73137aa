/// \file
/// \brief JSON-RPC methods behind any listener. Source: libjsonrpccpp.

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
/// \brief Maps JSON-RPC methods to functions, without a socket of its own.
///
/// libjsonrpccpp's own HTTP server binds to every address, so a listener of ours hands the
/// request texts in.
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

    /// Adds a method that takes named parameters. Before the first request only.
    void add(const std::string &name, method call);
    /// Answers one request text. Thread-safe.
    std::string answer(const std::string &request);

private:
    std::unique_ptr<internal::rpc_dispatcher> m_dispatcher;
};

} // namespace damaskward
