/// \file
/// \brief The names of the header fields that callers and targets use.

#pragma once

#include "../Fleet/target_pool.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace damaskward {

/// Names of header fields by meaning. The platform adapter sets them.
struct header_names
{
    std::string requestId;
    std::string remainingTime; ///< until the caller's deadline, in ms
    std::string apiKey;
    std::string team;
    std::string expectedTarget;
    std::string targetProof; ///< in an answer: present only if a target produced it
    std::string load; ///< in an answer: the target's load report
    std::string notRun; ///< in an answer: the target has not run the request
    std::string remainingWarmup; ///< in an answer: of the target, in ms
    std::string shardKey;
    std::string draining; ///< in an answer: "1" if the target is draining
    std::string retryAfter; ///< seconds, with fractions
    std::function<std::optional<load_report>(std::string_view)> decodeLoad;
};

} // namespace damaskward
