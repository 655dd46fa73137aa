/// \file
/// \brief One caller's request inside an entry.

#pragma once

#include "forwarding.h"

#include <cpprest/http_msg.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <vector>

namespace damaskward {

/// One caller's request and its attempts.
struct entry_call
{
    web::http::http_request message;
    time_point arrivedAt;
    time_point deadline;
    service_id service;
    std::string key;
    team_id team;
    bool keyed = false;
    bool idempotent = true;
    std::string idempotencyKey;
    shared_body body;
    std::uint64_t fingerprint = 0;

    std::mutex mutex; ///< guards what follows
    bool answered = false;
    int inFlight = 0; ///< attempts that have not come back
    int sent = 0; ///< attempts so far
    bool hedged = false;
    std::optional<target_id> lastTarget;
    std::uint64_t lastGateTerm = 0;
    std::uint64_t lastEpoch = 0;
    time_point lastSentAt{};
    std::optional<forward_answer> lastAnswer;
};

} // namespace damaskward
