/// \file
/// \brief Follows the operators' rows in the store.

#pragma once

#include "../Fleet/operator_view.h"
#include "../Proxy/handler_guard.h"
#include "../Proxy/request_log.h"
#include "platform_port.h"

#include <functional>
#include <memory>
#include <string>

namespace damaskward {

/// What operator_follower reports.
struct operator_events
{
    /// A configuration was read. \param text its encoded form
    std::function<void(const std::shared_ptr<const deployment> &, const std::string &text)> config;
    std::function<void(const rollout_request &)> rollout; ///< a roll-out is requested
    std::function<void(time_point now)> drains; ///< the drained data centres may have changed
    std::function<void(bool isSuccess, time_point now)> storeAnswer; ///< the answer to a read
    std::function<void(store_era, time_point now)> era; ///< the era of an answer
    /// \returns whether another VM follows the rows for this one, so that a long poll ends.
    std::function<bool(time_point now)> isFollowedElsewhere;
};

/// \class operator_follower
/// \brief Reads the operators' rows completely, then follows their changes by long polls. Event
/// loop thread only.
///
/// \code
/// if (!follower.isFollowing())
///     follower.read();
/// \endcode
/// \sa operator_view
class operator_follower
{
public:
    /// How long the store may delay its answer to a long poll. Short enough to detect a connection
    /// that was lost without being closed.
    static constexpr milliseconds pollTimeout{3000};

    operator_follower(platform_port &platform, const handler_guard &guard, request_log &log,
                      operator_events events);

    /// Reads all rows and then follows them, in place of a read or a long poll in progress.
    void read();
    /// \returns whether a read or a long poll is in progress.
    bool isFollowing() const { return m_isFollowing; }
    /// \returns when this VM itself last read the rows or their changes.
    time_point updatedAt() const { return m_updatedAt; }

    /// Processes operators' rows from the store or from another VM.
    /// \returns the drains of data centres among them.
    std::vector<drain_change> process(const row_set &rows);

    operator_view &view() { return m_view; }
    const operator_view &view() const { return m_view; }

private:
    void handleRead(std::uint64_t number, const row_result &result);
    void follow(table_revision revision);
    void handleChanges(std::uint64_t number, const row_result &result);

    platform_port &m_platform;
    const handler_guard &m_guard;
    request_log &m_log;
    operator_events m_events;
    operator_view m_view;
    bool m_isFollowing = false;
    std::uint64_t m_readNumber = 0; ///< answers to earlier reads and polls are ignored
    time_point m_updatedAt{};
};

} // namespace damaskward
