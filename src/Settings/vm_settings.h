/// \file
/// \brief The settings of the process that runs on each VM.

#pragma once

#include "../Core/diagnostic.h"
#include "../Core/ids.h"
#include "../Core/time.h"

#include <string>
#include <string_view>

namespace damaskward {

/// Periods and time spans of the control path, from which deadlines are computed.
struct control_timing
{
    milliseconds session{1000}; ///< a session row unchanged for this long may be declared expired
    milliseconds renewEvery{250}; ///< interval between renewals of the session of a VM
    milliseconds readEvery{150}; ///< interval between reads of table changes by a VM
    milliseconds grant{800}; ///< maximum duration of a grant
    milliseconds grantEvery{200}; ///< interval between renewals of the grants of a gate
    milliseconds targetTimeout{500}; ///< a target unresponsive for this long counts as lost
    milliseconds promise{1000}; ///< duration of a holdover promise
};

/// Level and format of the log of a process.
struct log_settings
{
    std::string level = "info"; ///< debug, info, warn or error
    bool json = false; ///< write one JSON object per line instead of text
};

/// Limits for requests from callers.
struct caller_limits
{
    std::int64_t maxBodyBytes = 1 << 20;
    int maxWaiting = 2000; ///< maximum number of requests in this VM at the same time
    milliseconds defaultDeadline{2000}; ///< for requests without a deadline
    milliseconds maxDeadline{60000};
};

/// \class vm_settings
/// \brief All settings of a process; read from JSON with comments at its start.
///
/// \code
/// parsed<vm_settings> settings = parseSettings(text, "vm.json");
/// \endcode
struct vm_settings
{
    vm_id vm;
    data_center_id dataCenter;
    std::string callerAddress; ///< IP:PORT for requests from callers
    std::string controlAddress; ///< IP:PORT for requests from other VMs
    std::string adminAddress; ///< IP:PORT for requests from operators
    std::string platformUrl; ///< http://IP:PORT of the platform
    std::string secret; ///< shared by all VMs and operators; never logged
    int threads = 8; ///< number of network threads
    control_timing timing;
    log_settings log;
    caller_limits limits;
};

/// Parses settings with jsoncpp. Pure function; thread-safe.
/// \param text the content of the file: JSON with optional comments
/// \param file the file name for diagnostics
/// \returns the settings, or a diagnostic with line, field and allowed values for each error
parsed<vm_settings> parseSettings(std::string_view text, std::string_view file);

} // namespace damaskward
