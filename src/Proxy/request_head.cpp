#include "request_head.h"

#include <boost/beast/http/verb.hpp>

namespace damaskward {
namespace http = boost::beast::http;

std::string makeRequestHead(const http_request &request, const header_names &names,
                            const std::string &target, const team_id &team, milliseconds left,
                            std::size_t bodyBytes)
{
    const auto beastView = [](const std::string &text) {
        return boost::beast::string_view(text.data(), text.size());
    };
    http_request out;
    out.method_string(request.method_string());
    out.target(request.target());
    for (const auto &requestField : request) {
        out.insert(requestField.name_string(), requestField.value());
    }
    removeConnectionFields(out);
    for (const std::string *name :
         {&names.apiKey, &names.team, &names.expectedTarget, &names.remainingTime}) {
        out.erase(beastView(*name));
    }
    out.set(beastView(names.remainingTime), std::to_string(left.count()));
    out.set(beastView(names.expectedTarget), target);
    if (!team.empty()) {
        out.set(beastView(names.team), team.str());
    }
    if (bodyBytes > 0 || request.method() == http::verb::post
        || request.method() == http::verb::put) {
        out.set(http::field::content_length, std::to_string(bodyBytes));
    }
    return headText(out);
}

} // namespace damaskward
