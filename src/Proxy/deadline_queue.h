/// \file
/// \brief All deadlines of one event loop behind a single timer. Source: Boost.Asio.

#pragma once

#include "../Core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>

namespace damaskward {

/// \class deadline_queue
/// \brief Calls functions when their deadlines pass. For the thread of the event loop only.
///
/// A connection moves its deadlines with every message; with one timer each, every move would
/// cost a system call.
///
/// \code
/// const auto id = deadlines.add(now + seconds(1), [] { giveUp(); });
/// deadlines.remove(id);
/// \endcode
class deadline_queue
{
public:
    using deadline_id = std::uint64_t; ///< 0 names no deadline

    explicit deadline_queue(boost::asio::io_context &loop)
        : m_timer(loop)
    { }

    /// \returns the name under which the deadline can be removed.
    deadline_id add(time_point at, std::function<void()> action)
    {
        const deadline_id id = ++m_last;
        m_places[id] = m_queue.emplace(at, std::make_pair(id, std::move(action)));
        arm();
        return id;
    }

    /// Removes a deadline and clears its name; one that has passed already is ignored.
    void remove(deadline_id &id)
    {
        const auto it = m_places.find(id);
        if (it != m_places.end()) {
            m_queue.erase(it->second);
            m_places.erase(it);
        }
        id = 0;
    }

private:
    using queue = std::multimap<time_point, std::pair<deadline_id, std::function<void()>>>;

    void arm()
    {
        if (m_queue.empty()) {
            return;
        }
        const time_point first = m_queue.begin()->first;
        if (m_armed && m_armedFor <= first) {
            return;
        }
        m_armed = true;
        m_armedFor = first;
        m_timer.expires_after(std::chrono::duration_cast<boost::asio::steady_timer::duration>(
            first - mono_clock::now()));
        m_timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                m_armed = false;
                runDue();
                arm();
            }
        });
    }

    void runDue()
    {
        const time_point now = mono_clock::now();
        while (!m_queue.empty() && m_queue.begin()->first <= now) {
            const auto action = std::move(m_queue.begin()->second.second);
            m_places.erase(m_queue.begin()->second.first);
            m_queue.erase(m_queue.begin());
            action();
        }
    }

    boost::asio::steady_timer m_timer;
    queue m_queue;
    std::map<deadline_id, queue::iterator> m_places;
    deadline_id m_last = 0;
    bool m_armed = false;
    time_point m_armedFor{};
};

} // namespace damaskward
