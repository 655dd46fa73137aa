/// \file
/// \brief The requests that are being read, and which of them gives way when memory is short.

#pragma once

#include "../Core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace damaskward {

/// \class incoming_requests
/// \brief Follows the progress of incomplete requests and chooses those that lose their memory. Not
/// thread-safe.
///
/// A request whose bytes do not arrive gives way first, the one without progress for the longest
/// time before the others. If all requests wait for memory, the newest one gives way, so that the
/// oldest one can be completed.
///
/// \code
/// const auto id = requests.add(now);
/// requests.recordHeld(id, heldBytes, now);
/// while (!hold.tryGrow(kind, bytes))
///     if (const auto victim = requests.victimFor(id, now)) refuse(victim);
/// \endcode
class incoming_requests
{
public:
    using request_id = std::uint64_t; ///< 0 means none; later requests have higher ids

    /// A request that grows by less than this does not progress, however often bytes arrive.
    static constexpr std::size_t progressBytes = 16384;
    /// Time without progress after which a request gives way. An ordinary caller sends 16 KB in
    /// this time over a link of 0.13 Mbit/s.
    static constexpr milliseconds stallTime{1000};
    /// A request that holds less than a page is of no use to others.
    static constexpr std::size_t minReclaimedBytes = 4096;

    /// \returns the id of a new request.
    request_id add(time_point now)
    {
        m_requests[++m_lastId].progressAt = now;
        return m_lastId;
    }
    /// Removes a request and sets \a id to 0.
    void remove(request_id &id)
    {
        m_requests.erase(id);
        id = 0;
    }
    /// Records that request \a id holds \a bytes, after some of them have arrived.
    void recordHeld(request_id id, std::size_t bytes, time_point now)
    {
        const auto it = m_requests.find(id);
        if (it == m_requests.end()) {
            return;
        }
        it->second.held = bytes;
        it->second.isWaiting = false;
        if (bytes >= it->second.heldAtProgress + progressBytes) {
            it->second.heldAtProgress = bytes;
            it->second.progressAt = now;
        }
    }
    /// Records that request \a id waits for memory: its bytes are not read.
    void recordWaiting(request_id id)
    {
        const auto it = m_requests.find(id);
        if (it != m_requests.end()) {
            it->second.isWaiting = true;
        }
    }
    /// Records that request \a id has memory again, so that its progress counts from \a now.
    void recordResumed(request_id id, time_point now)
    {
        const auto it = m_requests.find(id);
        if (it != m_requests.end() && it->second.isWaiting) {
            it->second.isWaiting = false;
            it->second.progressAt = now;
        }
    }

    /// \returns the request that gives way to \a id, or 0 if \a id has to wait: the one that has
    /// stalled for the longest time, or else the newest one that waits, if it is newer than \a id.
    request_id victimFor(request_id id, time_point now) const
    {
        if (const request_id stalled = longestWithoutProgress(id, now - stallTime)) {
            return stalled;
        }
        for (auto it = m_requests.rbegin(); it != m_requests.rend() && it->first > id; ++it) {
            if (it->second.isWaiting && it->second.held >= minReclaimedBytes) {
                return it->first;
            }
        }
        return 0;
    }
    /// \returns the request that gives way to what is held in any case, such as an answer, or 0.
    request_id victim() const { return longestWithoutProgress(0, time_point::max()); }

    /// \returns the request that has stalled for the longest time, whatever it holds, or 0.
    request_id longestStalled(time_point now) const
    {
        return longestWithoutProgress(0, now - stallTime, 0);
    }
    std::size_t count() const { return m_requests.size(); }

private:
    struct progress
    {
        time_point progressAt{};
        std::size_t heldAtProgress = 0;
        std::size_t held = 0;
        bool isWaiting = false;
    };

    request_id longestWithoutProgress(request_id except, time_point before,
                                      std::size_t minHeld = minReclaimedBytes) const
    {
        request_id oldest = 0;
        time_point oldestAt = before;
        for (const auto &[id, request] : m_requests) {
            const bool mayStall = before == time_point::max() || !request.isWaiting;
            if (id != except && mayStall && request.held >= minHeld
                && request.progressAt < oldestAt) {
                oldest = id;
                oldestAt = request.progressAt;
            }
        }
        return oldest;
    }

    std::map<request_id, progress> m_requests;
    request_id m_lastId = 0;
};

} // namespace damaskward
