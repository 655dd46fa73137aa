/// \file
/// \brief A bounded queue that passes events to another thread.

#pragma once

#include "time.h"

#include <boost/circular_buffer.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>

namespace damaskward {

/// \class bounded_queue
/// \brief A bounded queue with many producer threads and one consumer thread.
/// \tparam T the type of an event
///
/// tryPush() fails on a full queue instead of blocking, because the producers are network callbacks
/// that must not wait. The next tick requests a lost event (an answer, a reading) again.
///
/// \code
/// bounded_queue<int> queue(128);
/// queue.tryPush(7);
/// std::optional<int> next = queue.popUntil(mono_clock::now() + milliseconds(10));
/// \endcode
template <typename T>
class bounded_queue
{
public:
    /// \param capacity maximum number of queued events
    explicit bounded_queue(std::size_t capacity)
        : m_events(capacity)
    { }

    /// Adds an event. Thread-safe.
    /// \returns false if the queue is full or closed.
    bool tryPush(T event)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || m_events.full()) {
                return false;
            }
            m_events.push_back(std::move(event));
        }
        m_filled.notify_one();
        return true;
    }

    /// Removes the oldest event, waiting for one until \a deadline. Thread-safe.
    /// \returns nothing if the queue is empty after \a deadline or after close().
    std::optional<T> popUntil(time_point deadline)
    {
        std::unique_lock lock(m_mutex);
        m_filled.wait_until(lock, deadline, [this] { return m_closed || !m_events.empty(); });
        if (m_events.empty()) {
            return std::nullopt;
        }
        std::optional<T> event(std::move(m_events.front()));
        m_events.pop_front();
        return event;
    }

    /// Rejects further events and wakes the consumer, which can still pop queued ones. Thread-safe.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_filled.notify_all();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_filled;
    boost::circular_buffer<T> m_events;
    bool m_closed = false;
};

} // namespace damaskward
