/// \file
/// \brief Grants the keys of one service to targets: the state machine of the VM that keeps them.

#pragma once

#include "key_load.h"
#include "range_map.h"
#include "range_planner.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace damaskward {

/// Names an order, so that its answer finds its piece.
using order_number = std::uint64_t;

/// "You own these keys until hold has passed since this arrived."
struct grant_order
{
    order_number number = 0;
    std::string target;
    std::int64_t incarnation = 0;
    key_range keys;
    std::uint64_t fence = 0;
    milliseconds hold{0};
    std::string handover;
};

/// "Start no more work on these keys, and answer when what runs has ended."
struct release_order
{
    order_number number = 0;
    std::string target;
    std::int64_t incarnation = 0;
    key_range keys;
    std::uint64_t fence = 0;
};

using range_order = std::variant<grant_order, release_order>;

/// How an order ended.
enum class order_outcome {
    Done,
    Outdated, ///< the target has seen a higher fence
    Unanswered ///< it may have been carried out, or may still be
};

/// What the keeper is told of a target.
struct owner_view
{
    std::int64_t incarnation = 0;
    double capacity = 1.0;
    bool reachable = true; ///< listed in the registry
    bool mayOwn = true; ///< neither draining nor taken out
    bool ended = false; ///< its process has surely ended: another has its address
    bool cold = false;
};

using owner_views = std::map<std::string, owner_view, std::less<>>;

/// Spans of the keeper's promises.
struct keeper_timing
{
    milliseconds hold{2400}; ///< of a grant in calm times: how long a silent target's keys wait
    milliseconds renewAfter{600}; ///< leaves the next keeper a lease's time to take over
    milliseconds longHold{10000}; ///< while the platform's store is away
    milliseconds retryAfter{250}; ///< of an order without an answer
    milliseconds travel{250}; ///< the longest that an order is on its way
};

/// \param targets of the service
/// \param longestHold that the platform's operators allow
/// \returns longer holds for many targets, as one VM renews them all, but never above the longest.
keeper_timing timingFor(std::int64_t targets, milliseconds longestHold);

/// \class range_keeper
/// \brief Decides which target owns which keys, and keeps every key with at most one owner.
///
/// Invariant: as long as the recorded map names a target, no other may own the keys. A change is
/// recorded only when the former owner has released the keys or its last grant has surely run
/// out, and the new owner is granted them only after the change was recorded.
///
/// No I/O; not thread-safe. Every call takes the present time.
///
/// \code
/// range_keeper keeper(timing, recorded, fence, now);
/// for (const range_order &order : keeper.step(views, leaseEnd, now))
///     send(order);
/// if (keeper.wantsRecord())
///     record(keeper.record());
/// \endcode
/// \sa planMoves()
class range_keeper
{
public:
    /// \param recorded the map as the former keeper recorded it
    /// \param unsettled the former keeper's grants may still be in force
    range_keeper(keeper_timing timing, const std::vector<range_owner> &recorded, bool unsettled,
                 time_point now);

    /// Notes requests, for the plan.
    void asked(shard_key key, time_point now) { m_load.add(key, now); }

    /// \returns the target that owns \a key, or empty while it changes hands.
    std::string_view ownerOf(shard_key key) const;

    /// Moves on. \param leaseEnd this VM acts as the keeper before this point only
    /// \returns the orders to send now
    std::vector<range_order> step(const owner_views &views, time_point leaseEnd, time_point now);

    /// An order has been answered, or has not been in time.
    /// \param handover the token of a release that was carried out
    void ended(order_number number, order_outcome outcome, std::string_view handover,
               time_point now);

    /// The store has fallen silent: one renewal with the long hold for every owner.
    void holdOver(time_point now);

    /// \returns whether the map has changed since it was last recorded.
    bool wantsRecord() const;
    /// \returns the map to record; changes wait until recorded() is called.
    /// \param nextFence the next unused fence, raised for every new owner
    std::vector<range_owner> record(std::uint64_t &nextFence);
    /// The map last returned by record() stands in the store.
    void recorded(time_point now);

    /// \returns the map for callers' requests: no target where the keys are changing hands.
    range_map published(time_point now) const;
    /// \returns a number that rises whenever published() changes.
    std::uint64_t revision() const { return m_revision; }

private:
    enum class phase {
        Held, ///< recorded, granted and renewed
        Granting, ///< recorded, the first grant is not answered yet
        Releasing, ///< the owner releases it, or its last grant must run out
        Free, ///< nobody owns it; a new owner is to be recorded
        Recording ///< the new owner is being recorded
    };
    struct piece
    {
        range_owner owner;
        phase state = phase::Held;
        std::string next; ///< the planned new owner, or empty for any
        time_point heldUntil{}; ///< when the last grant has surely run out
        time_point doubtUntil{}; ///< when every grant without an answer has surely run out
        time_point formerDoubtUntil{}; ///< the same, of grants with earlier fences
        bool refencing = false; ///< the same owner gets a new fence
        std::string afterRefence; ///< the planned new owner after that
        time_point dueAt{}; ///< the next order
        time_point silentSince{}; ///< the first unanswered renewal in a row
        order_number order = 0; ///< on its way, 0 for none
        time_point orderSentAt{};
        bool longHold = false;
        bool releaseLost = false; ///< the owner has not answered a release
    };

    void fillGaps(time_point now);
    void abandonOrder(piece &p);
    void setFree(piece &p);
    void leave(piece &p, const std::string &to, time_point now);
    void startRelease(piece &p, const std::string &to, time_point now);
    void granted(piece &p, time_point now);
    void check(piece &p, const owner_views &views, time_point now);
    void plan(const owner_views &views, time_point now);
    void startMove(key_range keys, const std::string &to, time_point now);
    void chooseOwners(const owner_views &views, time_point now);
    void grant(piece &p, time_point now, std::vector<range_order> &orders);
    void release(piece &p, time_point now, std::vector<range_order> &orders);
    void mergeNeighbours();
    void noteAnswer(const std::string &target, bool answered, time_point now);
    bool eligible(const std::string &target, const owner_view &view, time_point now) const;
    void changed() { ++m_revision; }
    milliseconds upperBound(milliseconds hold) const;

    keeper_timing m_timing;
    std::vector<piece> m_pieces; ///< in the order of keys
    std::map<std::string, time_point, std::less<>> m_silentSince; ///< targets that answer nothing
    key_load m_load;
    order_number m_lastOrder = 0;
    std::uint64_t m_revision = 1;
    time_point m_planAt{};
};

} // namespace damaskward
