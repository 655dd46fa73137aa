/// \file
/// \brief The duty of granting keys to targets: one VM at a time has it, by a lease in the store.

#pragma once

#include "../Fleet/deployment.h"
#include "../Fleet/peer_book.h"
#include "../Fleet/target_book.h"
#include "../Proxy/request_log.h"
#include "../Ranges/keeper_lease.h"
#include "../Ranges/owner_admission.h"
#include "../Ranges/range_keeper.h"
#include "../Ranges/work_times.h"
#include "peer_message.h"
#include "platform_port.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace damaskward {

/// \class keeper_seat
/// \brief Joins the lease, the keepers of all services divided by key, and their one row in the
/// store. Without I/O of its own; for one thread.
///
/// The row holds the lease's holder and the owners of all keys. Every write checks the version
/// last seen, renews the lease, and thereby proves that no other VM keeps the keys.
///
/// \code
/// seat.tick(now);
/// \endcode
class keeper_seat
{
public:
    using order_callback = std::function<void(const order_answer &)>;
    /// Sends an order to the target at an address and calls back once.
    using order_sender =
        std::function<void(const range_order &, const std::string &address, order_callback)>;
    /// \returns the present point in time.
    using clock_source = std::function<time_point()>;

    /// \param table the table of the product's own rows
    /// \param longestHold of a grant, as the platform's operators allow
    /// \param publish called with the owners whenever they change
    /// \param limit called a few times a second while owners are asked for more than they get done
    keeper_seat(store_port &store, std::string table, order_sender send, target_book &targets,
                peer_book &peers, request_log &log, std::int64_t incarnation,
                milliseconds longestHold, clock_source clock,
                std::function<void(const owner_update &)> publish,
                std::function<void(const owner_shares &)> limit);

    /// Takes over which services are divided by key.
    void setDeployment(const deployment &config);
    /// Moves on; to be called some ten times a second.
    void tick(time_point now);
    /// Notes requests for keys, and how long targets work.
    void asked(const key_demand &demand, time_point now);
    /// Gives the lease up, so that another VM takes over at once.
    void leave(time_point now);

    bool keeping(time_point now) const { return m_lease.held(now); }
    /// \returns the version of the last renewal while this VM keeps the keys, else 0.
    row_version keptVersion(time_point now) const { return keeping(now) ? m_lease.version() : 0; }

private:
    /// The lease's row as read or written.
    struct seat_row
    {
        std::string holder;
        std::int64_t incarnation = 0;
        std::uint64_t epoch = 0; ///< rises with every holder
        std::uint64_t nextFence = 1;
        std::map<service_id, std::vector<range_owner>> owners;
    };

    static std::string encodeRow(const seat_row &row);
    static std::optional<seat_row> decodeRow(const std::string &text);

    bool otherKeeperAlive(time_point now) const;
    bool shouldYield(time_point now);
    bool giveUp(const char *reason);
    keeper_timing timingOf(const service_id &service) const;
    owner_views viewsOf(const service_id &service, time_point now);
    void runKeepers(time_point now);
    void sendOrder(const range_order &order, const std::shared_ptr<range_keeper> &keeper);
    void logChange(const grant_order &order);
    void logChange(const release_order &order);
    void readRow(time_point now);
    void claim(time_point now);
    void renew(time_point now);
    void write(time_point now);
    void written(commit_answer &&answer, time_point sentAt);
    void applied(row_version version, time_point sentAt);
    void compareRow(time_point sentAt);
    void drop(const char *reason);
    void publishIfChanged(time_point now);
    owner_capacity capacityOf(const std::string &target) const;
    void limitOverloaded(time_point now);

    store_port &m_store;
    std::string m_table;
    order_sender m_send;
    target_book &m_targets;
    peer_book &m_peers;
    request_log &m_log;
    std::int64_t m_incarnation;
    milliseconds m_longestHold;
    clock_source m_clock;
    std::function<void(const owner_update &)> m_publish;
    std::function<void(const owner_shares &)> m_limit;

    keeper_lease m_lease;
    std::map<service_id, milliseconds> m_keyed; ///< services divided by key, with their objectives
    seat_row m_row; ///< as last read
    std::string m_writing; ///< the text under way, empty when none is
    time_point m_firstSentAt{}; ///< when that text was first sent
    bool m_claiming = false;
    std::map<service_id, std::shared_ptr<range_keeper>> m_keepers; ///< empty while not keeping
    std::map<service_id, std::uint64_t> m_published; ///< revisions
    work_times m_work;
    owner_admission m_admission;
    time_point m_limitAt{};
    bool m_limiting = false; ///< some owners are limited
    std::uint64_t m_limitVersion = 0;
    std::set<std::string> m_ended; ///< targets whose address another has, as logged
    std::map<std::string, std::uint64_t> m_loggedFences; ///< the highest by target
    std::map<std::string, std::string, std::less<>> m_addresses; ///< of targets, also gone ones
    std::uint64_t m_updateVersion = 0;
    time_point m_publishAt{};
    time_point m_failingSince{}; ///< of writes to the store
    bool m_heldOver = false;
    time_point m_strongerSince{}; ///< since when this weak keeper has heard of a strong VM
    bool m_leaving = false;
};

} // namespace damaskward
