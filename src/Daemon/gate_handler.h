/// \file
/// \brief The request path of the gates at one VM: queues, slots and exchanges with targets.

#pragma once

#include "../Core/log.h"
#include "../Metrics/metrics.h"
#include "../Requests/intent_row.h"
#include "../Routing/gate_queue.h"
#include "control_view.h"
#include "forwarding.h"
#include "intent_store.h"
#include "shared_crash_tracker.h"
#include "target_exchange.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <shared_mutex>

namespace damaskward {

/// \class gate_handler
/// \brief Queues and sends requests for the targets whose gate is at this VM. Thread-safe.
///
/// Before a non-idempotent request is sent, an intent row is recorded, so that the request is
/// executed at most once.
///
/// \code
/// gates.submit(request, [](const forward_answer &answer) { ... });
/// \endcode
/// \sa gate_queue, intent_store
class gate_handler
{
public:
    /// \param tokenSeed seeds the attempt tokens; random in production
    gate_handler(std::shared_ptr<intent_store> intents, shared_crash_tracker &crashes,
                 metrics &requestMetrics, std::uint64_t tokenSeed);
    ~gate_handler();

    /// Adds, updates and releases gates according to \a view. Requests that wait at a released gate
    /// are refused; those already sent are completed.
    void sync(const control_view &view);
    /// Queues a request for its target. \a done may be called on this thread, when the request is
    /// refused at once, or later on another one.
    void submit(const std::shared_ptr<const forward_request> &request, const answer_callback &done);
    /// Refuses requests whose deadline passed while they waited and cancels exchanges whose
    /// deadline has passed. Must be called periodically.
    void expire(time_point now);
    /// \returns the number of requests that wait or run at the gates held now, or still run at
    /// released ones.
    std::size_t inProgressCount() const;

private:
    struct pending
    {
        std::shared_ptr<const forward_request> message;
        answer_callback done;
        std::uint64_t epoch = 0;
        pplx::cancellation_token_source cancel;
        bool sent = false;
    };
    struct gate
    {
        std::mutex mutex;
        std::shared_ptr<const gate_info> info; ///< replaced, never modified, by the control thread
        gate_queue queue;
        std::map<request_number, std::shared_ptr<pending>> requests;
        std::unique_ptr<target_exchange> exchange;

        explicit gate(const gate_info &held);
    };
    /// A request that occupies a slot of its target.
    struct dispatch_job
    {
        std::shared_ptr<gate> gateState;
        request_number number = 0;
        std::shared_ptr<pending> request;
        std::shared_ptr<const gate_info> info; ///< as of when the slot was assigned
        row_version intentVersion = 0;
        std::string intentName;
        intent_row intent;
    };
    using dispatch_job_ptr = std::shared_ptr<dispatch_job>;

    std::shared_ptr<gate> findGate(const target_id &target) const;
    static bool mustRefuseAll(const gate_info &info);
    static void refuseWaiting(gate &gateState, std::string_view reason);
    std::string_view refusalReason(const gate &gateState, const forward_request &request) const;
    void dispatchReady(const std::shared_ptr<gate> &gateState);
    void startJob(const dispatch_job_ptr &job);
    void recordIntent(const dispatch_job_ptr &job);
    void onIntent(const dispatch_job_ptr &job, const intent_outcome &outcome);
    void send(const dispatch_job_ptr &job);
    void onExchange(const dispatch_job_ptr &job, const exchange_outcome &outcome);
    void answerRun(const dispatch_job_ptr &job, const exchange_outcome &outcome);
    void answerNotRun(const dispatch_job_ptr &job, std::string_view reason);
    void answerUnknown(const dispatch_job_ptr &job, const exchange_outcome &outcome);
    void finish(const dispatch_job_ptr &job, bool served, const forward_answer &answer);
    std::uint64_t newAttemptToken();

    std::shared_ptr<intent_store> m_intents;
    shared_crash_tracker &m_crashes;
    metrics &m_metrics;
    mutable std::shared_mutex m_gatesMutex;
    std::map<target_id, std::shared_ptr<gate>> m_gates;
    /// No longer held; their last requests still run.
    std::vector<std::weak_ptr<gate>> m_releasedGates;
    std::atomic<request_number> m_nextNumber{0};
    std::mutex m_randomMutex;
    std::mt19937_64 m_random;
};

} // namespace damaskward
