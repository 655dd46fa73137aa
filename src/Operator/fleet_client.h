/// \file
/// \brief A client for the admin addresses of the VMs.

#pragma once

#include "../Core/error.h"
#include "../Platform/platform_client.h"
#include "../Table/rows.h"
#include "../Transport/http_channel.h"

#include <optional>
#include <string>
#include <vector>

namespace damaskward {

/// A VM from the table, and its answer.
struct vm_answer
{
    vm_id vm;
    session_row session;
    std::optional<std::string> body; ///< nothing if the VM did not answer with status 200
};

/// \class fleet_client
/// \brief Finds the live VMs in the table and queries each of them. Blocking; not thread-safe.
///
/// \code
/// fleet_client fleet(platform, secret);
/// result<std::vector<vm_answer>> answers = fleet.queryLiveVms("/status");
/// \endcode
class fleet_client
{
public:
    /// \param channel sends the queries
    fleet_client(platform_client &platform, std::string secret,
                 http_channel &channel = http_channel::shared());

    /// Sends a GET request for \a path to each live VM.
    /// \returns one entry per live VM, or an error if the table cannot be read.
    result<std::vector<vm_answer>> queryLiveVms(const std::string &path);

private:
    std::optional<std::string> queryVm(const std::string &address, const std::string &path) const;

    platform_client &m_platform;
    std::string m_secret;
    http_channel &m_channel;
};

} // namespace damaskward
