/// \file
/// \brief What VMs and the owner of a group's target capacity tell each other.

#pragma once

#include "../Core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace damaskward {

/// One request that needs capacity at a target.
struct capacity_request
{
    std::uint64_t number = 0; ///< unique among the requests of one VM, also after its restart
    int priority = 0; ///< 0 is the most urgent
    std::string team;
    milliseconds left{0}; ///< remaining time until its deadline
    std::vector<std::string> tried; ///< targets that it must not be sent to again
};

/// How the use of granted capacity ended.
enum class capacity_outcome {
    Answered, ///< the target has run the request
    Rejected, ///< the target refused the request because it was full
    Silent, ///< the target has not answered: the request may still be in its queue
    Unused ///< the request was not sent, or is no longer waiting for capacity
};

/// Returns the capacity that was granted to a request, or withdraws the request.
struct capacity_return
{
    std::uint64_t number = 0;
    capacity_outcome outcome = capacity_outcome::Unused;
    milliseconds elapsed{0}; ///< from the sending of the request to its answer
    int running = -1; ///< requests that the target reported to run, -1 if unknown
};

/// Capacity that is in use without a grant of the recipient.
struct capacity_use
{
    std::uint64_t number = 0;
    std::string target;
    milliseconds left{0}; ///< remaining time until the deadline of the request
};

/// What one VM tells the owner of one group's capacity.
struct capacity_report
{
    std::string group;
    std::vector<capacity_return> returns;
    std::vector<capacity_use> uses;
    std::vector<capacity_request> requests;
};

enum class capacity_verdict {
    Granted,
    Waiting, ///< sent only in answer to a repeated request
    Refused, ///< the request cannot be served in time
    Unanswered ///< the owner is silent; never sent
};

/// What the owner has decided on one request.
struct capacity_decision
{
    std::uint64_t number = 0;
    capacity_verdict verdict = capacity_verdict::Waiting;
    std::string target; ///< if granted
    milliseconds retryAfter{0}; ///< if refused: when capacity is expected to be free
};

/// The owner's decisions on requests of one VM.
struct capacity_decisions
{
    std::string group;
    std::vector<capacity_decision> decisions;
};

} // namespace damaskward
