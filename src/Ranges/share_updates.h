/// \file
/// \brief The shares of requests that overloaded owners can serve, and when they are sent.

#pragma once

#include "../Core/time.h"
#include "owner_admission.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace damaskward {

/// Overloaded owners: the offered load exceeds their capacity.
struct owner_shares
{
    std::uint64_t version = 0; ///< increases as in owner_update, but is counted separately
    /// The version that the shares change, or 0 if they are complete.
    std::uint64_t base = 0;
    /// Fraction of the requests that a target can serve. Complete shares omit targets that can
    /// serve all; changes list those that can again with 1.
    std::map<std::string, double> shares;
    /// The same by priority, for those of `shares` that get requests of several priorities.
    priority_shares byPriority{};
};

/// \class share_updates
/// \brief Decides which changes of the shares the coordinator sends, and combines them at the
/// receivers. Without I/O; not thread-safe.
///
/// Shares vary with every estimate, so only clear changes are sent, and only the targets that they
/// concern. Complete shares follow at an interval: they replace lost messages and extend the time
/// for which the receivers use the shares.
///
/// \code
/// if (const auto message = updates.next(shares, now))
///     send(*message);
/// \endcode
class share_updates
{
public:
    /// Interval of complete shares.
    static constexpr milliseconds refreshInterval{600};
    /// Receivers use the shares for this long, unless newer ones arrive: one refresh may be lost.
    /// Without shares, owners refuse excess requests themselves.
    static constexpr milliseconds lifetime{1500};
    /// Smaller relative changes of a share are not sent. The estimates vary by about this much
    /// while the load is constant.
    static constexpr double minRelativeChange = 0.15;

    /// \param current the complete shares now
    /// \returns what to send to all VMs, or nothing
    std::optional<owner_shares> next(const owner_shares &current, time_point now)
    {
        const bool mustRefresh =
            current.shares.empty() || m_state.version == 0 || now >= m_refreshAt;
        owner_shares message = current;
        message.base = 0;
        if (mustRefresh) {
            m_refreshAt = now + refreshInterval;
        } else {
            message.base = m_state.version;
            message.shares = clearChanges(current);
            if (message.shares.empty()) {
                return std::nullopt;
            }
            message.byPriority.clear();
            for (const auto &[target, share] : message.shares) {
                if (const auto it = current.byPriority.find(target);
                    it != current.byPriority.end()) {
                    message.byPriority.insert(*it);
                }
            }
        }
        apply(message);
        return message;
    }

    /// Applies a message of the coordinator.
    /// \returns false, without a change, if it is outdated or an earlier one is missing
    bool apply(const owner_shares &message)
    {
        if (message.version <= m_state.version
            || (message.base != 0 && message.base != m_state.version)) {
            return false;
        }
        if (message.base == 0) {
            m_state.shares.clear();
            m_state.byPriority.clear();
        }
        for (const auto &[target, share] : message.shares) {
            m_state.byPriority.erase(target);
            if (share < 1.0) {
                m_state.shares[target] = share;
            } else {
                m_state.shares.erase(target);
            }
        }
        for (const auto &[target, shares] : message.byPriority) {
            m_state.byPriority[target] = shares;
        }
        m_state.version = message.version;
        return true;
    }

    /// \returns the complete shares, as last sent or received.
    const std::map<std::string, double> &shares() const { return m_state.shares; }
    /// \returns the same with the shares by priority.
    const owner_shares &state() const { return m_state; }

private:
    static bool isClearChange(double sent, double current)
    {
        return std::abs(current - sent) >= minRelativeChange * sent;
    }

    /// \returns whether the shares by priority of \a target differ clearly from those sent.
    bool differsByPriority(const std::string &target, const priority_shares &current) const
    {
        const auto sent = m_state.byPriority.find(target);
        const auto now = current.find(target);
        if (sent == m_state.byPriority.end() || now == current.end()) {
            return (sent == m_state.byPriority.end()) != (now == current.end());
        }
        return !std::equal(sent->second.begin(), sent->second.end(), now->second.begin(),
                           now->second.end(), [](const auto &a, const auto &b) {
                               return a.first == b.first && !isClearChange(a.second, b.second);
                           });
    }

    std::map<std::string, double> clearChanges(const owner_shares &current) const
    {
        std::map<std::string, double> changes;
        for (const auto &[target, share] : current.shares) {
            const auto sent = m_state.shares.find(target);
            if (sent == m_state.shares.end() || isClearChange(sent->second, share)
                || differsByPriority(target, current.byPriority)) {
                changes[target] = share;
            }
        }
        for (const auto &[target, share] : m_state.shares) {
            if (current.shares.count(target) == 0) {
                changes[target] = 1.0;
            }
        }
        return changes;
    }

    owner_shares m_state;
    time_point m_refreshAt{};
};

} // namespace damaskward
