/// \file
/// \brief All deadlines of one event loop on a single timer. Source: Boost.Asio.

#pragma once

#include "../Core/time.h"
#include "handler_guard.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>

namespace damaskward {

/// \class deadline_queue
/// \brief Calls functions when their deadlines expire. Event loop thread only.
///
/// A connection changes its deadlines with every message. With one timer per deadline, each change
/// would cost a system call.
///
/// \code
/// const auto id = deadlines.add(now + seconds(1), [] { closeConnection(); });
/// deadlines.remove(id);
/// \endcode
class deadline_queue
{
public:
    using deadline_id = std::uint64_t; ///< 0 means no deadline

    /// \param guard runs the functions; one that fails does not affect the other deadlines
    deadline_queue(boost::asio::io_context &loop, const handler_guard &guard)
        : m_guard(guard)
        , m_timer(loop)
    { }

    /// Calls \a action at \a at.
    /// \returns the id with which the deadline can be removed.
    deadline_id add(time_point at, std::function<void()> action)
    {
        const deadline_id id = ++m_lastId;
        m_entries[id] = m_queue.emplace(at, std::make_pair(id, std::move(action)));
        armTimer();
        return id;
    }

    /// Removes a deadline and sets \a id to 0. Does nothing if the deadline has already expired.
    void remove(deadline_id &id)
    {
        const auto it = m_entries.find(id);
        if (it != m_entries.end()) {
            m_queue.erase(it->second);
            m_entries.erase(it);
        }
        id = 0;
    }

private:
    using queue = std::multimap<time_point, std::pair<deadline_id, std::function<void()>>>;

    void armTimer()
    {
        if (m_queue.empty()) {
            return;
        }
        const time_point first = m_queue.begin()->first;
        if (m_isTimerArmed && m_timerExpiresAt <= first) {
            return;
        }
        m_isTimerArmed = true;
        m_timerExpiresAt = first;
        m_timer.expires_after(std::chrono::duration_cast<boost::asio::steady_timer::duration>(
            first - mono_clock::now()));
        m_timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                m_isTimerArmed = false;
                runExpired();
                armTimer();
            }
        });
    }

    void runExpired()
    {
        const time_point now = mono_clock::now();
        while (!m_queue.empty() && m_queue.begin()->first <= now) {
            const auto action = std::move(m_queue.begin()->second.second);
            m_entries.erase(m_queue.begin()->second.first);
            m_queue.erase(m_queue.begin());
            m_guard.run("deadline", action);
        }
    }

    const handler_guard &m_guard;
    boost::asio::steady_timer m_timer;
    queue m_queue;
    std::map<deadline_id, queue::iterator> m_entries;
    deadline_id m_lastId = 0;
    bool m_isTimerArmed = false;
    time_point m_timerExpiresAt{};
};

} // namespace damaskward
