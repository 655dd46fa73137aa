/// \file
/// \brief The thread that owns the ownership machine.

#pragma once

#include "../Core/bounded_ring.h"
#include "../Core/log.h"
#include "../Core/snapshot.h"
#include "../Ownership/ownership.h"
#include "../Platform/platform_client.h"
#include "control_view.h"
#include "peer_directory.h"
#include "target_orders.h"

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace damaskward {

/// \class control_loop
/// \brief Feeds events to the ownership machine, carries out its actions and publishes views.
///
/// All answers come back through one bounded ring. Everything but \ref run() is thread-safe.
///
/// \code
/// control_loop loop(config, platform, peers, orders);
/// loop.onView([&](const auto &view) { gates.sync(*view); });
/// loop.start();
/// \endcode
class control_loop
{
public:
    using view_callback = std::function<void(const std::shared_ptr<const control_view> &)>;
    using head_callback = std::function<void(const head_row &head)>;

    control_loop(const ownership_config &config, platform_client &platform, peer_directory &peers,
                 target_orders &orders);
    ~control_loop();
    control_loop(const control_loop &) = delete;
    control_loop &operator=(const control_loop &) = delete;

    /// Sets what is called, on the loop's thread, with each new view. Before \ref start().
    void onView(view_callback callback) { m_onView = std::move(callback); }
    /// Sets what is called, on the loop's thread, when the table names newer rules.
    void onHead(head_callback callback) { m_onHead = std::move(callback); }
    void start();
    /// Hands the roles over and ends the session. \returns whether that was done by \a deadline.
    bool stop(time_point deadline);

    /// Hands an event in. \returns false when the ring is full.
    bool post(ownership_event event) { return m_ring.tryPush(std::move(event)); }
    /// Answers another VM's question; waits for the machine at most until \a deadline.
    std::optional<hold_answer> ask(const hold_request &request, time_point deadline);
    std::optional<vote_answer> ask(const vote_request &request, time_point deadline);

    std::shared_ptr<const control_view> view() const { return m_view.get(); }
    /// \returns the state of this VM for operators, as JSON.
    std::string status() const { return *m_status.get(); }

private:
    friend struct action_runner;

    void run();
    void takeOne();
    void carryOut(const action_list &actions);
    void publish(time_point now);
    void publishStatus(time_point now);
    void reportChanges(time_point now);
    bool routesChanged() const;
    std::vector<gate_info> gateInfos(time_point now) const;
    std::map<team_id, bucket_info> bucketInfos(time_point now) const;

    template <typename Answer>
    struct questions
    {
        std::mutex mutex;
        std::map<operation_id, std::promise<Answer>> open;
    };
    template <typename Event, typename Request, typename Answer>
    std::optional<Answer> askMachine(questions<Answer> &asked, const Request &request,
                                     time_point deadline);
    template <typename Answer>
    static void answerQuestion(questions<Answer> &asked, operation_id id, const Answer &answer);

    const ownership_config m_config;
    platform_client &m_platform;
    peer_directory &m_peers;
    target_orders &m_orders;
    part_log m_log{"control"};
    bounded_ring<ownership_event> m_ring;
    ownership m_machine;
    view_callback m_onView;
    head_callback m_onHead;
    snapshot<control_view> m_view;
    snapshot<std::string> m_status;
    std::shared_ptr<const routing_view> m_routes;
    std::uint64_t m_seenSessions = 0;
    std::uint64_t m_seenRoles = 0;
    std::uint64_t m_seenShards = 0;
    std::uint64_t m_seenRules = 0;
    std::uint64_t m_reportedTerm = 0;
    bool m_reportedHoldover = false;
    time_point m_nextTick{};
    time_point m_nextStatus{};
    questions<hold_answer> m_holds;
    questions<vote_answer> m_votes;
    std::atomic<operation_id> m_nextQuestion{0};
    std::atomic<bool> m_running{false};
    std::atomic<bool> m_handedOver{false};
    std::thread m_thread;
};

} // namespace damaskward
