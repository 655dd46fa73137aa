/// \file
/// \brief Requests and answers as the proxy passes them on. Source: Boost.Beast.

#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace damaskward {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_answer = boost::beast::http::response<boost::beast::http::string_body>;

/// \returns the value of field \a name, or an empty view.
inline std::string_view fieldOf(const boost::beast::http::fields &fields, std::string_view name)
{
    const auto it = fields.find(boost::beast::string_view(name.data(), name.size()));
    if (it == fields.end()) {
        return {};
    }
    return {it->value().data(), it->value().size()};
}

/// Removes the fields that concern one connection only, the ones named by `Connection` included.
void removeConnectionFields(boost::beast::http::fields &fields);

/// \returns status line or request line and fields as they go on the wire, without the body.
std::string headText(const http_request &request);
std::string headText(const http_answer &answer);

/// \returns an answer of our own without a body.
http_answer plainAnswer(unsigned status);

} // namespace damaskward
