/// \file
/// \brief The entry: what happens to a caller's request at the VM that receives it.

#pragma once

#include "../Core/log.h"
#include "../Core/snapshot.h"
#include "../Metrics/metrics.h"
#include "../Routing/retry_budget.h"
#include "../Routing/target_chooser.h"
#include "../Settings/vm_settings.h"
#include "control_view.h"
#include "crash_ledger.h"
#include "forwarding.h"
#include "gate_front.h"
#include "gate_link.h"
#include "team_front.h"

#include <cpprest/http_msg.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace damaskward {

/// One caller's request and its attempts, and where it was sent last.
struct entry_call;
struct last_attempt;

/// What the entry works with.
struct entry_parts
{
    const vm_settings &settings;
    const snapshot<control_view> &views;
    team_front &teams;
    gate_front &gates;
    gate_link &links;
    crash_ledger &crashes;
    metrics &counts;
};

/// \class entry_front
/// \brief Checks, admits, routes, retries and answers callers' requests. Thread-safe.
///
/// \code
/// http_server server(address, [&](http_request r) { entry.handle(r); });
/// \endcode
class entry_front
{
public:
    explicit entry_front(const entry_parts &parts);
    ~entry_front();

    /// Takes a caller's request and answers it later.
    void handle(const web::http::http_request &message);
    /// Sends again what waits for an owner, and gives up what is overdue.
    void expire(time_point now);
    /// From now on refuses new requests; those inside are finished.
    void stop() { m_stopping = true; }
    /// \returns how many requests have come in so far.
    std::uint64_t taken() const { return m_taken; }
    /// \returns how many requests are inside.
    int inside() const { return m_inside; }

private:
    using call_ptr = std::shared_ptr<entry_call>;
    struct attempt;
    using attempt_ptr = std::shared_ptr<attempt>;

    int checkCaller(const web::http::http_request &message, const control_view &view,
                    entry_call &call, std::string_view &reason) const;
    int checkMessage(const web::http::http_request &message, entry_call &call,
                     std::string_view &reason) const;
    void admit(const call_ptr &call);
    void readBody(const call_ptr &call);
    void onBody(const call_ptr &call, std::vector<unsigned char> body);
    void route(const call_ptr &call);
    const routed_target *chooseAny(const std::optional<last_attempt> &last,
                                   const routed_service &service);
    std::vector<target_id> candidates(const routed_service &service) const;
    static bool isWorthSending(const std::optional<last_attempt> &last, const routed_target &target,
                               std::uint64_t epoch);
    void sendTo(const call_ptr &call, const routed_target &target,
                std::optional<std::uint32_t> shard, std::uint64_t epoch);
    void hedge(const call_ptr &call);
    void onAnswer(const attempt_ptr &a, const forward_answer &answer);
    void noteTarget(const attempt &a, const forward_answer &answer);
    bool waitsForOwner(const entry_call &call, const forward_answer &answer) const;
    bool maySendAgain(const entry_call &call, const forward_answer &answer);
    void wait(const call_ptr &call);
    void reviewAttempts(time_point now);
    void answer(const call_ptr &call, const forward_answer &answer);
    void refuse(const call_ptr &call, int status, std::string_view reason);
    void countOutcome(const entry_call &call, const forward_answer &answer);

    entry_parts m_parts;
    std::atomic<int> m_inside{0};
    std::atomic<std::uint64_t> m_taken{0};
    std::atomic<bool> m_stopping{false};
    std::atomic<std::uint64_t> m_nextRequest{0};
    const std::string m_idPrefix;
    retry_budget m_retries;
    std::mutex m_choosersMutex;
    std::map<service_id, target_chooser> m_choosers;
    std::mutex m_waitingMutex;
    std::vector<call_ptr> m_waiting; ///< for an owner, or for another routing view
    std::mutex m_attemptsMutex;
    std::vector<std::weak_ptr<attempt>> m_attempts; ///< in flight, and some that have ended
};

} // namespace damaskward
