/// \file
/// \brief The bank of one team in one data centre: hands out the tokens that requests spend.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"

#include <algorithm>
#include <map>

namespace damaskward {

/// How long tokens drawn from a bank may be spent.
inline constexpr milliseconds tokenLifetime{300};

/// An entry's request for tokens.
struct draw_request
{
    vm_id from;
    std::uint64_t sequence = 0; ///< raised by the entry with every draw
    int wanted = 0;
    int held = 0; ///< tokens of earlier draws that are still unspent
};

/// What a bank gives.
struct draw_answer
{
    int granted = 0;
    std::int64_t lifetimeMicros = 0; ///< how long the tokens held and granted may be spent
    std::int64_t retryMicros = 0; ///< when fewer were given than wanted: when to ask again
    bool open = true; ///< false: the bank does not act yet, and has not denied anything
};

/// \class team_bank
/// \brief A token bucket whose tokens are drawn in batches.
///
/// Tokens that are drawn and not yet spent count against the burst. So whatever the entries do
/// with them, what is spent in any window of t seconds is at most rate * t + burst: what was held
/// at its start and the bucket's level together are at most the burst, and the rest was earned
/// since. An entry that falls silent keeps its tokens on the books until they have lapsed.
///
/// \code
/// team_bank bank(100.0, 20.0, now);
/// draw_answer answer = bank.draw({vm, 1, 5, 0}, authority, now);
/// \endcode
class team_bank
{
public:
    /// \param rate tokens a second
    /// \param burst tokens at the most
    /// \param opensAt when every token of an earlier bank has surely lapsed
    /// \param level what it starts with: nothing, unless there never was an earlier bank
    team_bank(double rate, double burst, time_point opensAt, double level = 0.0)
        : m_rate(rate)
        , m_burst(burst)
        , m_level(level)
        , m_filledAt(opensAt)
    { }

    /// Takes over a changed rule; the level is kept.
    void setLimit(double rate, double burst, time_point now)
    {
        fill(now);
        m_rate = rate;
        m_burst = burst;
    }

    /// Hands out tokens.
    /// \param authority until when this VM may act as the bank
    draw_answer draw(const draw_request &request, time_point authority, time_point now)
    {
        draw_answer answer;
        if (now < m_filledAt || now >= authority) {
            answer.open = false;
            answer.retryMicros = std::chrono::duration_cast<microseconds>(
                                     std::max(duration::zero(), m_filledAt - now))
                                     .count();
            return answer;
        }
        batch &held = m_drawn[request.from];
        if (request.sequence == held.sequence && held.lapsesAt > now) {
            return held.answer; // Sent again, because the answer was lost or is late.
        }
        if (request.sequence <= held.sequence && held.lapsesAt > now) {
            return answer; // An older request that was overtaken.
        }
        // What the entry says it still holds can only be less than what the books say.
        const int stillHeld = held.lapsesAt > now ? std::min(request.held, held.count) : 0;
        held = {stillHeld, request.sequence, std::max(held.lapsesAt, now), {}};
        fill(now);
        answer.granted = std::min(std::max(request.wanted, 0), static_cast<int>(m_level));
        m_level -= answer.granted;
        const duration lifetime = std::min<duration>(tokenLifetime, authority - now);
        held.count += answer.granted;
        held.lapsesAt = now + lifetime;
        answer.lifetimeMicros = std::chrono::duration_cast<microseconds>(lifetime).count();
        if (answer.granted < request.wanted) {
            answer.retryMicros = microsUntilNextToken();
        }
        held.answer = answer;
        return answer;
    }

private:
    struct batch
    {
        int count = 0;
        std::uint64_t sequence = 0;
        time_point lapsesAt{};
        draw_answer answer; ///< to the newest draw
    };

    std::int64_t microsUntilNextToken() const
    {
        constexpr double microsPerSecond = 1e6;
        constexpr std::int64_t leastWait = 5000;
        const double missing = std::max(0.0, 1.0 - m_level);
        const auto wait =
            static_cast<std::int64_t>(missing / std::max(m_rate, 1e-6) * microsPerSecond);
        return std::max(leastWait, wait);
    }

    void fill(time_point now)
    {
        if (now <= m_filledAt) {
            return;
        }
        int outstanding = 0;
        for (auto it = m_drawn.begin(); it != m_drawn.end();) {
            if (it->second.lapsesAt < now) {
                it = m_drawn.erase(it);
                continue;
            }
            outstanding += it->second.count;
            ++it;
        }
        const double earned = m_rate * std::chrono::duration<double>(now - m_filledAt).count();
        const double room = std::max(0.0, m_burst - outstanding);
        m_level = std::min(m_level + earned, room);
        m_filledAt = now;
    }

    double m_rate;
    double m_burst;
    double m_level;
    time_point m_filledAt;
    std::map<vm_id, batch> m_drawn;
};

} // namespace damaskward
