/// \file
/// \brief Names of counters that are made from the reasons in log lines.

#pragma once

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>

namespace damaskward {

/// \returns \a text as a part of a metric's name.
inline std::string metricName(std::string_view text)
{
    std::string name;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0) {
            name += c;
        } else if (c != '\'') {
            name += '_';
        }
    }
    return name;
}

/// \param reason as in the request's log line
/// \returns the name of the counter for refusals of \a priority, such as
/// `refused_p2_owner_is_overloaded`. Priorities from 9 on share their counters.
inline std::string refusalCounter(std::string_view reason, int priority)
{
    constexpr int lastPriority = 9; // Bounds the number of counters.
    return "refused_p" + std::to_string(std::clamp(priority, 0, lastPriority)) + '_'
        + metricName(reason);
}

} // namespace damaskward
