/// \file
/// \brief The range coordinator's role: granting keys to targets. A lease in the store gives it to
/// one VM at a time.

#pragma once

#include "../Fleet/deployment.h"
#include "../Fleet/membership.h"
#include "../Fleet/target_pool.h"
#include "../Proxy/request_log.h"
#include "../Ranges/coordinator_lease.h"
#include "../Ranges/owner_admission.h"
#include "../Ranges/range_coordinator.h"
#include "../Ranges/service_time_estimator.h"
#include "peer_message.h"
#include "platform_port.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// \class coordinator_role
/// \brief Competes for the coordinator lease and, while this VM holds it, runs one range
/// coordinator for each sharded service. Performs I/O only through its callbacks; not thread-safe.
///
/// One row of the store contains the lease holder and the owners of all keys. Each write of the row
/// requires the version last seen and renews the lease, so a successful write proves that no other
/// VM is the coordinator.
///
/// Each era of the store has a row of its own, since a store that was restored from an older copy
/// gives out versions again and lacks the last changes. The row of a new era is created
/// - by the coordinator of the previous era, which still holds its lease, or
/// - by the VM that was the last coordinator, if its lease expired while the store was unreachable
///   and all other VMs are alive and know of no later one, or
/// - by any VM after all grants that the older rows may lack have certainly expired.
///
/// \code
/// role.tick(now);
/// \endcode
class coordinator_role
{
public:
    using command_callback = std::function<void(const command_answer &)>;
    /// Sends a command to the target at an address and calls back exactly once.
    using command_sender =
        std::function<void(const range_command &, const std::string &address, command_callback)>;
    /// \returns the current time.
    using clock_source = std::function<time_point()>;
    /// \returns the targets of a service that may own no keys.
    using exclusion_source = std::function<std::set<std::string>(const service_id &, time_point)>;

    /// \param table the store's table for damaskward's own rows
    /// \param maxLeaseDuration longest lease duration of a grant that the operators allow
    /// \param firstStart whether the whole fleet starts for the first time, so that no target owns
    /// keys
    /// \param publish called with the owners of all keys after they changed
    /// \param limit called a few times per second while some owners are overloaded, and once when
    /// none is any more
    /// \param excluded empty if all targets may own keys
    coordinator_role(store_port &store, std::string table, command_sender send,
                     target_pool &targets, membership &peers, request_log &log,
                     std::int64_t incarnation, milliseconds maxLeaseDuration, bool firstStart,
                     clock_source clock, std::function<void(const owner_update &)> publish,
                     std::function<void(const owner_shares &)> limit,
                     exclusion_source excluded = {});

    /// Applies the set of sharded services of a new configuration.
    void setDeployment(const deployment &config);
    /// Performs the periodic work of the lease and of the coordinators. To be called about ten
    /// times per second.
    void tick(time_point now);
    /// Records the requests for keys and the service times of targets that a VM reported.
    void recordDemand(const key_demand &demand, time_point now);
    /// Processes the era of the store, as stated by the store or by another VM.
    void onStoreEra(store_era era, time_point now);
    /// Processes the version of the owner map that another VM uses.
    void onMapVersion(std::uint64_t version);
    /// Releases the lease because this VM shuts down, so that another VM can take over immediately.
    void shutDown(time_point now);

    /// Makes this VM compete for the lease although no service is sharded: a roll-out needs a
    /// coordinator.
    void setNeeded(bool isNeeded) { m_isNeeded = isNeeded; }
    /// \returns the epoch of the lease while this VM is the coordinator. Increases from one holder
    /// to the next.
    std::uint64_t epoch() const { return m_row.epoch; }

    /// \returns the owners of the keys of \a service while this VM is the coordinator; none of keys
    /// that move.
    range_map ownersOf(const service_id &service, time_point now) const;

    bool isCoordinator(time_point now) const { return m_lease.isHeld(now); }
    /// \returns the row's version after the last renewal if this VM is the coordinator, else 0. The
    /// lowest version if the row of the present era is still to be written.
    row_version leaseVersion(time_point now) const
    {
        return isCoordinator(now) ? std::max(m_lease.version(), row_version{1}) : 0;
    }
    /// \returns the newest known era of the store, or 0.
    store_era storeEra() const { return m_era; }

private:
    /// Content of the coordinator's row.
    struct coordinator_row
    {
        std::string holder;
        std::int64_t incarnation = 0;
        std::uint64_t epoch = 0; ///< incremented by every new holder
        std::uint64_t nextFencingToken = 1;
        std::map<service_id, std::vector<range_owner>> owners;
    };

    /// On what the owners of a new coordinator are based.
    enum class claim_basis {
        Record, ///< the row of the present era; grants of its previous holder may be in force
        Memory, ///< what this VM granted until its lease expired
        ExpiredRecord ///< a row of an earlier era; all grants have expired
    };

    /// The state of a coordinator whose lease expired while the store was unreachable.
    struct suspended_state
    {
        coordinator_row row;
        std::map<service_id, std::shared_ptr<range_coordinator>> coordinators;
        time_point leaseEnd{};
    };

    static std::string encodeRow(const coordinator_row &row);
    static std::optional<coordinator_row> decodeRow(const std::string &text);
    static std::string rowName(store_era era);
    static std::optional<store_era> eraOfRow(std::string_view name);

    bool otherCoordinatorAlive(time_point now) const;
    bool shouldYield(time_point now);
    bool releaseLease(const char *reason);
    coordinator_timing timingOf(const service_id &service) const;
    owner_views viewsOf(const service_id &service, time_point now);
    void runCoordinators(time_point now);
    void sendCommand(const range_command &command,
                     const std::shared_ptr<range_coordinator> &coordinator);
    void logCommand(const grant_command &command);
    void logCommand(const release_command &command);
    void raiseCounters();
    void renewFencingTokens();
    void suspendOrStop(time_point leaseEnd);
    bool maySuspendedResume(time_point now) const;
    time_point grantsExpireAt() const;
    /// Logs a command that was not executed as far as this VM knows.
    void logFailure(const range_command &command, const command_answer &answer,
                    time_point issuedAt);
    void readRow(time_point now);
    void applyRows(const row_set &rows, time_point now);
    void claimLease(time_point now);
    std::optional<claim_basis> chooseBasis(time_point now);
    void renewLease(time_point now);
    void writeRow(time_point now);
    bool handleObsoleteAnswer(store_era answerEra, store_era sentInEra, time_point now);
    void handleWriteAnswer(commit_answer &&answer, store_era sentInEra, time_point sentAt);
    void startCoordinating();
    void handleApplied(row_version version, time_point sentAt);
    void checkConflict(time_point sentAt);
    void stopCoordinating(const char *reason);
    void publishIfChanged(time_point now);
    owner_capacity capacityOf(const std::string &target) const;
    void publishOverload(time_point now);

    store_port &m_store;
    std::string m_table;
    command_sender m_send;
    target_pool &m_targets;
    membership &m_membership;
    request_log &m_log;
    std::int64_t m_incarnation;
    milliseconds m_maxLeaseDuration;
    bool m_firstStart;
    clock_source m_clock;
    std::function<void(const owner_update &)> m_publish;
    std::function<void(const owner_shares &)> m_publishOverload;
    exclusion_source m_excluded;

    coordinator_lease m_lease;
    std::map<service_id, milliseconds> m_shardedServices; ///< with their latency objectives
    store_era m_era = 0; ///< the era of m_row, the newest known one
    time_point m_eraKnownSince{};
    bool m_sawEraChange = false; ///< since this VM started
    bool m_rowExists = false; ///< the row of m_era existed when it was last read
    std::vector<std::string> m_olderRows; ///< rows of earlier eras, as last read
    std::uint64_t m_newestEpoch = 0; ///< the highest epoch in the owner maps of all VMs
    bool m_loggedWait = false; ///< of the wait for grants of an earlier era
    std::optional<suspended_state> m_suspended;
    claim_basis m_claimBasis = claim_basis::Record;
    coordinator_row m_row; ///< as last read; that of an earlier era if there is none of m_era
    std::string m_pendingValue; ///< row value being written, empty if none
    time_point m_pendingSentAt{}; ///< when that value was first sent
    bool m_claiming = false;
    /// Empty unless this VM is the coordinator.
    std::map<service_id, std::shared_ptr<range_coordinator>> m_coordinators;
    std::map<service_id, std::uint64_t> m_publishedRevisions;
    service_time_estimator m_serviceTimes;
    owner_admission m_admission;
    time_point m_overloadUpdateAt{};
    bool m_overloadPublished = false; ///< the last update listed overloaded owners
    std::uint64_t m_overloadVersion = 0;
    std::set<std::string> m_terminated; ///< targets logged as terminated
    std::map<std::string, std::uint64_t> m_loggedFencingTokens; ///< highest logged token by target
    /// Addresses of targets, including unregistered ones.
    std::map<std::string, std::string, std::less<>> m_addresses;
    std::uint64_t m_updateVersion = 0;
    time_point m_publishAt{};
    time_point m_failingSince{}; ///< first failed write in a row
    bool m_leasesExtended = false;
    time_point
        m_candidateAliveSince{}; ///< since when a VM of a higher class could replace this one
    bool m_shuttingDown = false;
    bool m_isNeeded = false;
};

} // namespace damaskward
