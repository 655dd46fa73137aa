/// \file
/// \brief Asks the VMs' admin addresses.

#pragma once

#include "../Core/error.h"
#include "../Platform/platform_client.h"
#include "../Table/rows.h"

#include <optional>
#include <string>
#include <vector>

namespace damaskward {

/// A VM as the table names it, and what it answered.
struct vm_answer
{
    vm_id vm;
    session_row session;
    std::optional<std::string> body; ///< nothing when the VM did not answer
};

/// \class fleet_client
/// \brief Finds the VMs in the table and asks each of them. Blocking; one thread.
///
/// \code
/// fleet_client fleet(platform, secret);
/// result<std::vector<vm_answer>> answers = fleet.ask("/status");
/// \endcode
class fleet_client
{
public:
    fleet_client(platform_client &platform, std::string secret);

    /// Asks every live VM for \a path.
    result<std::vector<vm_answer>> ask(const std::string &path);

private:
    std::optional<std::string> askOne(const std::string &address, const std::string &path) const;

    platform_client &m_platform;
    std::string m_secret;
};

} // namespace damaskward
