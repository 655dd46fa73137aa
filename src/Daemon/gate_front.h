/// \file
/// \brief The gates of one VM as requests see them: queues, slots and the exchange with targets.

#pragma once

#include "../Core/log.h"
#include "../Metrics/metrics.h"
#include "../Requests/intent_row.h"
#include "../Routing/gate_queue.h"
#include "control_view.h"
#include "crash_ledger.h"
#include "forwarding.h"
#include "intent_keeper.h"
#include "target_exchange.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <shared_mutex>

namespace damaskward {

/// \class gate_front
/// \brief Takes requests for the targets whose gate this VM is. Thread-safe.
///
/// \code
/// gates.submit(request, [](const forward_answer &answer) { ... });
/// \endcode
/// \sa gate_queue, intent_keeper
class gate_front
{
public:
    /// \param tokenSeed seeds the attempt tokens; random in production
    gate_front(std::shared_ptr<intent_keeper> intents, crash_ledger &crashes, metrics &counts,
               std::uint64_t tokenSeed);
    ~gate_front();

    /// Takes over the gates that the control thread says are held.
    void sync(const control_view &view);
    /// Queues a request for its target and answers later, on a network thread.
    void submit(const std::shared_ptr<const forward_request> &request, const answer_callback &done);
    /// Refuses what has waited too long and gives up what has run too long.
    void expire(time_point now);
    /// \returns how many requests wait or run.
    std::size_t inside() const;

private:
    struct pending
    {
        std::shared_ptr<const forward_request> request;
        answer_callback done;
        std::uint64_t epoch = 0;
        pplx::cancellation_token_source cancel;
        bool sent = false;
    };
    struct gate
    {
        std::mutex mutex;
        std::shared_ptr<const gate_info> info; ///< replaced as a whole by the control thread
        gate_queue queue;
        std::map<request_number, std::shared_ptr<pending>> requests;
        std::unique_ptr<target_exchange> exchange;

        explicit gate(const gate_info &held);
    };
    /// A gate and a request that has its slot.
    struct dispatched
    {
        std::shared_ptr<gate> at;
        request_number number = 0;
        std::shared_ptr<pending> what;
        std::shared_ptr<const gate_info> info; ///< as it was when the slot was given
        row_version intentVersion = 0;
        std::string intentName;
        intent_row intent;
    };
    using dispatched_ptr = std::shared_ptr<dispatched>;

    std::shared_ptr<gate> find(const target_id &target) const;
    std::string_view whyRefused(const gate &g, const forward_request &request) const;
    void pump(const std::shared_ptr<gate> &g);
    void start(const dispatched_ptr &d);
    void recordIntent(const dispatched_ptr &d);
    void onIntent(const dispatched_ptr &d, const intent_outcome &outcome);
    void send(const dispatched_ptr &d);
    void onExchange(const dispatched_ptr &d, const exchange_outcome &outcome);
    void answerRun(const dispatched_ptr &d, const exchange_outcome &outcome);
    void answerNotRun(const dispatched_ptr &d, std::string_view reason);
    void answerDoubt(const dispatched_ptr &d, const exchange_outcome &outcome);
    void finish(const dispatched_ptr &d, bool served, const forward_answer &answer);
    std::uint64_t newToken();

    std::shared_ptr<intent_keeper> m_intents;
    crash_ledger &m_crashes;
    metrics &m_metrics;
    mutable std::shared_mutex m_gatesMutex;
    std::map<target_id, std::shared_ptr<gate>> m_gates;
    std::vector<std::weak_ptr<gate>> m_left; ///< gates given up whose last requests still run
    std::atomic<request_number> m_nextNumber{0};
    std::mutex m_randomMutex;
    std::mt19937_64 m_random;
};

} // namespace damaskward
