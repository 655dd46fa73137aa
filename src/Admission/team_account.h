/// \file
/// \brief One team's tokens at one entry.

#pragma once

#include "team_bank.h"

#include <optional>

namespace damaskward {

/// \class team_account
/// \brief Spends tokens drawn from the team's bank, and says when and how many to draw.
///
/// Not thread-safe; the owner guards it. One draw is in flight at a time.
///
/// \code
/// if (!account.trySpend(now)) {
///     wait();
///     if (auto draw = account.nextDraw(self, now)) { ... }
/// }
/// \endcode
class team_account
{
public:
    /// \param windowsAhead how many windows' spending is drawn ahead; 0 draws only for requests
    ///        that wait, so that no token lapses unspent where a draw takes a few milliseconds
    /// \param drawTimeout when a draw counts as lost; not longer than tokens live
    explicit team_account(int windowsAhead = 2, milliseconds drawTimeout = tokenLifetime)
        : m_windowsAhead(windowsAhead)
        , m_drawTimeout(drawTimeout)
    { }

    /// Spends one token. \returns false when none is held.
    bool trySpend(time_point now)
    {
        rollWindow(now);
        if (m_held == 0 || now >= m_lapsesAt) {
            return false;
        }
        --m_held;
        ++m_spentInWindow;
        return true;
    }

    /// Decides on a draw for \a waiting requests and for those that will soon come.
    /// \returns nothing while one is in flight or none is needed.
    std::optional<draw_request> nextDraw(const vm_id &self, int waiting, time_point now)
    {
        rollWindow(now);
        const int held = now < m_lapsesAt ? m_held : 0;
        const bool inFlight = m_giveUpAt > now;
        const bool needed = waiting > 0 || (m_windowsAhead > 0 && held < m_recentlySpent);
        if (inFlight || !needed || now < m_drawAgainAt) {
            return std::nullopt;
        }
        // More than a window spends, so that a steady flow seldom waits for a draw.
        const int reserve = std::min(m_windowsAhead * m_recentlySpent, maxReserve);
        const int wanted = waiting + std::max(0, reserve - held);
        m_sentAt = now;
        m_giveUpAt = now + m_drawTimeout;
        m_repeatAt = now + drawRepeat;
        m_lastDraw = {self, ++m_sequence, wanted, held};
        return m_lastDraw;
    }

    /// \returns the draw under way when it is time to send it again; the bank answers it only once.
    std::optional<draw_request> repeatedDraw(time_point now)
    {
        if (m_giveUpAt <= now || now < m_repeatAt) {
            return std::nullopt;
        }
        m_repeatAt = now + drawRepeat;
        return m_lastDraw;
    }

    /// The pause before a draw is sent again: several times its way there and back.
    static constexpr milliseconds drawRepeat{30};

    /// Takes the bank's answer; nothing when there was none.
    void finishDraw(const std::optional<draw_answer> &answer, time_point now)
    {
        if (m_giveUpAt <= now) {
            return; // Given up already; what it brought lapses unspent.
        }
        m_giveUpAt = time_point{};
        m_drawAgainAt = now + (answer ? microseconds(answer->retryMicros) : failedDrawPause);
        if (!answer || answer->granted == 0) {
            return;
        }
        const int held = now < m_lapsesAt ? m_held : 0;
        m_held = held + answer->granted;
        // Counted from when the draw was sent, so these lapse here before they do at the bank.
        m_lapsesAt = m_sentAt + withDriftMargin(microseconds(answer->lifetimeMicros));
    }

private:
    static constexpr int maxReserve = 2000;
    static constexpr milliseconds windowLength{20};
    /// A bank that cannot be reached is asked again after this time, not at once.
    static constexpr microseconds failedDrawPause{20000};

    void rollWindow(time_point now)
    {
        if (now < m_windowEnd) {
            return;
        }
        const bool adjacent = now < m_windowEnd + windowLength;
        m_recentlySpent = adjacent ? m_spentInWindow : 0;
        m_spentInWindow = 0;
        m_windowEnd = now + windowLength;
    }

    int m_windowsAhead;
    milliseconds m_drawTimeout;
    int m_held = 0;
    int m_spentInWindow = 0;
    int m_recentlySpent = 0; ///< in the window before this one
    time_point m_windowEnd{};
    std::uint64_t m_sequence = 0;
    draw_request m_lastDraw{vm_id(""), 0, 0, 0};
    time_point m_repeatAt{};
    time_point m_lapsesAt{};
    time_point m_sentAt{};
    time_point m_giveUpAt{};
    time_point m_drawAgainAt{};
};

} // namespace damaskward
