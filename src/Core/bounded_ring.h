/// \file
/// \brief The bounded ring that joins two duties.

#pragma once

#include "time.h"

#include <boost/circular_buffer.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>

namespace damaskward {

/// \class bounded_ring
/// \brief A bounded queue from any number of threads to one thread.
/// \tparam T the event
///
/// A full ring refuses instead of blocking: the producer is a network callback that must not
/// wait, and what it brings (an answer, a reading) is asked for again by the next tick.
///
/// \code
/// bounded_ring<int> ring(128);
/// ring.tryPush(7);
/// std::optional<int> next = ring.popUntil(mono_clock::now() + milliseconds(10));
/// \endcode
template <typename T>
class bounded_ring
{
public:
    /// \param capacity how many events wait at the most
    explicit bounded_ring(std::size_t capacity)
        : m_events(capacity)
    { }

    /// Adds an event. Thread-safe.
    /// \returns false when the ring is full or closed.
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

    /// Takes the oldest event, waiting for one until \a deadline. Thread-safe.
    /// \returns nothing when the deadline passed or the ring was closed.
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

    /// Wakes the consumer; later events are refused. Thread-safe.
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
