/// \file
/// \brief The token bucket of one team, for one data centre or for the whole fleet.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"

#include <algorithm>
#include <map>

namespace damaskward {

/// How long tokens granted by a bucket may be spent.
inline constexpr milliseconds tokenLifetime{300};

/// An entry's request for tokens.
struct token_request
{
    vm_id from;
    std::uint64_t sequence = 0; ///< increased by the entry with every token request
    int wanted = 0;
    int held = 0; ///< tokens of earlier requests that are still unspent
};

/// A bucket's response to a token request.
struct token_response
{
    int granted = 0;
    std::int64_t lifetimeMicros = 0; ///< how long the tokens held and granted may be spent
    std::int64_t retryMicros = 0; ///< after this time to request again, if not all were granted
    bool open = true; ///< false if the bucket does not grant at this time; that is no denial
};

/// \class token_bucket
/// \brief A token bucket that grants its tokens to entries in batches. Not thread-safe.
///
/// Granted tokens that are not yet spent count against the burst. Therefore at most
/// rate * t + burst tokens are spent in any window of t seconds, however the entries spend them: at
/// the start of the window, the unspent tokens and the bucket's level together are at most the
/// burst, and at most rate * t tokens are added during the window. The tokens of an unresponsive
/// entry stay counted until they have expired.
///
/// \code
/// token_bucket bucket(100.0, 20.0, now);
/// token_response answer = bucket.draw({vm, 1, 5, 0}, authority, now);
/// \endcode
/// \sa token_cache
class token_bucket
{
public:
    /// \param rate tokens per second
    /// \param burst capacity in tokens
    /// \param opensAt when every token of a previous bucket has certainly expired; no token is
    ///        granted earlier
    /// \param level initial level: 0, unless there never was a previous bucket
    token_bucket(double rate, double burst, time_point opensAt, double level = 0.0)
        : m_rate(rate)
        , m_burst(burst)
        , m_level(level)
        , m_refilledAt(opensAt)
    { }

    /// Changes the limit and keeps the level.
    void setLimit(double rate, double burst, time_point now)
    {
        refill(now);
        m_rate = rate;
        m_burst = burst;
    }

    /// Handles a token request.
    /// \param authority until when this VM may act as the bucket owner
    token_response draw(const token_request &request, time_point authority, time_point now)
    {
        token_response answer;
        if (now < m_refilledAt || now >= authority) {
            answer.open = false;
            answer.retryMicros = std::chrono::duration_cast<microseconds>(
                                     std::max(duration::zero(), m_refilledAt - now))
                                     .count();
            return answer;
        }
        batch &issued = m_issued[request.from];
        if (request.sequence == issued.sequence && issued.expiresAt > now) {
            return issued.answer; // Sent again, because the response was lost or is late.
        }
        if (request.sequence <= issued.sequence && issued.expiresAt > now) {
            return answer; // An older request, received after a newer one.
        }
        // The entry may hold fewer tokens than are counted here, but never more.
        const int unspent = issued.expiresAt > now ? std::min(request.held, issued.count) : 0;
        issued = {unspent, request.sequence, std::max(issued.expiresAt, now), {}};
        refill(now);
        answer.granted = std::min(std::max(request.wanted, 0), static_cast<int>(m_level));
        m_level -= answer.granted;
        const duration lifetime = std::min<duration>(tokenLifetime, authority - now);
        issued.count += answer.granted;
        issued.expiresAt = now + lifetime;
        answer.lifetimeMicros = std::chrono::duration_cast<microseconds>(lifetime).count();
        if (answer.granted < request.wanted) {
            answer.retryMicros = microsUntilNextToken();
        }
        issued.answer = answer;
        return answer;
    }

private:
    struct batch
    {
        int count = 0; ///< unspent tokens, as far as known here
        std::uint64_t sequence = 0;
        time_point expiresAt{};
        token_response answer; ///< to the newest token request
    };

    std::int64_t microsUntilNextToken() const
    {
        constexpr double microsPerSecond = 1e6;
        constexpr std::int64_t minWaitMicros = 5000;
        const double missing = std::max(0.0, 1.0 - m_level);
        const auto waitMicros =
            static_cast<std::int64_t>(missing / std::max(m_rate, 1e-6) * microsPerSecond);
        return std::max(minWaitMicros, waitMicros);
    }

    void refill(time_point now)
    {
        if (now <= m_refilledAt) {
            return;
        }
        int outstanding = 0;
        for (auto it = m_issued.begin(); it != m_issued.end();) {
            if (it->second.expiresAt < now) {
                it = m_issued.erase(it);
                continue;
            }
            outstanding += it->second.count;
            ++it;
        }
        const double earned = m_rate * std::chrono::duration<double>(now - m_refilledAt).count();
        const double room = std::max(0.0, m_burst - outstanding);
        m_level = std::min(m_level + earned, room);
        m_refilledAt = now;
    }

    double m_rate;
    double m_burst;
    double m_level;
    time_point m_refilledAt;
    std::map<vm_id, batch> m_issued;
};

} // namespace damaskward
