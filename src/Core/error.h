/// \file
/// \brief The error that every module reports: the step that failed and the peer it concerned.

#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <string>

namespace damaskward {

/// What went wrong, at which step, with which peer.
struct error
{
    std::string step; ///< what was being done, such as "read the table"
    std::string peer; ///< the address or file concerned
    std::string message; ///< what was seen, one sentence
};

/// \returns \a e as one line: `step (peer): message`.
inline std::string toString(const error &e)
{
    return e.step + " (" + e.peer + "): " + e.message;
}

/// A value, or an error object kept by Boost.LEAF.
template <typename T>
using result = boost::leaf::result<T>;

/// \returns a failed result that carries an \ref error.
inline boost::leaf::error_id fail(std::string step, std::string peer, std::string message)
{
    return boost::leaf::new_error(error{std::move(step), std::move(peer), std::move(message)});
}

} // namespace damaskward
