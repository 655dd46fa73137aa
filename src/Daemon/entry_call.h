/// \file
/// \brief State of one caller's request while the entry VM serves it.

#pragma once

#include "control_view.h"
#include "forwarding.h"

#include <cpprest/http_msg.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <vector>

namespace damaskward {

/// Target, gate term and shard epoch of the latest attempt of a request.
struct last_attempt
{
    target_id target;
    std::uint64_t gateTerm = 0;
    std::uint64_t epoch = 0;
    time_point sentAt;
};

/// A caller's request, its deadline and the state of its attempts.
struct entry_call
{
    web::http::http_request message;
    time_point arrivedAt;
    time_point deadline;
    std::shared_ptr<const control_view> view; ///< in force when the request arrived
    service_id service;
    std::string key;
    team_id team;
    bool keyed = false;
    bool idempotent = true;
    std::string idempotencyKey;
    shared_body body;
    std::uint64_t fingerprint = 0;

    std::mutex mutex; ///< guards the members below
    bool answered = false;
    int inFlight = 0; ///< attempts without an answer so far
    int attemptCount = 0;
    bool hedged = false;
    std::optional<last_attempt> last;
    std::optional<forward_answer> lastAnswer;

    /// \returns the last attempt, if there was one. Thread-safe.
    std::optional<last_attempt> lastAttempt()
    {
        const std::lock_guard lock(mutex);
        return last;
    }
    /// \returns the last answer, or \a fallback. Thread-safe.
    forward_answer lastAnswerOr(const forward_answer &fallback)
    {
        const std::lock_guard lock(mutex);
        return lastAnswer.value_or(fallback);
    }
};

} // namespace damaskward
