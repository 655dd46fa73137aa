/// \file
/// \brief The platform's interface as the daemon uses it, independent of the platform's encodings.

#pragma once

#include "../Fleet/deployment.h"
#include "../Fleet/target_pool.h"
#include "../Proxy/header_names.h"
#include "../Proxy/outgoing_pool.h"
#include "../Ranges/range_coordinator.h"
#include "../Rollout/rollout_types.h"
#include "../Table/store_port.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace damaskward {

/// The result of a command to a target.
struct command_answer
{
    command_outcome outcome = command_outcome::Unanswered;
    std::string handover; ///< token returned by a completed release
    bool isAddressReused = false; ///< another target now uses the address
    time_point sentAt{}; ///< when it was passed to the connection; empty if never
};

/// Decoded content of an operator row. All members are empty if it does not concern the daemon.
struct operator_update
{
    std::shared_ptr<const deployment> config; ///< a new configuration, or null
    std::string drainedDataCenter; ///< data centre to drain or undrain, or empty
    std::optional<rollout_request> rollout; ///< a requested roll-out
};

/// Adapter to a platform. Contains its names and encodings, but makes no decisions.
struct platform_port
{
    store_port store;
    header_names headers;
    std::string readyPath;
    std::string operatorTable;
    std::string targetTable;
    std::string ownTable; ///< table for damaskward's own rows
    std::string statusTable; ///< table for what operators should know
    std::function<operator_update(const table_row &)> decodeOperatorRow;
    std::function<std::optional<target_record>(const table_row &)> decodeTarget;
    /// \returns the row that tells operators the state of a roll-out.
    std::function<table_put(const rollout_request &, const std::string &state)> encodeRolloutStatus;
    std::function<outgoing_call(const range_command &, const std::string &address)> encodeCommand;
    std::function<command_answer(const call_result &)> decodeCommandAnswer;
    std::function<outgoing_call(const std::string &target, const std::string &address,
                                const std::string &path)>
        encodeHealthCheck;
    /// \returns the remaining warm-up time in the answer of \a target to a health check, if any.
    std::function<std::optional<milliseconds>(const call_result &, std::string_view target)>
        decodeWarmup;
};

} // namespace damaskward
