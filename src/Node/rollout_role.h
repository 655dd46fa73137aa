/// \file
/// \brief The coordinator's work for roll-outs: records their state and publishes their shares.

#pragma once

#include "../Proxy/request_log.h"
#include "../Rollout/rollout_controller.h"
#include "../Rollout/rollout_share.h"
#include "platform_port.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace damaskward {

/// \class rollout_role
/// \brief Runs one rollout_controller for each requested roll-out while this VM is the coordinator.
/// Performs I/O only through the store and its callbacks; not thread-safe.
///
/// Each roll-out has one row in damaskward's own table. A write of it requires the version last
/// seen, so that a coordinator that was replaced without knowing it changes nothing.
///
/// \code
/// role.tick(isCoordinator, epoch, now);
/// \endcode
class rollout_role
{
public:
    using clock_source = std::function<time_point()>;
    /// \returns whether the targets of a version own all keys of a service; true if the service is
    /// not sharded.
    using moved_check = std::function<bool(const service_id &, const std::string &version)>;

    /// \param publish called with the notices for all VMs
    rollout_role(platform_port &platform, rollout_share &view, request_log &log, clock_source clock,
                 moved_check hasMoved, std::function<void(const rollout_notices &)> publish);

    /// Performs the periodic work. To be called about 20 times per second on the coordinator.
    /// \param epoch of the coordinator's lease; increases from one holder to the next
    void tick(bool isCoordinator, std::uint64_t epoch, time_point now);

    /// Adds the answers that a VM has counted.
    void add(const rollout_evidence &evidence);

private:
    struct active_rollout
    {
        active_rollout(rollout_controller c, row_version version)
            : controller(std::move(c))
            , rowVersion(version)
        { }

        rollout_controller controller;
        row_version rowVersion; ///< of its row, 0 if there is none
        bool isWriting = false;
        time_point retryAt{}; ///< of a write that failed
        bool isWritingStatus = false;
        std::optional<rollout_state> writtenStatus;
        time_point finishedAt{}; ///< when its result was recorded
        int loggedStage = -1;
        /// By VM: the counts up to its last report.
        std::map<std::string, std::map<std::string, version_counts>> reported;
    };
    using active_ptr = std::shared_ptr<active_rollout>;
    struct recorded_row
    {
        rollout_progress progress;
        row_version version = 0;
    };

    void load(time_point now);
    void start(const rollout_notice &known, time_point now);
    void advance(const active_ptr &active, time_point now);
    void record(const active_ptr &active, const rollout_progress &progress, time_point now);
    void writeStatus(const active_ptr &active, time_point now);
    void publish(std::uint64_t epoch, time_point now);

    platform_port &m_platform;
    rollout_share &m_view;
    request_log &m_log;
    clock_source m_clock;
    moved_check m_hasMoved;
    std::function<void(const rollout_notices &)> m_publish;

    bool m_isLoading = false;
    bool m_isLoaded = false; ///< the rows were read since this VM became the coordinator
    time_point m_loadRetryAt{};
    std::map<service_id, recorded_row> m_recorded;
    std::map<service_id, active_ptr> m_active; ///< empty unless this VM is the coordinator
    std::uint64_t m_noticesVersion = 0;
    time_point m_publishAt{};
    std::map<service_id, double> m_publishedShares;
};

} // namespace damaskward
