#include "request_router.h"

#include "request_flow.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace damaskward {

request_router::request_router(deadline_queue &deadlines, const handler_guard &guard,
                               outgoing_pool &pool, target_pool &targets, rate_limiter &tokens,
                               header_names names, request_log &log, metrics &counts,
                               std::function<void()> requestTokens, rollout_share &rollouts)
    : m_deadlines(deadlines)
    , m_guard(guard)
    , m_pool(pool)
    , m_targets(targets)
    , m_tokens(tokens)
    , m_names(std::move(names))
    , m_log(log)
    , m_metrics(counts)
    , m_requestTokens(std::move(requestTokens))
    , m_rollouts(rollouts)
    , m_admission(targets, [] { return static_cast<double>(std::rand()) / RAND_MAX; })
{ }

request_router::~request_router() = default;

void request_router::serve(std::shared_ptr<http_exchange> exchange)
{
    auto flow = std::make_shared<internal::request_flow>(*this, std::move(exchange));
    m_flows.insert(flow);
    flow->start();
}

void request_router::setDeployment(std::shared_ptr<const deployment> config)
{
    m_config = std::move(config);
    m_weightedRoundRobin.reset();
}

void request_router::setOwners(const service_id &service, range_map owners)
{
    m_owners[service] = std::move(owners);
    resumeWaiting();
}

void request_router::addWaiting(std::weak_ptr<internal::request_flow> flow)
{
    constexpr std::size_t pruneThreshold = 512;
    if (m_waiting.size() > pruneThreshold) {
        m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(),
                                       [](const auto &weak) {
                                           const auto held = weak.lock();
                                           return !held || held->isDone();
                                       }),
                        m_waiting.end());
    }
    m_waiting.push_back(std::move(flow));
}

void request_router::resumeWaiting()
{
    const auto parked = std::move(m_waiting);
    m_waiting.clear();
    for (const auto &weak : parked) {
        const auto flow = weak.lock();
        if (flow && !flow->isDone()) {
            flow->advance();
        }
    }
}

void request_router::setRetryLimits(double share, double slack)
{
    if (share != m_retryShare || slack != m_retrySlack) {
        m_retryShare = share;
        m_retrySlack = slack;
        m_retryBudgets.clear();
    }
}

retry_budget &request_router::retryBudgetOf(const service_id &service)
{
    auto &budget = m_retryBudgets[service];
    if (!budget) {
        budget = std::make_unique<retry_budget>(m_retryShare, m_retrySlack);
    }
    return *budget;
}

key_demand request_router::takeDemand()
{
    return std::exchange(m_demand, {});
}

} // namespace damaskward
