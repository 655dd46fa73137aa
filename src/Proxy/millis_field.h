/// \file
/// \brief Header fields that contain a number of milliseconds.

#pragma once

#include "../Core/time.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>
#include <system_error>

namespace damaskward {

/// \returns whether \a text is a number without a sign or a fraction.
inline bool isDigits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isdigit(c) != 0;
    });
}

/// \returns the time span in milliseconds that \a text states, at most a day, or nothing if it is
/// not a number.
inline std::optional<milliseconds> parseMillis(std::string_view text)
{
    if (!isDigits(text)) {
        return std::nullopt;
    }
    constexpr std::int64_t maxMillis = 86400000;
    std::int64_t millis = 0;
    const auto error = std::from_chars(text.data(), text.data() + text.size(), millis).ec;
    return milliseconds(error == std::errc() ? std::min(millis, maxMillis) : maxMillis);
}

} // namespace damaskward
