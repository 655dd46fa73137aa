/// \file
/// \brief Fetches the rules that the table names, and passes them on to the peers.

#pragma once

#include "../Core/bounded_ring.h"
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

/// \class rules_keeper
/// \brief A thread that reads and checks rules. Versions only rise. Thread-safe.
///
/// A VM that is cut from the platform learns new rules from the peers that reach it.
///
/// \code
/// rules_keeper keeper(platform, peers, [&](auto version, auto rules) { ... });
/// keeper.want(mirror.head());
/// \endcode
class rules_keeper
{
public:
    using adopt_callback =
        std::function<void(std::uint64_t version, std::shared_ptr<const rule_set> rules)>;

    /// \param adopt called on the keeper's thread with each newer version
    rules_keeper(platform_client &platform, peer_directory &peers, adopt_callback adopt);
    ~rules_keeper();
    rules_keeper(const rules_keeper &) = delete;
    rules_keeper &operator=(const rules_keeper &) = delete;

    /// The table names this version.
    void want(const head_row &head);
    /// A peer has passed a version on.
    void take(std::uint64_t version, const std::string &text);

private:
    struct offer
    {
        head_row head;
        std::string text; ///< empty: to be fetched
    };

    void run();
    void consider(offer next);
    head_row wanted();
    void adopt(const head_row &head, const std::string &text);

    platform_client &m_platform;
    peer_directory &m_peers;
    adopt_callback m_adopt;
    part_log m_log{"rules"};
    bounded_ring<offer> m_offers;
    std::atomic<std::uint64_t> m_version{0};
    std::mutex m_wantedMutex;
    head_row m_wanted;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace damaskward
