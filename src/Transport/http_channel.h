/// \file
/// \brief HTTP calls of damaskward to targets, other VMs and the platform.

#pragma once

#include "../Core/time.h"

#include <pplx/pplxtasks.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace damaskward {

/// A header field: its name and its value.
using http_field = std::pair<std::string, std::string>;

/// A call to send.
struct http_call
{
    std::string address; ///< HOST:PORT
    std::string method;
    std::string path; ///< percent-encoded
    std::vector<http_field> fields;
    std::string contentType; ///< of the body, may be empty
    std::string body;
    time_point deadline{}; ///< the call ends then, with or without an answer
    bool needsNewConnection = false; ///< send on a connection that carries no other call
};

/// Why a call has no answer.
enum class http_failure {
    None,
    Refused, ///< no connection could be opened; nothing was sent
    Unreachable, ///< no connection was opened in time; nothing was sent
    Lost, ///< sent at least in part, without a whole and valid answer
    TimedOut ///< past its deadline or cancelled; it may have been executed
};

/// \returns whether it is certain that no byte of the call was sent.
inline bool neverSent(http_failure failure)
{
    return failure == http_failure::Refused || failure == http_failure::Unreachable;
}

/// The outcome of a call: an answer, or the reason why there is none.
struct http_outcome
{
    http_failure failure = http_failure::None;
    int status = 0;
    std::vector<http_field> fields;
    std::string body;

    /// \returns whether there is an answer with that status.
    bool hasStatus(int expected) const
    {
        return failure == http_failure::None && status == expected;
    }
    /// \returns the value of field \a name, or an empty text.
    std::string field(std::string_view name) const;
    /// \returns whether the head delimits the body (Content-Length or Transfer-Encoding).
    bool isFramed() const;
};

/// \class http_channel
/// \brief Sends calls and reads their answers, with the checks of \ref outgoing_pool. Thread-safe.
///
/// A call is never sent twice. The tasks continue on cpprest's threads.
///
/// \code
/// http_channel::shared().send(std::move(call)).then([](const http_outcome &outcome) { ... });
/// \endcode
class http_channel
{
public:
    /// \returns the channel of this process. It lives as long as the process, since calls may be in
    /// flight when other objects are destroyed.
    static http_channel &shared();

    http_channel(const http_channel &) = delete;
    http_channel &operator=(const http_channel &) = delete;

    /// \param cancel ends the call and closes its connection
    /// \returns a task that completes with the outcome and does not throw
    pplx::task<http_outcome>
    send(http_call call, const pplx::cancellation_token &cancel = pplx::cancellation_token::none());

private:
    class event_loop;

    http_channel();
    ~http_channel();

    std::unique_ptr<event_loop> m_loop;
};

} // namespace damaskward
