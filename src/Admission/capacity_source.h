/// \file
/// \brief Where the steps of a request get capacity at a target.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "capacity_messages.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace damaskward {

/// The need of one request for capacity.
struct capacity_query
{
    service_id service;
    data_center_id dataCenter; ///< of the target or targets
    std::string target; ///< the only one that may serve it, empty if any target may
    int priority = 0; ///< 0 is the most urgent
    team_id team;
    time_point deadline{};
    std::set<std::string> tried; ///< targets that it must not be sent to
};

/// The decision on a request for capacity.
struct capacity_answer
{
    std::uint64_t number = 0; ///< if granted: identifies the capacity
    std::string target; ///< if granted, else empty
    milliseconds retryAfter{0}; ///< if refused
};

/// \class capacity_source
/// \brief Grants capacity at targets, and takes it back. Event loop thread only.
///
/// \code
/// if (source.usesRoom(service, false))
///     number = source.acquire(query, [this](const capacity_answer &answer) { continueWith(answer);
///     });
/// source.release({number, capacity_outcome::Answered, elapsed});
/// \endcode
/// \sa room_exchange
class capacity_source
{
public:
    using callback = std::function<void(const capacity_answer &)>;

    virtual ~capacity_source() = default;

    /// \param isSharded whether a key binds each request to one target
    /// \returns whether requests of \a service need capacity before they are sent.
    virtual bool usesRoom(const service_id &service, bool isSharded) const = 0;

    /// Requests capacity. Calls \a done once, after this call has returned, unless the request is
    /// released before.
    /// \returns the number with which the request can be withdrawn.
    virtual std::uint64_t acquire(const capacity_query &query, callback done) = 0;

    /// Returns capacity, or withdraws a request that waits for it. Does nothing if \a result names
    /// neither.
    virtual void release(const capacity_return &result) = 0;
};

} // namespace damaskward
