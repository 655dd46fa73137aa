/// \file
/// \brief Rate limits of teams at one VM: token caches for its own requests, and the token buckets
/// that it owns.

#pragma once

#include "../Admission/token_bucket.h"
#include "../Admission/token_cache.h"
#include "../Core/snapshot.h"
#include "control_view.h"
#include "forwarding.h"
#include "peer_directory.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace damaskward {

/// \class team_handler
/// \brief Admits requests against their team's limit. Thread-safe.
///
/// Each VM caches tokens that it requests in batches from the team's token bucket, which one VM of
/// the data centre owns. That VM grants tokens to all VMs of the data centre.
///
/// \code
/// teams.admit(*view, team, deadline, [](std::string_view refusal) { ... });
/// \endcode
/// \sa token_cache, token_bucket
class team_handler
{
public:
    /// Receives an empty text if the request is admitted, else the reason of the refusal.
    using admit_callback = std::function<void(std::string_view refusal)>;

    /// \param views the current views, which name the bucket owners
    team_handler(const vm_id &self, peer_directory &peers, const snapshot<control_view> &views);

    /// Spends one token of \a team, at once or when the bucket owner has granted more.
    /// \param view the view in force when the request arrived
    /// \param deadline latest time at which the request stops waiting for a token
    /// \param done called once, possibly before this function returns
    void admit(const control_view &view, const team_id &team, time_point deadline,
               const admit_callback &done);
    /// Grants tokens to a VM of this data centre if this VM owns the team's token bucket.
    token_response grantTokens(const team_id &team, const token_request &request);
    /// Refuses requests that have waited too long for a bucket owner and requests tokens for the
    /// others. Must be called periodically.
    void expire(time_point now);

private:
    struct queued_request
    {
        time_point expiresAt;
        time_point deniedAt; ///< when the bucket owner first had no token for it
        admit_callback done;
    };
    struct team_cache
    {
        std::mutex mutex;
        token_cache tokens;
        std::deque<queued_request> queue;
    };
    struct owned_bucket
    {
        std::uint64_t term = 0;
        token_bucket bucket;
    };

    std::shared_ptr<team_cache> cacheOf(const team_id &team);
    void requestTokens(const team_id &team, const std::shared_ptr<team_cache> &cache);
    static std::vector<admit_callback> popOverLimit(std::deque<queued_request> &queue,
                                                    time_point now);
    void onTokenResponse(const std::shared_ptr<team_cache> &cache,
                         const std::optional<token_response> &answer);

    const vm_id m_self;
    peer_directory &m_peers;
    const snapshot<control_view> &m_views;
    std::mutex m_cachesMutex;
    std::map<team_id, std::shared_ptr<team_cache>> m_caches;
    std::mutex m_bucketsMutex;
    std::map<team_id, owned_bucket> m_buckets;
};

/// JSON encoding of token requests and responses between VMs.
Json::Value toJson(const team_id &team, const token_request &request);
Json::Value toJson(const token_response &answer);
token_request readDrawRequest(const Json::Value &value);
token_response readDrawAnswer(const Json::Value &value);

} // namespace damaskward
