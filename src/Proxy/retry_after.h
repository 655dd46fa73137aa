/// \file
/// \brief The Retry-After field of targets' answers.

#pragma once

#include "../Core/time.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <system_error>

namespace damaskward {

/// \param text seconds, with an optional fraction
/// \returns \a text rounded up to milliseconds, at most one hour; nothing if it is malformed.
inline std::optional<milliseconds> parseRetryAfter(std::string_view text)
{
    if (text.empty() || std::isdigit(static_cast<unsigned char>(text.front())) == 0) {
        return std::nullopt; // from_chars accepts signs, infinities and NaN as well.
    }
    double value = 0.0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    if (error != std::errc() || rest != end) {
        return std::nullopt;
    }
    constexpr double maxMillis = 3600.0 * 1000.0;
    return milliseconds(static_cast<std::int64_t>(std::ceil(std::min(value * 1000.0, maxMillis))));
}

} // namespace damaskward
