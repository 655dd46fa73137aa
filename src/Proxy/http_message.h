/// \file
/// \brief HTTP requests and answers that the proxy forwards. Source: Boost.Beast.

#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace damaskward {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_answer = boost::beast::http::response<boost::beast::http::string_body>;

/// The body of a request, shared by all tries.
using request_body = std::shared_ptr<const std::string>;

/// \returns the value of field \a name, or an empty view.
inline std::string_view fieldOf(const boost::beast::http::fields &fields, std::string_view name)
{
    const auto it = fields.find(boost::beast::string_view(name.data(), name.size()));
    if (it == fields.end()) {
        return {};
    }
    return {it->value().data(), it->value().size()};
}

/// Removes the hop-by-hop fields, including those named by `Connection`.
void removeConnectionFields(boost::beast::http::fields &fields);

/// \returns the request line or status line and the header fields in wire format.
std::string headText(const http_request &request);
std::string headText(const http_answer &answer);

/// \returns an answer without a body or fields.
http_answer plainAnswer(unsigned status);

} // namespace damaskward
