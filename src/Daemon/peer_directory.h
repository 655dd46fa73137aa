/// \file
/// \brief Links to the other VMs of this data centre.

#pragma once

#include "../Ownership/table_replica.h"
#include "../Transport/peer_link.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace damaskward {

/// \class peer_directory
/// \brief Keeps a link to the control address of each other live VM of the data centre.
///
/// Thread-safe.
///
/// \code
/// peers.call(vm, "draw", parameters, done);
/// \endcode
class peer_directory
{
public:
    /// \param secret shared by all VMs; authenticates this VM to its peers
    /// \param timeout how long one call may take
    peer_directory(const vm_id &self, const data_center_id &dc, std::string secret,
                   milliseconds timeout);

    /// Opens and closes links so that they match the live sessions in the table.
    void update(const table_replica &replica);
    /// Calls a method of \a vm; \a done receives null if there is no link or no answer.
    void call(const vm_id &vm, const std::string &method, const Json::Value &parameters,
              peer_link::callback done);
    /// Calls a method of every other live VM of the data centre and ignores the answers.
    void notifyAll(const std::string &method, const Json::Value &parameters);
    /// \returns the bytes transferred so far over the links that are open now.
    std::uint64_t bytes() const;
    /// Closes all links; later calls fail.
    void close();

private:
    struct entry
    {
        std::string address;
        std::shared_ptr<peer_link> link;
    };

    const vm_id m_self;
    const data_center_id m_dataCenter;
    const std::string m_secret;
    const milliseconds m_timeout;
    mutable std::mutex m_mutex;
    std::map<vm_id, entry> m_links;
    bool m_closed = false;
};

} // namespace damaskward
