/// \file
/// \brief One VM's part in fleet-wide rate limits: requests tokens and owns some of the buckets.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "token_bucket.h"
#include "token_cache.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// A rate limit of the whole fleet.
struct fleet_limit
{
    double rate = 0.0; ///< tokens per second
    double burst = 0.0; ///< capacity in tokens
    double start = 0.0; ///< initial level of a new bucket, though the previous one's is unknown
};

/// A token request to the owner of a limit's bucket.
struct limit_token_request
{
    std::string limit; ///< the name of the limit
    token_request request;
};

/// The bucket owner's response.
struct limit_token_response
{
    std::string limit;
    std::uint64_t sequence = 0;
    token_response answer;
};

/// The outcome for a request that waits for a token.
enum class token_outcome {
    Granted, ///< trySpend() succeeds now
    Denied ///< the bucket has no token for it
};

/// \class rate_limiter
/// \brief Rate limiter for named limits of the whole fleet. Without I/O; not thread-safe.
///
/// All VMs that are in contact with each other use the same VM as the owner of a limit's token
/// bucket. In a network partition, each side of the fleet gets its share of the limit.
///
/// Two kinds of waiting are not denials: a request that arrives while a token request is in flight
/// waits for the next token request, and all requests wait while a new bucket does not grant yet.
///
/// \code
/// if (!limiter.trySpend("team/dojo", now))
///     limiter.waitFor("team/dojo", [](token_outcome outcome) { tryAgain(outcome); });
/// for (const limit_token_request &request : limiter.requestsToSend(now))
///     sendToBucketOwner(request);
/// \endcode
/// \sa token_bucket, token_cache
class rate_limiter
{
public:
    /// Returns the limit of a given name, or nothing if this VM does not know it.
    using limit_source = std::function<std::optional<fleet_limit>(std::string_view)>;
    /// Returns the share of each limit that the reachable part of the fleet may spend.
    using share_source = std::function<double()>;

    rate_limiter(std::string self, limit_source limits, share_source share)
        : m_self(std::move(self))
        , m_limits(std::move(limits))
        , m_share(std::move(share))
    { }

    /// Spends a token of \a limit.
    /// \returns false if this VM holds none.
    bool trySpend(const std::string &limit, time_point now)
    {
        return m_caches[limit].cache.trySpend(now);
    }

    /// Called once, when the bucket owner has responded.
    using token_callback = std::function<void(token_outcome)>;

    /// Calls \a callback when the bucket owner has decided on a token request that covers it.
    void waitFor(const std::string &limit, token_callback callback)
    {
        m_caches[limit].waiting.push_back(std::move(callback));
    }

    /// \returns the token requests to send now, including repetitions of unanswered ones.
    std::vector<limit_token_request> requestsToSend(time_point now)
    {
        std::vector<limit_token_request> result;
        for (auto &[limit, entry] : m_caches) {
            const int waiting = static_cast<int>(entry.waiting.size());
            if (auto request = entry.cache.nextDraw(vm_id(m_self), waiting, now)) {
                entry.sequence = request->sequence;
                entry.covered = entry.waiting.size();
                result.push_back({limit, *request});
            } else if (const auto again = entry.cache.repeatedRequest(now)) {
                result.push_back({limit, *again});
            }
        }
        return result;
    }

    /// Applies a bucket owner's response and calls the callbacks that the token request covers.
    /// \returns whether requests still wait, so that another token request is due.
    bool applyResponse(const limit_token_response &response, time_point now)
    {
        const auto it = m_caches.find(response.limit);
        if (it == m_caches.end() || it->second.sequence != response.sequence) {
            return false; // The token request had timed out.
        }
        limit_state &entry = it->second;
        entry.cache.finishDraw(response.answer, now);
        if (response.answer.open) {
            notifyCovered(entry, response.answer.granted);
        }
        return !entry.waiting.empty();
    }

    /// Handles a token request as the bucket owner.
    /// \returns the response, or nothing if this VM does not know the limit.
    std::optional<limit_token_response> handleRequest(const limit_token_request &limitRequest,
                                                      time_point now)
    {
        const auto limit = m_limits(limitRequest.limit);
        if (!limit) {
            return std::nullopt;
        }
        const double share = m_share();
        const auto it = findOrCreateBucket(limitRequest.limit, *limit, share, now);
        it->second.setLimit(limit->rate * share, std::max(1.0, limit->burst * share), now);
        return limit_token_response{
            limitRequest.limit, limitRequest.request.sequence,
            it->second.draw(limitRequest.request, now + tokenLifetime, now)};
    }

    /// Removes the buckets that this VM no longer owns.
    /// \param isOwner returns whether this VM is the bucket owner of a limit
    void removeBuckets(const std::function<bool(const std::string &)> &isOwner)
    {
        for (auto it = m_buckets.begin(); it != m_buckets.end();) {
            it = isOwner(it->first) ? std::next(it) : m_buckets.erase(it);
        }
    }

    /// Creates the bucket of \a limit before the first token request, unless it exists.
    void createBucket(const std::string &limit, time_point now)
    {
        const auto known = m_limits(limit);
        if (known) {
            findOrCreateBucket(limit, *known, m_share(), now);
        }
    }

private:
    /// A token request counts as lost after this time, in which it is sent several times.
    static constexpr milliseconds requestTimeout{200};

    struct limit_state
    {
        token_cache cache{0, requestTimeout};
        std::uint64_t sequence = 0; ///< of the token request in flight
        std::size_t covered = 0; ///< number of callbacks, from the first, that it covers
        std::vector<token_callback> waiting;
    };

    static void notifyCovered(limit_state &entry, int tokens)
    {
        const auto first = entry.waiting.begin();
        const auto end =
            first + static_cast<std::ptrdiff_t>(std::min(entry.covered, entry.waiting.size()));
        const std::vector<token_callback> covered(std::make_move_iterator(first),
                                                  std::make_move_iterator(end));
        entry.waiting.erase(first, end);
        entry.covered = 0;
        for (const token_callback &callback : covered) {
            callback(tokens-- > 0 ? token_outcome::Granted : token_outcome::Denied);
        }
    }

    /// \returns the bucket of the limit \a name, created if there is none. A new bucket grants only
    /// after tokenLifetime, when all tokens of a previous one have expired.
    std::map<std::string, token_bucket>::iterator findOrCreateBucket(const std::string &name,
                                                                     const fleet_limit &limit,
                                                                     double share, time_point now)
    {
        const double burst = std::max(1.0, limit.burst * share);
        return m_buckets
            .try_emplace(name, limit.rate * share, burst, now + tokenLifetime,
                         std::min(burst, limit.start * share))
            .first;
    }

    std::string m_self;
    limit_source m_limits;
    share_source m_share;
    std::map<std::string, limit_state> m_caches;
    std::map<std::string, token_bucket> m_buckets;
};

} // namespace damaskward
