/// \file
/// \brief The settings of one VM's process.

#pragma once

#include "../Core/diagnostic.h"
#include "../Core/ids.h"
#include "../Core/time.h"

#include <string>
#include <string_view>

namespace damaskward {

/// The periods and spans of the control path. Spans only; deadlines are computed from them.
struct control_timing
{
    milliseconds session{1000}; ///< a session row unchanged for this long may be declared lapsed
    milliseconds renewEvery{250}; ///< how often a VM renews its session
    milliseconds readEvery{150}; ///< how often a VM reads what changed in the table
    milliseconds grant{800}; ///< how long a grant lasts at the most
    milliseconds grantEvery{200}; ///< how often a gate renews its grants
    milliseconds targetTimeout{500}; ///< a target silent for this long counts as lost
    milliseconds promise{1000}; ///< how long a holdover promise lasts
};

/// Where a process writes its log, and how much.
struct log_settings
{
    std::string level = "info"; ///< debug, info, warn or error
    bool json = false; ///< one JSON object a line instead of text
};

/// What a VM accepts from callers at the most.
struct caller_limits
{
    std::int64_t maxBodyBytes = 1 << 20;
    int maxWaiting = 2000; ///< requests inside this VM at a time
    milliseconds defaultDeadline{2000}; ///< for a request that names none
    milliseconds maxDeadline{60000};
};

/// \class vm_settings
/// \brief Everything a process is told at its start; read from JSON with comments.
///
/// \code
/// parsed<vm_settings> settings = parseSettings(text, "vm.json");
/// \endcode
struct vm_settings
{
    vm_id vm;
    data_center_id dataCenter;
    std::string callerAddress; ///< IP:PORT for callers
    std::string controlAddress; ///< IP:PORT for the other VMs
    std::string adminAddress; ///< IP:PORT for operators
    std::string platformUrl; ///< http://IP:PORT of the platform's service
    std::string secret; ///< shared by all VMs and operators; never logged
    int threads = 8; ///< threads that serve the network
    control_timing timing;
    log_settings log;
    caller_limits limits;
};

/// Reads settings. Pure; any thread. Source of the JSON reader: jsoncpp.
/// \param text the file's content: JSON, comments allowed
/// \param file the name to report mistakes under
/// \returns the settings, or every mistake with line, field and what is allowed
parsed<vm_settings> parseSettings(std::string_view text, std::string_view file);

} // namespace damaskward
