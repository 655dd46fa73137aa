/// \file
/// \brief Checks of an answer's syntax that the parser does not make. Source: RFC 7230.

#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>

#include <iterator>
#include <string_view>

namespace damaskward {

/// \param lines complete header or trailer fields in wire format
/// \returns whether one of them begins with a blank. Such a line once continued the field before it
/// (obs-fold, section 3.2.4). Readers that disagree about that see different fields, and different
/// ends of the body.
inline bool hasFoldedLine(std::string_view lines)
{
    constexpr std::string_view lineEnd = "\r\n";
    for (std::size_t at = lines.find(lineEnd); at != std::string_view::npos;
         at = lines.find(lineEnd, at + 1)) {
        const std::size_t next = at + lineEnd.size();
        if (next < lines.size() && (lines[next] == ' ' || lines[next] == '\t')) {
            return true;
        }
    }
    return false;
}

/// \returns whether the body has no transfer coding except `chunked`, which the parser removes. A
/// body in another one would be passed on without the field that names its coding.
inline bool hasKnownTransferCoding(const boost::beast::http::fields &head)
{
    const auto codings = head.equal_range(boost::beast::http::field::transfer_encoding);
    return codings.first == codings.second
        || (std::next(codings.first) == codings.second
            && boost::beast::iequals(codings.first->value(), "chunked"));
}

} // namespace damaskward
