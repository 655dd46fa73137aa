#include "http_text.h"

#include <charconv>

namespace damaskward {

std::optional<request_path> splitPath(const web::uri &uri)
{
    const std::string &path = uri.path();
    if (path.size() < 2 || path.front() != '/') {
        return std::nullopt;
    }
    const std::size_t slash = path.find('/', 1);
    if (slash == std::string::npos || slash == 1 || slash + 1 == path.size()) {
        return std::nullopt;
    }
    try {
        return request_path{web::uri::decode(path.substr(1, slash - 1)),
                            web::uri::decode(path.substr(slash + 1))};
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string headerText(const web::http::http_headers &headers, const char *name)
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

std::optional<std::uint64_t> headerNumber(const web::http::http_headers &headers, const char *name)
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::nullopt : numberIn(it->second);
}

std::optional<std::uint64_t> numberIn(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, number);
    if (status != std::errc() || stop != end) {
        return std::nullopt;
    }
    return number;
}

web::http::http_response makeRefusal(web::http::status_code status, run_state state,
                                     std::string_view reason)
{
    web::http::http_response response(status);
    response.headers().add(header::runState, std::string(toString(state)));
    response.headers().add(header::reason, std::string(reason));
    response.set_body("{\"reason\":\"" + std::string(reason) + "\"}", "application/json");
    return response;
}

web::http::http_response makeJson(web::http::status_code status, const std::string &body)
{
    web::http::http_response response(status);
    response.set_body(body, "application/json");
    return response;
}

void sendReply(const web::http::http_request &request, const web::http::http_response &response)
{
    request.reply(response).then([](const pplx::task<void> &sent) {
        try {
            sent.get();
        } catch (const std::exception &) {
            // The caller has disconnected, so no one can receive the answer.
        }
    });
}

} // namespace damaskward
