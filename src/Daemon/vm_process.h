/// \file
/// \brief The process of one VM: creates its components and connects them.

#pragma once

#include "../Settings/vm_settings.h"
#include "../Transport/http_server.h"
#include "../Transport/rpc_server.h"
#include "control_loop.h"
#include "entry_handler.h"
#include "gate_handler.h"
#include "gate_link.h"
#include "grant_client.h"
#include "intent_store.h"
#include "peer_directory.h"
#include "rules_manager.h"
#include "team_handler.h"

#include <atomic>
#include <memory>
#include <thread>

namespace damaskward {

/// \class vm_process
/// \brief The entry, gates and token buckets of one VM, with its three listeners.
///
/// The listeners serve callers, the other VMs (control address) and operators (admin address).
///
/// \code
/// vm_process process(settings, nonce);
/// result<void> started = process.start();
/// waitForStopSignal();
/// process.stop();
/// \endcode
class vm_process
{
public:
    /// \param nonce random number that identifies this start of the process
    vm_process(const vm_settings &settings, std::uint64_t nonce);
    ~vm_process();

    /// Opens the listeners and starts all threads.
    result<void> start();
    /// Hands over this VM's roles, completes the requests in progress and closes the listeners.
    /// Blocks until that is done or its time limits have passed.
    void stop();

private:
    void addMethods();
    Json::Value relayCommit(const Json::Value &in);
    Json::Value relayChanges(const Json::Value &in);
    bool isPeer(const web::http::http_request &message) const;
    void handleCaller(const web::http::http_request &message);
    void handleControl(const web::http::http_request &message);
    void handleForward(const web::http::http_request &message);
    void submitForwarded(const web::http::http_request &message,
                         const std::shared_ptr<forward_request> &request,
                         std::vector<unsigned char> body);
    void handleAdmin(const web::http::http_request &message);
    void waitUntilIdle(time_point deadline);
    void runTimer();
    void updateGauges();

    const vm_settings m_settings;
    component_log m_log{"vm"};
    metrics m_metrics;
    platform_client m_platform;
    peer_directory m_peers;
    grant_client m_orders;
    shared_crash_tracker m_crashes;
    snapshot<control_view> m_views;
    control_loop m_control;
    gate_handler m_gates;
    team_handler m_teams;
    gate_link m_links;
    entry_handler m_entry;
    rules_manager m_rules;
    rpc_server m_rpc;
    http_server m_callerServer;
    http_server m_controlServer;
    http_server m_adminServer;
    std::atomic<bool> m_running{false};
    std::atomic<bool> m_shuttingDown{false};
    std::thread m_timer;
};

} // namespace damaskward
