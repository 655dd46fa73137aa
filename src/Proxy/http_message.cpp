#include "http_message.h"

#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <vector>

namespace damaskward {
namespace http = boost::beast::http;
namespace {

void append(std::string &text, boost::beast::string_view part)
{
    text.append(part.data(), part.size());
}

void appendFields(std::string &text, const http::fields &fields)
{
    for (const auto &field : fields) {
        append(text, field.name_string());
        text += ": ";
        append(text, field.value());
        text += "\r\n";
    }
    text += "\r\n";
}

} // namespace

void removeConnectionFields(http::fields &fields)
{
    std::vector<std::string> named;
    for (const auto &field : fields) {
        if (field.name() == http::field::connection) {
            for (const auto &token : http::token_list(field.value())) {
                named.emplace_back(token.data(), token.size());
            }
        }
    }
    for (const std::string &name : named) {
        fields.erase(name);
    }
    static constexpr std::array connectionFields = {http::field::connection,
                                                    http::field::keep_alive,
                                                    http::field::proxy_connection,
                                                    http::field::proxy_authenticate,
                                                    http::field::proxy_authorization,
                                                    http::field::te,
                                                    http::field::trailer,
                                                    http::field::transfer_encoding,
                                                    http::field::upgrade,
                                                    http::field::content_length,
                                                    http::field::expect};
    for (const http::field field : connectionFields) {
        fields.erase(field);
    }
}

std::string headText(const http_request &request)
{
    std::string text;
    append(text, request.method_string());
    text += ' ';
    append(text, request.target());
    text += " HTTP/1.1\r\n";
    appendFields(text, request);
    return text;
}

std::string headText(const http_answer &answer)
{
    std::string text = "HTTP/1.1 " + std::to_string(answer.result_int()) + ' ';
    append(text, answer.reason());
    text += "\r\n";
    appendFields(text, answer);
    return text;
}

http_answer plainAnswer(unsigned status)
{
    http_answer answer;
    answer.result(status);
    return answer;
}

} // namespace damaskward
