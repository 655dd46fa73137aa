#include "team_handler.h"

#include "../Core/json.h"

namespace damaskward {
namespace internal {

/// How long a request waits while no VM grants its team's tokens: the VM that owned the bucket may
/// just have failed, and another one must take over.
constexpr milliseconds bucketWaitTime{1800};
/// How long a request waits while the bucket is empty. Arrivals are bursty, so refusing a request
/// as soon as the bucket is empty would refuse teams that stay within their rate.
constexpr milliseconds tokenWaitTime{50};

} // namespace internal

team_handler::team_handler(const vm_id &self, peer_directory &peers,
                           const snapshot<control_view> &views)
    : m_self(self)
    , m_peers(peers)
    , m_views(views)
{ }

std::shared_ptr<team_handler::team_cache> team_handler::cacheOf(const team_id &team)
{
    const std::lock_guard lock(m_cachesMutex);
    std::shared_ptr<team_cache> &known = m_caches[team];
    if (known == nullptr) {
        known = std::make_shared<team_cache>();
    }
    return known;
}

void team_handler::admit(const control_view &view, const team_id &team, time_point deadline,
                         const admit_callback &done)
{
    if (view.buckets.count(team) == 0) {
        done({}); // No rule limits this team.
        return;
    }
    const std::shared_ptr<team_cache> cache = cacheOf(team);
    const time_point now = mono_clock::now();
    bool spent = false;
    {
        const std::lock_guard lock(cache->mutex);
        spent = cache->queue.empty() && cache->tokens.trySpend(now);
        if (!spent) {
            cache->queue.push_back(
                {std::min(deadline, now + internal::bucketWaitTime), time_point{}, done});
        }
    }
    if (spent) {
        done({});
    }
    requestTokens(team, cache); // For this request if it is queued, else in advance.
}

void team_handler::requestTokens(const team_id &team, const std::shared_ptr<team_cache> &cache)
{
    std::optional<token_request> request;
    {
        const std::lock_guard lock(cache->mutex);
        request = cache->tokens.nextDraw(m_self, static_cast<int>(cache->queue.size()),
                                         mono_clock::now());
    }
    if (!request) {
        return;
    }
    const std::shared_ptr<const control_view> view = m_views.get();
    const auto bucket = view->buckets.find(team);
    if (bucket == view->buckets.end() || bucket->second.owner.empty()) {
        onTokenResponse(cache, std::nullopt);
    } else if (bucket->second.owner == m_self) {
        onTokenResponse(cache, grantTokens(team, *request));
    } else {
        m_peers.call(
            bucket->second.owner, "draw", toJson(team, *request),
            [this, team, cache](const Json::Value *result) {
                const bool ownerAnswered = result != nullptr && jsonBool(*result, "bank");
                onTokenResponse(
                    cache, ownerAnswered ? std::optional(readDrawAnswer(*result)) : std::nullopt);
                if (ownerAnswered) {
                    requestTokens(team, cache); // For requests queued since this one was sent.
                }
            });
    }
}

std::vector<team_handler::admit_callback>
team_handler::popOverLimit(std::deque<queued_request> &queue, time_point now)
{
    std::vector<admit_callback> overLimit;
    for (queued_request &request : queue) {
        if (request.deniedAt == time_point{}) {
            request.deniedAt = now;
        }
    }
    while (!queue.empty() && now >= queue.front().deniedAt + internal::tokenWaitTime) {
        overLimit.push_back(std::move(queue.front().done));
        queue.pop_front();
    }
    return overLimit;
}

void team_handler::onTokenResponse(const std::shared_ptr<team_cache> &cache,
                                   const std::optional<token_response> &answer)
{
    std::vector<admit_callback> admitted;
    std::vector<admit_callback> refused;
    {
        const std::lock_guard lock(cache->mutex);
        const time_point now = mono_clock::now();
        const std::size_t queuedBefore = cache->queue.size();
        cache->tokens.finishDraw(answer, now);
        while (!cache->queue.empty() && cache->tokens.trySpend(now)) {
            admitted.push_back(std::move(cache->queue.front().done));
            cache->queue.pop_front();
        }
        // The bucket is empty: requests that have waited for tokenWaitTime since the first such
        // response exceed the team's limit. A bucket that does not grant tokens yet responds with a
        // lifetime of zero; the time spent waiting for it does not count.
        const bool spent = answer && answer->lifetimeMicros > 0 && admitted.size() < queuedBefore;
        if (spent) {
            refused = popOverLimit(cache->queue, now);
        }
    }
    for (const admit_callback &done : admitted) {
        done({});
    }
    for (const admit_callback &done : refused) {
        done(refusal::limit);
    }
}

token_response team_handler::grantTokens(const team_id &team, const token_request &request)
{
    const std::shared_ptr<const control_view> view = m_views.get();
    const auto info = view->buckets.find(team);
    if (info == view->buckets.end() || !info->second.isOwner) {
        return {};
    }
    const bucket_info &bucketInfo = info->second;
    const time_point now = mono_clock::now();
    const std::lock_guard lock(m_bucketsMutex);
    auto bucket = m_buckets.find(team);
    if (bucket == m_buckets.end() || bucket->second.term != bucketInfo.term) {
        const time_point startsAt = bucketInfo.previousOwnerExpired ? now : now + tokenLifetime;
        const bool isFirstTerm = bucketInfo.term == 1;
        // Tokens granted by the previous owner can be spent for tokenLifetime. A new bucket grants
        // none before that, unless there was no previous owner or its session has expired.
        m_buckets.erase(team);
        bucket = m_buckets
                     .emplace(team,
                              owned_bucket{bucketInfo.term,
                                           {bucketInfo.rate, bucketInfo.burst,
                                            isFirstTerm ? now : startsAt,
                                            isFirstTerm ? bucketInfo.burst : 0.0}})
                     .first;
    }
    bucket->second.bucket.setLimit(bucketInfo.rate, bucketInfo.burst, now);
    return bucket->second.bucket.draw(request, bucketInfo.authority, now);
}

void team_handler::expire(time_point now)
{
    std::map<team_id, std::shared_ptr<team_cache>> caches;
    {
        const std::lock_guard lock(m_cachesMutex);
        caches = m_caches;
    }
    for (const auto &[team, cache] : caches) {
        std::vector<admit_callback> expired;
        {
            const std::lock_guard lock(cache->mutex);
            while (!cache->queue.empty() && cache->queue.front().expiresAt <= now) {
                expired.push_back(std::move(cache->queue.front().done));
                cache->queue.pop_front();
            }
        }
        for (const admit_callback &done : expired) {
            done(refusal::noBank);
        }
        requestTokens(team, cache);
    }
}

Json::Value toJson(const team_id &team, const token_request &request)
{
    Json::Value value;
    value["team"] = team.str();
    value["from"] = request.from.str();
    value["sequence"] = Json::UInt64(request.sequence);
    value["wanted"] = request.wanted;
    value["held"] = request.held;
    return value;
}

Json::Value toJson(const token_response &answer)
{
    Json::Value value;
    value["bank"] = answer.lifetimeMicros > 0;
    value["granted"] = answer.granted;
    value["lifetime"] = Json::Int64(answer.lifetimeMicros);
    value["retry"] = Json::Int64(answer.retryMicros);
    return value;
}

token_request readDrawRequest(const Json::Value &value)
{
    return {vm_id(jsonText(value, "from")), jsonUnsigned(value, "sequence"),
            static_cast<int>(jsonSigned(value, "wanted")),
            static_cast<int>(jsonSigned(value, "held"))};
}

token_response readDrawAnswer(const Json::Value &value)
{
    return {static_cast<int>(jsonSigned(value, "granted")), jsonSigned(value, "lifetime"),
            jsonSigned(value, "retry")};
}

} // namespace damaskward
