/// \file
/// \brief Local cache of one team's tokens at one entry.

#pragma once

#include "token_bucket.h"

#include <optional>

namespace damaskward {

/// \class token_cache
/// \brief Local token cache: spends tokens granted by the team's token bucket, and decides when to
/// request more and how many.
///
/// Not thread-safe; the owner must synchronize access. At most one token request is in flight.
///
/// \code
/// if (!cache.trySpend(now)) {
///     ++waiting;
///     if (auto request = cache.nextDraw(self, waiting, now)) { ... }
/// }
/// \endcode
/// \sa token_bucket
class token_cache
{
public:
    /// \param windowsAhead the expected spending of this many windows is requested in advance; with
    ///        0, tokens are requested only for waiting requests, so that none expires unspent. 0
    ///        suits token requests that take only a few milliseconds.
    /// \param requestTimeout a token request counts as lost after this time; at most tokenLifetime
    explicit token_cache(int windowsAhead = 2, milliseconds requestTimeout = tokenLifetime)
        : m_windowsAhead(windowsAhead)
        , m_requestTimeout(requestTimeout)
    { }

    /// Spends one token.
    /// \returns false if the cache holds none.
    bool trySpend(time_point now)
    {
        rollWindow(now);
        if (m_unspent == 0 || now >= m_expiresAt) {
            return false;
        }
        --m_unspent;
        ++m_spentInWindow;
        return true;
    }

    /// Decides whether to request tokens for \a waiting requests and for those expected soon.
    /// \returns the token request to send, or nothing while one is in flight or none is needed.
    std::optional<token_request> nextDraw(const vm_id &self, int waiting, time_point now)
    {
        rollWindow(now);
        const int held = now < m_expiresAt ? m_unspent : 0;
        const bool inFlight = m_requestDeadline > now;
        const bool needed = waiting > 0 || (m_windowsAhead > 0 && held < m_recentlySpent);
        if (inFlight || !needed || now < m_nextRequestAt) {
            return std::nullopt;
        }
        // The reserve exceeds the spending of one window, so that a steady flow of requests seldom
        // waits for tokens.
        const int reserve = std::min(m_windowsAhead * m_recentlySpent, maxReserveTokens);
        const int wanted = waiting + std::max(0, reserve - held);
        m_sentAt = now;
        m_requestDeadline = now + m_requestTimeout;
        m_resendAt = now + drawRepeat;
        m_lastRequest = {self, ++m_sequence, wanted, held};
        return m_lastRequest;
    }

    /// \returns the token request in flight if it is time to send it again, else nothing. The
    /// bucket grants tokens for it only once.
    std::optional<token_request> repeatedRequest(time_point now)
    {
        if (m_requestDeadline <= now || now < m_resendAt) {
            return std::nullopt;
        }
        m_resendAt = now + drawRepeat;
        return m_lastRequest;
    }

    /// Interval at which an unanswered token request is sent again: several round-trip times.
    static constexpr milliseconds drawRepeat{30};

    /// Applies the bucket's response to the token request in flight.
    /// \param answer the response, or nothing if there was none
    void finishDraw(const std::optional<token_response> &answer, time_point now)
    {
        if (m_requestDeadline <= now) {
            return; // The request has timed out; the granted tokens expire unspent.
        }
        m_requestDeadline = time_point{};
        m_nextRequestAt = now + (answer ? microseconds(answer->retryMicros) : failedRequestDelay);
        if (!answer || answer->granted == 0) {
            return;
        }
        const int held = now < m_expiresAt ? m_unspent : 0;
        m_unspent = held + answer->granted;
        // The lifetime counts from when the request was sent, so the tokens expire here before they
        // expire at the bucket.
        m_expiresAt = m_sentAt + withDriftMargin(microseconds(answer->lifetimeMicros));
    }

private:
    static constexpr int maxReserveTokens = 2000;
    static constexpr milliseconds windowLength{20};
    /// Delay of the next token request after one that failed, so that an unreachable bucket owner
    /// does not get requests without pause.
    static constexpr microseconds failedRequestDelay{20000};

    void rollWindow(time_point now)
    {
        if (now < m_windowEndsAt) {
            return;
        }
        const bool adjacent = now < m_windowEndsAt + windowLength;
        m_recentlySpent = adjacent ? m_spentInWindow : 0;
        m_spentInWindow = 0;
        m_windowEndsAt = now + windowLength;
    }

    int m_windowsAhead;
    milliseconds m_requestTimeout;
    int m_unspent = 0;
    int m_spentInWindow = 0;
    int m_recentlySpent = 0; ///< in the previous window
    time_point m_windowEndsAt{};
    std::uint64_t m_sequence = 0;
    token_request m_lastRequest{vm_id(""), 0, 0, 0};
    time_point m_resendAt{};
    time_point m_expiresAt{};
    time_point m_sentAt{};
    time_point m_requestDeadline{};
    time_point m_nextRequestAt{};
};

} // namespace damaskward
