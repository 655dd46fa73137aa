/// \file
/// \brief The requests of one VM for target capacity, and the capacity that it holds.

#pragma once

#include "../Core/time.h"
#include "capacity_messages.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace damaskward {

/// Reports that are due, by the owner that they go to.
using due_reports = std::map<std::string, std::vector<capacity_report>>;

/// \class room_client
/// \brief Requests capacity of the owners of the groups, repeats unanswered requests, and returns
/// capacity. Without I/O; not thread-safe.
///
/// A request that the owner does not answer in time gets the verdict Unanswered. The VM may then
/// send it by its own estimate, within fallbackShare(). For a while after that it does not ask the
/// silent owner again.
///
/// \code
/// const std::uint64_t number = client.request("t1", request, decided, now);
/// for (const auto &[owner, reports] : client.takeDueReports(ownerOf, now))
///     send(owner, reports);
/// client.finish({number, capacity_outcome::Answered, elapsed}, now);
/// \endcode
/// \sa room_ledger
class room_client
{
public:
    using callback = std::function<void(const capacity_decision &)>;
    /// Returns the VM that owns the capacity of a group.
    using owner_source = std::function<std::string(const std::string &group)>;

    /// An unanswered request is sent again after this time.
    static constexpr milliseconds repeatInterval{70};
    /// An owner that has not answered for this long is silent. The scheduler lets a process with a
    /// small share of a core run about once in 100 ms.
    static constexpr milliseconds answerTimeout{160};
    /// The same for an owner that has answered that the request waits. Longer, as the repetitions
    /// of waiting requests would be most of the messages under overload.
    static constexpr milliseconds waitingTimeout{1000};
    /// A silent owner is not asked for this long.
    static constexpr milliseconds silentTime{300};
    /// Capacity is returned within this time, or with the next message to the owner. Short, because
    /// other requests may wait for it.
    static constexpr milliseconds returnDelay{3};

    /// \param firstNumber higher than all numbers of the VM's previous process
    explicit room_client(std::uint64_t firstNumber)
        : m_lastNumber(firstNumber)
    { }

    /// Requests capacity of \a group. Calls \a done once, unless the request is finished before.
    /// \param request its number is set here
    /// \returns the number of the request.
    std::uint64_t request(const std::string &group, capacity_request request, callback done,
                          time_point now)
    {
        request.number = ++m_lastNumber;
        group_state &g = m_groups[group];
        ++g.users;
        pending entry{group, std::move(request), std::move(done), now, now, {}, false};
        entry.deadline = now + entry.request.left;
        entry.giveUpAt = now < g.silentUntil ? now : now + answerTimeout;
        m_pending.emplace(m_lastNumber, std::move(entry));
        return m_lastNumber;
    }

    /// Applies decisions of an owner and calls the callbacks.
    void apply(const capacity_decisions &message, time_point now)
    {
        m_groups[message.group].silentUntil = time_point{};
        for (const capacity_decision &decision : message.decisions) {
            const auto it = m_pending.find(decision.number);
            if (it == m_pending.end()) {
                returnUnknown(message.group, decision, now);
            } else if (decision.verdict == capacity_verdict::Waiting) {
                it->second.giveUpAt = now + waitingTimeout;
                it->second.repeatAt = now + waitingTimeout / 2;
            } else {
                decide(it, decision);
            }
        }
    }

    /// Records capacity that is used without a grant, after the verdict Unanswered. The owner is
    /// told of it when it answers again.
    /// \param left remaining time until the deadline of the request
    std::uint64_t useFallback(const std::string &group, const std::string &target,
                              milliseconds left, time_point now)
    {
        m_held[++m_lastNumber] = {group, target, now + left};
        group_state &g = m_groups[group];
        ++g.users;
        g.uses.push_back(m_lastNumber);
        g.returnAt = std::min(g.returnAt, now + returnDelay);
        return m_lastNumber;
    }

    /// Returns capacity, or withdraws a request that waits for a decision.
    void finish(const capacity_return &result, time_point now)
    {
        std::string group;
        if (const auto it = m_pending.find(result.number); it != m_pending.end()) {
            group = it->second.group;
            const bool wasSent = it->second.wasSent;
            m_pending.erase(it);
            --m_groups[group].users;
            if (!wasSent) {
                return;
            }
        } else if (const auto held = m_held.find(result.number); held != m_held.end()) {
            group = held->second.group;
            m_held.erase(held);
            --m_groups[group].users;
        } else {
            return;
        }
        addReturn(group, result, now);
    }

    /// Gives up requests whose owner is silent: calls their callbacks with Unanswered. Called
    /// regularly, and at nextDueAt().
    void expire(time_point now)
    {
        std::vector<std::uint64_t> silent;
        for (const auto &[number, entry] : m_pending) {
            if (now >= entry.giveUpAt || now >= entry.deadline) {
                silent.push_back(number);
            }
        }
        for (const std::uint64_t number : silent) {
            const auto it = m_pending.find(number);
            if (it == m_pending.end()) {
                continue; // A callback has withdrawn it.
            }
            group_state &g = m_groups[it->second.group];
            if (it->second.wasSent) {
                g.silentUntil = now + silentTime;
                // The owner may have granted it, and the answer was lost.
                addReturn(it->second.group, {number, capacity_outcome::Unused, {}, -1}, now);
            }
            decide(it, {number, capacity_verdict::Unanswered, {}, {}});
        }
    }

    /// \returns the reports to send now. A new owner of a group is told what is in use there.
    due_reports takeDueReports(const owner_source &ownerOf, time_point now)
    {
        std::map<std::string, capacity_report> byGroup;
        for (auto &[number, entry] : m_pending) {
            if (now >= entry.repeatAt && now < entry.giveUpAt) {
                entry.repeatAt = now + repeatInterval;
                entry.wasSent = true;
                entry.request.left = milliseconds(toMillis(entry.deadline - now));
                byGroup[entry.group].requests.push_back(entry.request);
            }
        }
        due_reports due;
        for (auto it = m_groups.begin(); it != m_groups.end();) {
            const std::string &name = it->first;
            group_state &g = it->second;
            const bool isSending = byGroup.count(name) != 0 || now >= g.returnAt;
            if (isSending) {
                due[updateOwner(name, g, ownerOf(name), now)].push_back(
                    makeReport(name, g, std::move(byGroup[name]), now));
            }
            it = isIdle(g, now) ? m_groups.erase(it) : std::next(it);
        }
        return due;
    }

    /// Lets the next takeDueReports() tell new owners of groups what is in use there. Called
    /// regularly, as a VM without new requests sends no reports.
    void checkOwners(const owner_source &ownerOf, time_point now)
    {
        for (auto &[name, g] : m_groups) {
            if (g.users > 0 && !g.owner.empty() && g.owner != ownerOf(name)) {
                g.returnAt = now;
            }
        }
    }

    /// \returns when the next report or time-out is due, time_point::max() if none.
    time_point nextDueAt() const
    {
        time_point next = time_point::max();
        for (const auto &[number, entry] : m_pending) {
            next = std::min({next, entry.repeatAt, entry.giveUpAt, entry.deadline});
        }
        for (const auto &[name, g] : m_groups) {
            next = std::min(next, g.returnAt);
        }
        return next;
    }

    /// \returns the capacity that this VM uses at \a target, by grants and without.
    int heldAt(const std::string &target) const
    {
        return static_cast<int>(std::count_if(m_held.begin(), m_held.end(), [&](const auto &entry) {
            return entry.second.target == target;
        }));
    }

    std::size_t pendingCount() const { return m_pending.size(); }

    /// The shares of all VMs add up to \a slots, half of what their owner grants, so that both
    /// together stay within what the target can queue.
    /// \param vms number of VMs that may be running
    /// \param rank position of this VM among them, the same for all observers; from 0
    /// \returns how many requests this VM may have under way at a target without an owner.
    static int fallbackShare(int slots, int vms, int rank)
    {
        return slots / vms + (rank < slots % vms ? 1 : 0);
    }

private:
    struct pending
    {
        std::string group;
        capacity_request request;
        callback done;
        time_point repeatAt{}; ///< when it is sent, at first or again
        time_point giveUpAt{}; ///< when its owner counts as silent
        time_point deadline{};
        bool wasSent = false;
    };

    struct held_capacity
    {
        std::string group;
        std::string target;
        time_point deadline{};
    };

    struct group_state
    {
        std::string owner; ///< of the last report
        int users = 0; ///< its requests that wait for a decision or hold capacity
        time_point silentUntil{};
        time_point returnAt = time_point::max();
        std::vector<capacity_return> returns;
        std::vector<std::uint64_t> uses; ///< without a grant, not yet reported
    };

    void decide(std::map<std::uint64_t, pending>::iterator it, const capacity_decision &decision)
    {
        if (decision.verdict == capacity_verdict::Granted) {
            m_held[decision.number] = {it->second.group, decision.target, it->second.deadline};
        } else {
            --m_groups[it->second.group].users;
        }
        const callback done = std::move(it->second.done);
        m_pending.erase(it);
        done(decision);
    }

    /// Returns capacity granted to a request that is no longer waiting.
    void returnUnknown(const std::string &group, const capacity_decision &decision, time_point now)
    {
        if (decision.verdict == capacity_verdict::Granted && m_held.count(decision.number) == 0) {
            addReturn(group, {decision.number, capacity_outcome::Unused, {}, -1}, now);
        }
    }

    void addReturn(const std::string &group, const capacity_return &result, time_point now)
    {
        group_state &g = m_groups[group];
        const auto use = std::find(g.uses.begin(), g.uses.end(), result.number);
        if (use != g.uses.end()) {
            g.uses.erase(use); // Its owner does not know of it.
            return;
        }
        g.returns.push_back(result);
        g.returnAt = std::min(g.returnAt, now + returnDelay);
    }

    /// Prepares to tell a new owner what is in use. \returns \a owner.
    std::string updateOwner(const std::string &name, group_state &g, const std::string &owner,
                            time_point now)
    {
        if (!g.owner.empty() && g.owner != owner) {
            g.uses.clear();
            for (const auto &[number, entry] : m_held) {
                if (entry.group == name) {
                    g.uses.push_back(number);
                }
            }
            for (auto &[number, entry] : m_pending) {
                if (entry.group == name && entry.wasSent) {
                    entry.repeatAt = now; // The previous owner's queue is gone.
                    entry.giveUpAt = now + answerTimeout;
                }
            }
        }
        g.owner = owner;
        return owner;
    }

    capacity_report makeReport(const std::string &name, group_state &g, capacity_report &&report,
                               time_point now)
    {
        report.group = name;
        report.returns = std::exchange(g.returns, {});
        for (const std::uint64_t number : std::exchange(g.uses, {})) {
            const auto it = m_held.find(number);
            if (it != m_held.end() && it->second.deadline > now) {
                report.uses.push_back(
                    {number, it->second.target, milliseconds(toMillis(it->second.deadline - now))});
            }
        }
        g.returnAt = time_point::max();
        return std::move(report);
    }

    /// \returns whether nothing of a group needs to be remembered.
    static bool isIdle(const group_state &g, time_point now)
    {
        return g.users == 0 && g.returns.empty() && g.uses.empty() && now >= g.silentUntil;
    }

    std::uint64_t m_lastNumber;
    std::map<std::uint64_t, pending> m_pending;
    std::map<std::uint64_t, held_capacity> m_held;
    std::map<std::string, group_state> m_groups;
};

} // namespace damaskward
