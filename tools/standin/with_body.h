/// \file
/// \brief Reads the whole body of a request before the request is handled.

#pragma once

#include "damaskward/Transport"

#include <functional>
#include <string>

namespace damaskward {
namespace standin {

using body_handler =
    std::function<void(const web::http::http_request &request, const std::string &body)>;

/// Calls \a handle with the whole body; responds 400 when it throws or the body cannot be read.
inline void withBody(web::http::http_request request, body_handler handle)
{
    request.extract_utf8string(true).then(
        [request, handle = std::move(handle)](const pplx::task<std::string> &body) {
            try {
                handle(request, body.get());
            } catch (const std::exception &e) {
                sendReply(request, makeJson(web::http::status_codes::BadRequest, e.what()));
            }
        });
}

} // namespace standin
} // namespace damaskward
