#include "rpc_call.h"

#include <jsonrpccpp/client.h>

namespace damaskward {
namespace internal {

/// Adapts an rpc_transport to libjsonrpccpp's client.
class transport_connector : public jsonrpc::IClientConnector
{
public:
    explicit transport_connector(const rpc_transport &transport)
        : m_transport(transport)
    { }

    void SendRPCMessage(const std::string &message,
                        std::string &answer) throw(jsonrpc::JsonRpcException) override
    {
        if (!m_transport(message, answer)) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no answer");
        }
    }

private:
    const rpc_transport &m_transport;
};

} // namespace internal

std::string callRpc(const rpc_transport &transport, const std::string &method,
                    const Json::Value &parameters, Json::Value &result)
{
    internal::transport_connector connector(transport);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        result = client.CallMethod(method, parameters);
        return std::string();
    } catch (const jsonrpc::JsonRpcException &e) {
        return e.GetMessage().empty() ? std::string("failed") : e.GetMessage();
    } catch (const Json::Exception &) {
        return std::string("malformed JSON-RPC response");
    }
}

} // namespace damaskward
