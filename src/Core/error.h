/// \file
/// \brief Results that carry a value or an \ref damaskward::error. Source: Boost.LEAF.

#pragma once

#include "error_info.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <string>

namespace damaskward {

/// A value, or an error object kept by Boost.LEAF.
template <typename T>
using result = boost::leaf::result<T>;

/// \returns a failed result that carries an \ref error.
inline boost::leaf::error_id fail(std::string step, std::string peer, std::string message)
{
    return boost::leaf::new_error(error{std::move(step), std::move(peer), std::move(message)});
}

} // namespace damaskward
