/// \file
/// \brief The way of a request: route, team, limit, target, answer, and another try.

#pragma once

#include "../Admission/token_desk.h"
#include "../Fleet/deployment.h"
#include "../Fleet/part_picker.h"
#include "../Fleet/target_book.h"
#include "../Metrics/metrics.h"
#include "../Ranges/key_demand.h"
#include "../Ranges/range_map.h"
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
/// \brief Serves callers' requests by this VM's view of the fleet. For the event loop's thread.
///
/// A refusal (429, 503) is given only to a request that no target has run or may still run.
///
/// \code
/// request_router router(loop, deadlines, pool, targets, tokens, names, log, drawNow);
/// http_listener front(loop, deadlines, address, limits,
///                     [&](auto exchange) { router.serve(std::move(exchange)); });
/// \endcode
class request_router
{
public:
    /// \param drawNow called when a request waits for a token
    request_router(deadline_queue &deadlines, outgoing_pool &pool, target_book &targets,
                   token_desk &tokens, header_names names, request_log &log, metrics &counts,
                   std::function<void()> drawNow);
    ~request_router();

    void serve(std::shared_ptr<http_exchange> exchange);

    /// Takes over a configuration.
    void setDeployment(std::shared_ptr<const deployment> config);
    const std::shared_ptr<const deployment> &config() const { return m_config; }
    /// Takes over the owners of a service's keys.
    void setOwners(const service_id &service, range_map owners);
    /// Takes over what share of its requests each overloaded owner can take.
    /// \param until when the shares lapse, if no newer ones arrive
    void setOwnerShares(const std::map<std::string, double> &shares, time_point until);
    /// The configuration may be out of date: unknown routes and keys are refused for a while
    /// instead of denied.
    void setStale(bool stale) { m_stale = stale; }
    /// This VM's part of the repeated sends that the fleet may make.
    /// \param share repeated sends per request \param slack beyond that, for this VM
    void setRetryLimits(double share, double slack);

    /// \returns the demand for keys since the last call.
    key_demand takeDemand();

    /// \returns how many requests are under way.
    std::size_t underWay() const { return m_flows.size(); }

private:
    friend class internal::request_flow;

    using flow_ptr = std::shared_ptr<internal::request_flow>;

    retry_budget &budgetOf(const service_id &service);
    bool admits(const std::string &owner, time_point now);
    void addParked(std::weak_ptr<internal::request_flow> flow);
    void wakeParked();

    deadline_queue &m_deadlines;
    outgoing_pool &m_pool;
    target_book &m_targets;
    token_desk &m_tokens;
    header_names m_names;
    request_log &m_log;
    metrics &m_metrics;
    std::function<void()> m_drawNow;
    std::shared_ptr<const deployment> m_config;
    /// A share of requests is let through evenly: each adds the share, and one passes at each
    /// whole.
    struct owner_gate
    {
        double share = 1.0;
        double credit = 0.0;
    };

    std::map<service_id, range_map> m_owners;
    std::map<std::string, owner_gate, std::less<>> m_gates; ///< of overloaded owners
    time_point m_gatesUntil{};
    part_picker m_picker;
    std::map<service_id, std::unique_ptr<retry_budget>> m_budgets;
    double m_retryShare = 0.0;
    double m_retrySlack = 0.0;
    key_demand m_demand;
    std::set<flow_ptr> m_flows;
    std::vector<std::weak_ptr<internal::request_flow>> m_parked;
    bool m_stale = false;
};

} // namespace damaskward
