#include "range_planner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

namespace damaskward {
namespace {

/// Requests added to the load of the whole key space, evenly over all keys, so that keys without
/// requests are distributed too.
constexpr double priorRequests = 20.0;
/// No keys are taken from a target until its load exceeds its share by this fraction ...
constexpr double toleratedExcessRatio = 0.35;
/// ... and by this many standard deviations of a Poisson-distributed request count.
constexpr double toleratedDeviations = 2.0;
/// A target below this fraction of its share gets keys even if no other target exceeds its bound:
/// it is new or reachable again.
constexpr double underloadedRatio = 0.4;
/// At low load the square-root rule would leave slow targets without keys. So it is applied with at
/// least this utilisation, and each target gets at least this fraction of its share by capacity.
constexpr double minUtilisation = 0.35;
constexpr double minShareRatio = 0.15;
/// Moves of less than this fraction of a target's share are not worth a change of owner.
constexpr double minMoveRatio = 0.15;
/// A moved range may exceed the load that should move by this factor.
constexpr double maxOvershootFactor = 1.5;

struct target_share
{
    const owner_candidate *target = nullptr;
    double load = 0.0;
    double share = 1.0; ///< the fraction of the total load that it should carry
    std::vector<key_range> ranges;
};

bool hasLowerRelativeLoad(const target_share &a, const target_share &b)
{
    return a.load / a.share < b.load / b.share;
}

class move_planner
{
public:
    move_planner(const std::vector<range_owner> &owners, const key_load &load,
                 const std::vector<owner_candidate> &candidates, time_point now)
        : m_load(load)
        , m_now(now)
    {
        std::map<std::string, std::size_t, std::less<>> index;
        for (const owner_candidate &c : candidates) {
            index[c.name] = m_targets.size();
            m_targets.push_back({&c, 0.0, 1.0, {}});
            m_capacity += c.capacity;
        }
        for (const range_owner &owner : owners) {
            const double rangeLoad = loadOf(owner.keys);
            m_total += rangeLoad;
            const auto it = index.find(owner.target);
            if (it != index.end()) {
                m_targets[it->second].load += rangeLoad;
                m_targets[it->second].ranges.push_back(owner.keys);
            }
        }
        computeShares();
    }

    std::vector<planned_move> planAll(std::size_t maxMoves)
    {
        std::vector<planned_move> moves;
        while (moves.size() < maxMoves && m_targets.size() > 1 && planOneMove(moves)) { }
        return moves;
    }

private:
    double loadOf(key_range keys) const
    {
        return m_load.of(keys, m_now) + priorRequests * keys.size() / keyCount;
    }

    double fairLoadOf(const target_share &c) const { return m_total * c.share; }

    /// Computes every target's share of the load by the square-root rule.
    void computeShares()
    {
        double rootSum = 0.0;
        for (const target_share &c : m_targets) {
            rootSum += std::sqrt(c.target->capacity);
        }
        const double rate = std::max(m_total / key_load::decaySeconds, minUtilisation * m_capacity);
        const double sparePerRoot = std::max(0.0, m_capacity - rate) / rootSum;
        double sum = 0.0;
        for (target_share &c : m_targets) {
            const double capacity = c.target->capacity;
            c.share =
                std::max(capacity - sparePerRoot * std::sqrt(capacity), minShareRatio * capacity);
            sum += c.share;
        }
        for (target_share &c : m_targets) {
            c.share /= sum;
        }
    }

    /// Plans one move from the most loaded target that can give keys away.
    /// \returns false if there is no such target.
    bool planOneMove(std::vector<planned_move> &moves)
    {
        target_share &least =
            *std::min_element(m_targets.begin(), m_targets.end(), hasLowerRelativeLoad);
        std::vector<target_share *> byDescendingLoad;
        for (target_share &c : m_targets) {
            byDescendingLoad.push_back(&c);
        }
        std::sort(byDescendingLoad.begin(), byDescendingLoad.end(),
                  [](const target_share *a, const target_share *b) {
                      return hasLowerRelativeLoad(*b, *a);
                  });
        for (target_share *most : byDescendingLoad) {
            const double fairLoad = fairLoadOf(*most);
            const double bound = fairLoad
                + std::max(toleratedExcessRatio * fairLoad,
                           toleratedDeviations * std::sqrt(fairLoad));
            if (most->load <= bound && least.load >= underloadedRatio * fairLoadOf(least)) {
                return false;
            }
            const double amount = std::min(most->load - fairLoad, fairLoadOf(least) - least.load);
            if (most != &least && amount >= minMoveRatio * fairLoad
                && planMoveOfPart(*most, least, amount, moves)) {
                return true;
            }
        }
        return false;
    }

    double loadOfKey(int key) const
    {
        return m_load.ofKey(static_cast<shard_key>(key), m_now) + priorRequests / keyCount;
    }

    /// \returns a range with a load of about \a amount at one end of \a range; empty if the single
    /// key at each end has a higher load: a key cannot be divided, so it stays with its target.
    std::optional<key_range> cutFromEnd(key_range range, double amount) const
    {
        const double most = amount * maxOvershootFactor;
        double moved = loadOfKey(range.first);
        if (moved <= most) {
            int last = range.first;
            while (last < range.last && moved + loadOfKey(last + 1) / 2 <= amount) {
                moved += loadOfKey(++last);
            }
            return key_range{range.first, static_cast<shard_key>(last)};
        }
        moved = loadOfKey(range.last);
        if (moved <= most) {
            int first = range.last;
            while (first > range.first && moved + loadOfKey(first - 1) / 2 <= amount) {
                moved += loadOfKey(--first);
            }
            return key_range{static_cast<shard_key>(first), range.last};
        }
        return std::nullopt;
    }

    /// Plans the move of a part of the most loaded range of \a from that can be divided.
    bool planMoveOfPart(target_share &from, target_share &to, double amount,
                        std::vector<planned_move> &moves)
    {
        std::sort(from.ranges.begin(), from.ranges.end(),
                  [this](key_range a, key_range b) { return loadOf(a) > loadOf(b); });
        for (std::size_t i = 0; i < from.ranges.size(); ++i) {
            const key_range range = from.ranges[i];
            const auto cut = cutFromEnd(range, amount);
            if (!cut) {
                continue;
            }
            const double moved = loadOf(*cut);
            if (moved < minMoveRatio * fairLoadOf(from)) {
                continue;
            }
            from.ranges.erase(from.ranges.begin() + static_cast<std::ptrdiff_t>(i));
            if (cut->last < range.last) {
                from.ranges.push_back({static_cast<shard_key>(cut->last + 1), range.last});
            }
            if (range.first < cut->first) {
                from.ranges.push_back({range.first, static_cast<shard_key>(cut->first - 1)});
            }
            from.load -= moved;
            to.load += moved;
            moves.push_back({*cut, from.target->name, to.target->name});
            return true;
        }
        return false;
    }

    const key_load &m_load;
    time_point m_now;
    std::vector<target_share> m_targets;
    double m_total = 0.0;
    double m_capacity = 0.0;
};

} // namespace

std::vector<planned_move> planMoves(const std::vector<range_owner> &owners, const key_load &load,
                                    const std::vector<owner_candidate> &candidates,
                                    std::size_t maxMoves, time_point now)
{
    return move_planner(owners, load, candidates, now).planAll(maxMoves);
}

std::vector<range_owner> evenSplit(const std::vector<owner_candidate> &candidates)
{
    double total = 0.0;
    for (const owner_candidate &c : candidates) {
        total += c.capacity;
    }
    std::vector<range_owner> result;
    double before = 0.0;
    int next = 0;
    for (const owner_candidate &c : candidates) {
        before += c.capacity;
        const int end =
            &c == &candidates.back() ? keyCount : static_cast<int>(before / total * keyCount);
        if (end <= next) {
            continue;
        }
        range_owner owner;
        owner.keys = {static_cast<shard_key>(next), static_cast<shard_key>(end - 1)};
        owner.target = c.name;
        owner.incarnation = c.incarnation;
        result.push_back(owner);
        next = end;
    }
    return result;
}

} // namespace damaskward
