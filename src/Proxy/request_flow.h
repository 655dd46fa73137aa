/// \file
/// \brief The steps of one request, from its arrival to its answer.

#pragma once

#include "request_router.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {
namespace internal {

/// Handles one request from its arrival to its answer.
class request_flow : public std::enable_shared_from_this<request_flow>
{
public:
    request_flow(request_router &router, std::shared_ptr<http_exchange> exchange)
        : m_router(router)
        , m_exchange(std::move(exchange))
        , m_config(router.m_config)
    { }
    void start();
    void advance();
    bool isDone() const { return m_isDone; }

private:
    /// Runs one step of the request. After an exception it ends like one that failed, once no send
    /// is open.
    /// \param mayHaveRun whether a target may have run the request when the step begins
    template <typename Step>
    void runStep(Step &&step, bool mayHaveRun = false)
    {
        if (m_router.m_guard.run("request", std::forward<Step>(step)) || m_isDone) {
            return;
        }
        m_mayHaveRun = m_mayHaveRun || mayHaveRun;
        if (m_isSending && !m_call.isOpen()) { // The step failed while it sent the request.
            m_mayHaveRun = true;
            releaseInFlight();
        }
        fail("internal error");
    }

    void begin();
    void tryAdvance();
    const http_request &request() const { return m_exchange->request(); }
    std::string_view field(const std::string &name) const { return fieldOf(request(), name); }
    bool findRoute();
    bool findTeam();
    void rejectUnknown(unsigned status, const char *reason);
    void readDeadline();
    bool readKey();
    bool admitToOwner(time_point now);
    bool spendTeamToken(time_point now);
    void waitForToken(const std::string &limit, time_point until, time_point now);
    void scheduleAdvance(time_point until);
    void waitForChange(time_point until);
    void sendToOwner(time_point now);
    bool canSendToOwner(const target_state &target, time_point now) const;
    bool hasTimeAt(time_point when) const;
    void waitForOwner(const char *reason, milliseconds expected, time_point now);
    void sendToAny(time_point now);
    bool acquireCapacity(const target_state &target);
    void handleCapacity(const capacity_answer &answer);
    void releaseCapacity(capacity_outcome outcome, int running = -1);
    void sendWithCapacity(target_state &chosen, time_point now);
    bool spendWarmupToken(const target_state &target, time_point now);
    void send(target_state &target, time_point now);
    void scheduleSilenceCheck(time_point at);
    void checkSilence();
    bool awaitOpenSends(const char *reason);
    bool isFinal(unsigned status) const;
    void keepAsFallback(http_answer &&answer);
    bool isGenuine(const http_answer &answer) const;
    void handleCallResult(std::uint64_t number, call_result &&result);
    void handleSilentResult(std::uint64_t number, call_result &&result);
    void handleResult(call_result &&result);
    void recordVersionAnswer(std::optional<duration> answeredIn);
    void recordServiceTime(const target_state *target, time_point now);
    void recordAnswer(target_state &target, time_point sentAt, const http_answer &answer,
                      time_point now);
    void applyLoadHeaders(target_state &target, const http_answer &answer, time_point now);
    void applyAvailabilityHeaders(target_state &target, const http_answer &answer, time_point now);
    void handleNotRun(unsigned status, target_state *target, time_point now);
    void handleSendFailure(call_failure failure, target_state *target, time_point now);
    milliseconds retryPause(time_point now) const;
    bool acquireRetry(time_point now);
    bool acquireSecondSend(time_point now);
    void retryOrFail(const char *reason, time_point now);
    void retry(time_point now);
    void callerDisconnected();
    void releaseInFlight();
    void timeOut(const char *reason);
    void fail(const char *reason);
    void endWithoutAnswer(unsigned statusIfRun, const char *reason);
    void refuseUnlessRun(unsigned status, const char *reason, milliseconds drain);
    void refuse(unsigned status, const char *reason, milliseconds drain);
    void forwardAnswer(http_answer &&answer, const char *reason);
    void finish(http_answer &&answer, const char *reason);
    void markDone();
    void countOutcome(const http_answer &answer, const char *reason);
    static std::int64_t wallMinute();
    /// \returns the number of sends that may still be answered.
    std::size_t openSendCount() const { return m_silentSends.size() + (m_isSending ? 1 : 0); }
    void addLoadOf(std::string_view target, log_line &line, time_point now) const;
    void logTry(const char *what, time_point now);
    void logOutcome(unsigned status, const char *reason, std::size_t bytes = 0);

    request_router &m_router;
    std::shared_ptr<http_exchange> m_exchange;
    std::shared_ptr<const deployment> m_config;
    const route *m_route = nullptr;
    service_id m_service;
    version_side m_side = version_side::Any; ///< of a service that is not sharded
    team_id m_team;
    int m_priority = 0;
    std::string m_limit; ///< the team's limit, empty when it has none
    std::optional<shard_key> m_key;
    std::optional<time_point> m_callerDeadline; ///< if the caller has stated it
    time_point m_deadline{};
    time_point m_ownerWaitDeadline{};
    time_point m_tokenWaitDeadline{}; ///< set while a token request is pending
    time_point m_warmupWaitDeadline{};
    time_point m_firstSentAt{};
    time_point m_sentAt{};
    deadline_queue::deadline_id m_deadlineId = 0;
    deadline_queue::deadline_id m_wakeUpId = 0;
    std::string m_target; ///< the target of the last send
    std::int64_t m_targetIncarnation = 0;
    std::set<std::string> m_tried;
    std::set<std::string> m_refusedBy; ///< targets that stated that they had not run the request
    /// Capacity at targets that this request waits for or holds.
    struct held_capacity
    {
        std::uint64_t number = 0; ///< 0: none
        std::string wanted; ///< the only target that may serve the request, or empty
        std::string target; ///< where it has been granted, empty while waiting
    };
    held_capacity m_capacity;
    call_handle m_call;
    std::uint64_t m_sendNumber = 0; ///< of the last send
    /// A send that has not been answered for much longer than usual. It goes on beside later ones.
    struct silent_send
    {
        std::uint64_t number = 0;
        std::string target;
        time_point sentAt{};
        call_handle call;
    };
    std::vector<silent_send> m_silentSends;
    /// Why nothing more is sent while open sends may still be answered; null if something is.
    const char *m_endReason = nullptr;
    std::optional<http_answer> m_fallback; ///< a target's error answer, used if no retry succeeds
    int m_executions = 0; ///< sends that a target ran or may have run
    int m_rejections = 0; ///< answers of targets that did not run the request
    bool m_isAdmitted = false; ///< passed the throttle of the key's owner
    bool m_hasTeamToken = false;
    bool m_isTokenDenied = false;
    bool m_isSending = false;
    bool m_targetHadFreeSlot = false; ///< by this VM's estimate, when the request was sent
    bool m_mayHaveRun = false;
    bool m_isDone = false;
    bool m_hasSecondSend = false; ///< one has begun beside a silent send
    const char *m_secondSendOutcome = "unanswered"; ///< what it was good for, in metrics
};

} // namespace internal
} // namespace damaskward
