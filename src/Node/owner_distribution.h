/// \file
/// \brief The distribution of the owners of keys, and of the shares of overloaded owners, to all
/// VMs.

#pragma once

#include "../Core/time.h"
#include "../Fleet/membership.h"
#include "../Ranges/owner_map_delta.h"
#include "../Ranges/share_updates.h"
#include "peer_message.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace damaskward {

/// \class owner_distribution
/// \brief Sends the owners of keys from the coordinator to all VMs as changes to the previous
/// version, and keeps this VM's copy. Performs I/O only through its callbacks; not thread-safe.
///
/// The coordinator sends to the VMs of its own data centre and to the store reader of each other
/// one, which forwards. A VM that has missed a version notices from the base of the next change or
/// from a heartbeat, and queries a VM of its own data centre; a store reader queries the sender.
/// The answer contains the changes since the version of the querying VM if they are known, else all
/// owners.
///
/// \code
/// owner_distribution owners(members, "reader", send, setOwners, setShares);
/// owners.publish(update, now);
/// \endcode
class owner_distribution
{
public:
    /// Sends an encoded message to VMs.
    using message_sender =
        std::function<void(const std::vector<std::string> &ips, const std::string &bytes)>;
    /// Applies new owners of the keys of one service.
    using owners_setter = std::function<void(const service_id &, const range_map &)>;
    /// Applies the shares of overloaded owners, to be used until a given time.
    using shares_setter = std::function<void(const owner_shares &shares, time_point until)>;

    /// Minimum time between two queries: the answer to a query arrives within it, unless it is
    /// lost.
    static constexpr milliseconds queryInterval{100};
    /// Number of versions for which the changes are kept to answer queries: three seconds of the
    /// most frequent changes.
    static constexpr std::size_t maxHistory = 32;

    /// \param readerRole name of the role whose holder is the store reader of a data centre
    owner_distribution(const membership &members, std::string readerRole, message_sender send,
                       owners_setter setOwners, shares_setter setShares);

    /// Distributes new owners, as the coordinator.
    void publish(const owner_update &update, time_point now);
    /// Distributes the shares of overloaded owners, as the coordinator.
    void publish(const owner_shares &shares, time_point now);

    /// Processes messages of other VMs.
    void handle(const owner_update &update, time_point now);
    void handle(const owner_part &part, time_point now);
    void handle(const owner_delta &delta, const std::string &fromIp, time_point now);
    void handle(const owner_shares &shares, time_point now);
    void handle(const owner_query &query, const std::string &fromIp);

    /// Records the versions that another VM knows of.
    void noteVersions(const heartbeat &beat);
    /// Queries the sender of a heartbeat if it uses a newer version.
    void queryIfNewer(const heartbeat &beat, const std::string &fromIp, time_point now);

    /// \returns the version in use, 0 for none.
    std::uint64_t version() const { return m_owners.version; }
    /// \returns the addresses of all VMs of this data centre, and of the store reader of each other
    /// one, which forwards what it receives.
    std::vector<std::string> recipients(time_point now) const;

    /// \returns the newest version that this VM knows of.
    std::uint64_t newestVersion() const { return m_newestVersion; }

private:
    bool isStoreReader(time_point now) const;
    std::vector<std::string> localIps() const;
    void query(const std::string &ip, time_point now);
    void sendAll(const std::vector<std::string> &ips) const;
    void sendChanges(const std::vector<std::string> &ips, const owner_delta &delta) const;
    void replaceOwners(const owner_update &update);
    void applyChanges(const owner_delta &delta);
    void remember(owner_delta delta);

    const membership &m_members;
    std::string m_readerRole;
    message_sender m_send;
    owners_setter m_setOwners;
    shares_setter m_setShares;

    owner_update m_owners; ///< in use
    std::uint64_t m_newestVersion = 0; ///< of the owners that all VMs use, as far as known
    owner_assembly m_assembly; ///< of owners that arrive in parts
    std::deque<owner_delta> m_history; ///< successive changes up to m_owners
    time_point m_nextQueryAt{};
    share_updates m_shares;
};

} // namespace damaskward
