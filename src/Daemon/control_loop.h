/// \file
/// \brief The control thread, which runs the ownership state machine.

#pragma once

#include "../Core/bounded_queue.h"
#include "../Core/log.h"
#include "../Core/snapshot.h"
#include "../Ownership/ownership.h"
#include "../Platform/platform_client.h"
#include "control_view.h"
#include "grant_client.h"
#include "peer_directory.h"

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace damaskward {

/// \class control_loop
/// \brief Feeds events to the ownership state machine, executes its actions and publishes views.
///
/// Only the control thread uses the state machine. All other threads pass events to it through one
/// bounded ring. The public functions are thread-safe.
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
                 grant_client &orders);
    ~control_loop();
    control_loop(const control_loop &) = delete;
    control_loop &operator=(const control_loop &) = delete;

    /// Sets the function that the control thread calls with each new view.
    /// Call before \ref start().
    void onView(view_callback callback) { m_onView = std::move(callback); }
    /// Sets the function that the control thread calls, after each event, while the table names
    /// newer rules than those adopted. Call before \ref start().
    void onHead(head_callback callback) { m_onHead = std::move(callback); }
    /// Starts the control thread.
    void start();
    /// Hands over this VM's roles and ends its session; blocks until that is done or \a deadline.
    /// \returns whether it was done in time.
    bool stop(time_point deadline);

    /// Queues an event for the control thread. \returns false if the ring is full.
    bool post(ownership_event event) { return m_ring.tryPush(std::move(event)); }
    /// Answers a request of another VM; blocks until the control thread has processed it.
    /// \returns nothing if that has not happened by \a deadline.
    std::optional<hold_answer> answerPeer(const hold_request &request, time_point deadline);
    std::optional<vote_answer> answerPeer(const vote_request &request, time_point deadline);

    std::shared_ptr<const control_view> view() const { return m_view.get(); }
    /// \returns the state of this VM as JSON, for operators.
    std::string status() const { return *m_status.get(); }

private:
    friend struct action_runner;

    void run();
    void processNextEvent();
    void executeActions(const action_list &actions);
    void publish(time_point now);
    void publishStatus(time_point now);
    void logSessionChanges(time_point now);
    bool routesChanged() const;
    std::vector<gate_info> gateInfos(time_point now) const;
    std::map<team_id, bucket_info> bucketInfos(time_point now) const;

    /// Requests of other VMs that the control thread has not answered yet.
    template <typename Answer>
    struct pending_requests
    {
        std::mutex mutex;
        std::map<operation_id, std::promise<Answer>> promises;
    };
    template <typename Event, typename Request, typename Answer>
    std::optional<Answer> awaitAnswer(pending_requests<Answer> &pending, const Request &request,
                                      time_point deadline);
    template <typename Answer>
    static void completeRequest(pending_requests<Answer> &pending, operation_id id,
                                const Answer &answer);

    const ownership_config m_config;
    platform_client &m_platform;
    peer_directory &m_peers;
    grant_client &m_orders;
    component_log m_log{"control"};
    bounded_queue<ownership_event> m_ring;
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
    std::uint64_t m_loggedTerm = 0;
    bool m_loggedHoldover = false;
    time_point m_nextTick{};
    time_point m_nextStatus{};
    pending_requests<hold_answer> m_pendingHolds;
    pending_requests<vote_answer> m_pendingVotes;
    std::atomic<operation_id> m_nextRequestId{0};
    std::atomic<bool> m_running{false};
    std::atomic<bool> m_handedOver{false};
    std::thread m_thread;
};

} // namespace damaskward
