/// \file
/// \brief Fetches the version of the rules that the table names and sends it to the peers.

#pragma once

#include "../Core/bounded_queue.h"
#include "../Core/log.h"
#include "../Platform/platform_client.h"
#include "../Rules/rule_set.h"
#include "../Table/rows.h"
#include "peer_directory.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace damaskward {

/// \class rules_manager
/// \brief Fetches and parses rules on a thread of its own. Thread-safe.
///
/// Only versions higher than the adopted one are adopted. A VM that cannot reach the platform
/// receives new rules from its peers.
///
/// \code
/// rules_manager rules(platform, peers, [&](auto version, auto rules) { ... });
/// rules.requestVersion(replica.head());
/// \endcode
class rules_manager
{
public:
    using adopt_callback =
        std::function<void(std::uint64_t version, std::shared_ptr<const rule_set> rules)>;

    /// \param adopt called on this object's thread with each adopted version
    rules_manager(platform_client &platform, peer_directory &peers, adopt_callback adopt);
    ~rules_manager();
    rules_manager(const rules_manager &) = delete;
    rules_manager &operator=(const rules_manager &) = delete;

    /// Requests the version that the table names; it is fetched from the platform until it is
    /// adopted.
    void requestVersion(const head_row &head);
    /// Passes in a version that a peer has sent.
    void receiveFromPeer(std::uint64_t version, const std::string &text);

private:
    struct candidate
    {
        head_row head;
        std::string text; ///< empty if it must be fetched from the platform
    };

    void run();
    void processCandidate(candidate next);
    head_row wanted();
    void adopt(const head_row &head, const std::string &text);

    platform_client &m_platform;
    peer_directory &m_peers;
    adopt_callback m_adopt;
    component_log m_log{"rules"};
    bounded_queue<candidate> m_candidates;
    std::atomic<std::uint64_t> m_version{0};
    std::mutex m_wantedMutex;
    head_row m_wanted;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace damaskward
