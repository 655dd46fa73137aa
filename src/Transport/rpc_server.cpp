#include "rpc_server.h"

#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>

namespace damaskward {
namespace internal {

/// Calls the method that a request names.
class rpc_dispatcher : public jsonrpc::IProcedureInvokationHandler
{
public:
    rpc_dispatcher()
        : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this))
    { }

    void add(const std::string &name, rpc_server::method call)
    {
        m_methods[name] = std::move(call);
        m_protocol->AddProcedure(
            jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
    }

    std::string answer(const std::string &request)
    {
        std::string text;
        m_protocol->HandleRequest(request, text);
        return text;
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input,
                          Json::Value &output) override
    {
        output = m_methods.at(procedure.GetProcedureName())(input);
    }

    void HandleNotificationCall(jsonrpc::Procedure & /*procedure*/,
                                const Json::Value & /*input*/) override
    { }

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
    std::map<std::string, rpc_server::method> m_methods;
};

} // namespace internal

rpc_server::rpc_server()
    : m_dispatcher(std::make_unique<internal::rpc_dispatcher>())
{ }

rpc_server::~rpc_server() = default;

void rpc_server::add(const std::string &name, method call)
{
    m_dispatcher->add(name, std::move(call));
}

std::string rpc_server::answer(const std::string &request)
{
    try {
        return m_dispatcher->answer(request);
    } catch (const std::exception &) {
        return R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"malformed"}})";
    }
}

} // namespace damaskward
