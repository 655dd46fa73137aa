/// \file
/// \brief Routes callers' requests to targets: route lookup, rate limits, target choice, retries.

#pragma once

#include "../Admission/admission_control.h"
#include "../Admission/capacity_source.h"
#include "../Admission/rate_limiter.h"
#include "../Fleet/deployment.h"
#include "../Fleet/target_pool.h"
#include "../Fleet/weighted_round_robin.h"
#include "../Metrics/metrics.h"
#include "../Ranges/key_demand.h"
#include "../Ranges/range_map.h"
#include "../Rollout/rollout_share.h"
#include "../Routing/retry_budget.h"
#include "deadline_queue.h"
#include "header_names.h"
#include "http_listener.h"
#include "outgoing_pool.h"
#include "request_log.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace damaskward {

namespace internal {
class request_flow;
}

/// \class request_router
/// \brief Serves callers' requests from this VM's view of the fleet. Event loop thread only.
///
/// The router itself answers 429 or 503 only to a request that no target has run or may still run.
///
/// \code
/// request_router router(deadlines, guard, pool, targets, tokens, names, log, counts,
/// requestTokens, rollouts); http_listener front(loop, deadlines, address, limits,
///                     [&](auto exchange) { router.serve(std::move(exchange)); });
/// \endcode
class request_router
{
public:
    /// \param guard runs each step of a request; one whose step fails is ended
    /// \param requestTokens sends the pending token requests; called when a request waits for a
    /// token
    /// \param rollouts decides which versions may get requests
    request_router(deadline_queue &deadlines, const handler_guard &guard, outgoing_pool &pool,
                   target_pool &targets, rate_limiter &tokens, header_names names, request_log &log,
                   metrics &counts, std::function<void()> requestTokens, rollout_share &rollouts);
    ~request_router();

    void serve(std::shared_ptr<http_exchange> exchange);

    /// Replaces the configuration. Requests already in flight keep the one they started with.
    void setDeployment(std::shared_ptr<const deployment> config);
    const std::shared_ptr<const deployment> &config() const { return m_config; }
    /// Replaces the owners of a service's keys and resumes the requests that wait for a change.
    void setOwners(const service_id &service, range_map owners);
    /// \returns the throttle that refuses excess requests for the keys of overloaded owners.
    owner_throttle &ownerThrottle() { return m_admission.ownerThrottle(); }
    /// Marks the configuration as possibly out of date. Unknown routes and API keys then get a
    /// retryable 503 instead of 404 or 401.
    void setConfigStale(bool stale) { m_stale = stale; }
    /// Sets until when this VM answers requests. A request whose deadline is later is refused at
    /// once, without having been sent to a target.
    void setAnswersUntil(time_point until) { m_answersUntil = until; }
    /// Sets this VM's part of the fleet's retry budget, for each service.
    /// \param share retries allowed per request
    /// \param slack retries allowed in addition
    void setRetryLimits(double share, double slack);

    /// Lets requests get capacity of \a source, which must outlive this router, before they are
    /// sent.
    void setCapacitySource(capacity_source &source) { m_capacity = &source; }

    /// \returns the requested keys and owner load recorded since the last call.
    key_demand takeDemand();

    /// \returns the number of requests in flight.
    std::size_t inFlightCount() const { return m_flows.size(); }

private:
    friend class internal::request_flow;

    using flow_ptr = std::shared_ptr<internal::request_flow>;

    retry_budget &retryBudgetOf(const service_id &service);
    void addWaiting(std::weak_ptr<internal::request_flow> flow);
    void resumeWaiting();

    deadline_queue &m_deadlines;
    const handler_guard &m_guard;
    outgoing_pool &m_pool;
    target_pool &m_targets;
    rate_limiter &m_tokens;
    header_names m_names;
    request_log &m_log;
    metrics &m_metrics;
    std::function<void()> m_requestTokens;
    capacity_source *m_capacity = nullptr; ///< null: requests need no capacity
    rollout_share &m_rollouts;
    std::shared_ptr<const deployment> m_config;
    std::map<service_id, range_map> m_owners;
    admission_control m_admission;
    weighted_round_robin m_weightedRoundRobin;
    std::map<service_id, std::unique_ptr<retry_budget>> m_retryBudgets;
    double m_retryShare = 0.0;
    double m_retrySlack = 0.0;
    key_demand m_demand;
    std::set<flow_ptr> m_flows;
    std::vector<std::weak_ptr<internal::request_flow>> m_waiting;
    bool m_stale = false;
    time_point m_answersUntil = time_point::max();
};

} // namespace damaskward
