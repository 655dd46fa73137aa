/// \file
/// \brief Results that hold a value or a \ref damaskward::error, based on Boost.LEAF.

#pragma once

#include "error_info.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <string>

namespace damaskward {

/// A value, or the ID of an error object that Boost.LEAF passes to the error handler.
template <typename T>
using result = boost::leaf::result<T>;

/// \returns the error ID of a failed result with the given \ref error.
inline boost::leaf::error_id fail(std::string step, std::string peer, std::string message)
{
    return boost::leaf::new_error(error{std::move(step), std::move(peer), std::move(message)});
}

} // namespace damaskward
