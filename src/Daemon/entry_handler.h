/// \file
/// \brief The entry: serves callers' requests at the VM that receives them.

#pragma once

#include "../Core/log.h"
#include "../Core/snapshot.h"
#include "../Metrics/metrics.h"
#include "../Routing/retry_budget.h"
#include "../Routing/target_chooser.h"
#include "../Settings/vm_settings.h"
#include "control_view.h"
#include "forwarding.h"
#include "gate_handler.h"
#include "gate_link.h"
#include "shared_crash_tracker.h"
#include "team_handler.h"

#include <cpprest/http_msg.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace damaskward {

struct entry_call;
struct last_attempt;

/// References to the components that the entry uses; they must outlive it.
struct entry_dependencies
{
    const vm_settings &settings;
    const snapshot<control_view> &views;
    team_handler &teams;
    gate_handler &gates;
    gate_link &links;
    shared_crash_tracker &crashes;
    metrics &requestMetrics;
};

/// \class entry_handler
/// \brief Authorizes, admits, routes, retries and answers callers' requests. Thread-safe.
///
/// A request passes through \c handle(), \c admit(), \c readBody(), \c route() and \c sendTo().
/// If an attempt fails and the request may safely be sent again before its deadline, it is routed
/// again.
///
/// \code
/// http_server server(address, [&](http_request r) { entry.handle(r); });
/// \endcode
class entry_handler
{
public:
    explicit entry_handler(const entry_dependencies &dependencies);
    ~entry_handler();

    /// Starts processing a caller's request and returns; the answer is sent asynchronously.
    void handle(const web::http::http_request &message);
    /// Routes waiting requests again, answers those whose deadline has passed, and cancels or
    /// hedges attempts in flight. Must be called periodically.
    void expire(time_point now);
    /// Refuses new requests from now on; requests in progress are still completed.
    void stop() { m_stopping = true; }
    /// \returns the number of requests received since the start, including refused ones.
    std::uint64_t receivedCount() const { return m_receivedCount; }
    /// \returns the number of requests received and not yet answered.
    int inProgressCount() const { return m_inProgressCount; }

private:
    using call_ptr = std::shared_ptr<entry_call>;
    struct attempt;
    using attempt_ptr = std::shared_ptr<attempt>;

    int authorizeCaller(const web::http::http_request &message, const control_view &view,
                        entry_call &call, std::string_view &reason) const;
    int validateHeaders(const web::http::http_request &message, entry_call &call,
                        std::string_view &reason) const;
    void admit(const call_ptr &call);
    void readBody(const call_ptr &call);
    void onBody(const call_ptr &call, std::vector<unsigned char> body);
    void route(const call_ptr &call);
    const routed_target *chooseTarget(const std::optional<last_attempt> &last,
                                      const routed_service &service);
    std::vector<target_id> candidates(const routed_service &service) const;
    static bool shouldSendTo(const std::optional<last_attempt> &last, const routed_target &target,
                             std::uint64_t epoch);
    void sendTo(const call_ptr &call, const routed_target &target,
                std::optional<std::uint32_t> shard, std::uint64_t epoch);
    void hedge(const call_ptr &call);
    void onAnswer(const attempt_ptr &attemptState, const forward_answer &answer);
    void recordAttemptResult(const attempt &attemptState, const forward_answer &answer);
    /// \returns whether the gate refused the request because of its route, so that another route
    /// may work before the deadline.
    bool canReroute(const entry_call &call, const forward_answer &answer) const;
    /// \returns whether the request may be sent again; if so, one retry is taken from the budget.
    bool trySpendRetry(const entry_call &call, const forward_answer &answer);
    void enqueueWaiting(const call_ptr &call);
    void cancelOrHedgeAttempts(time_point now);
    void respond(const call_ptr &call, const forward_answer &answer);
    void refuse(const call_ptr &call, int status, std::string_view reason);
    void recordOutcome(const entry_call &call, const forward_answer &answer);

    entry_dependencies m_dependencies;
    std::atomic<int> m_inProgressCount{0};
    std::atomic<std::uint64_t> m_receivedCount{0};
    std::atomic<bool> m_stopping{false};
    std::atomic<std::uint64_t> m_nextRequest{0};
    const std::string m_idPrefix;
    retry_budget m_retries;
    std::mutex m_choosersMutex;
    std::map<service_id, target_chooser> m_choosers;
    std::mutex m_waitingMutex;
    std::vector<call_ptr> m_waiting; ///< requests without a usable route at the moment
    std::mutex m_attemptsMutex;
    std::vector<std::weak_ptr<attempt>> m_attempts; ///< in flight, and some already completed
};

} // namespace damaskward
