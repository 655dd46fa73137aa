/// \file
/// \brief The names of the header fields that callers and targets use.

#pragma once

#include "../Fleet/target_book.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace damaskward {

/// Header fields by what they hold. The adapter to the platform fills them in.
struct header_names
{
    std::string requestId;
    std::string timeLeft; ///< milliseconds that the caller still waits
    std::string apiKey;
    std::string team;
    std::string expectedTarget;
    std::string proof; ///< only targets can make it
    std::string load;
    std::string notRun; ///< in an answer: the target has not run the request
    std::string warmupLeft;
    std::string shardKey;
    std::string retryAfter; ///< seconds, with fractions
    std::function<std::optional<load_report>(std::string_view)> decodeLoad;
};

} // namespace damaskward
