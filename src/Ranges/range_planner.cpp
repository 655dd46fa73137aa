#include "range_planner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

namespace damaskward {
namespace {

/// Requests added to every 65,536th key's count: spreads keys nobody asked for.
constexpr double priorLoad = 20.0;
/// A target is left alone until it exceeds its part by this share ...
constexpr double toleratedExcess = 0.35;
/// ... and by this many standard deviations of a Poisson count.
constexpr double toleratedDeviations = 2.0;
/// A target with less than this share of its part gets keys even if none is over its bound: it
/// has joined, or has come back.
constexpr double starvedShare = 0.4;
/// The square-root rule starves slow targets at low load: it is applied as if the targets were
/// used at least this much, and leaves each this share of what it would get by capacity.
constexpr double leastUtilisation = 0.35;
constexpr double leastShare = 0.15;
/// Moves smaller than this share of a target's part are not worth a change of hands.
constexpr double leastMove = 0.15;
/// A run may exceed what should move by this factor.
constexpr double mostOvershoot = 1.5;

struct carrier
{
    const owner_candidate *target = nullptr;
    double load = 0.0;
    double share = 1.0; ///< of the whole load, that it should carry
    std::vector<key_range> pieces;
};

bool lighter(const carrier &a, const carrier &b)
{
    return a.load / a.share < b.load / b.share;
}

class planning
{
public:
    planning(const std::vector<range_owner> &owners, const key_load &load,
             const std::vector<owner_candidate> &candidates, time_point now)
        : m_load(load)
        , m_now(now)
    {
        std::map<std::string, std::size_t, std::less<>> index;
        for (const owner_candidate &c : candidates) {
            index[c.name] = m_carriers.size();
            m_carriers.push_back({&c, 0.0, 1.0, {}});
            m_capacity += c.capacity;
        }
        for (const range_owner &owner : owners) {
            const double pieceLoad = loadOf(owner.keys);
            m_total += pieceLoad;
            const auto it = index.find(owner.target);
            if (it != index.end()) {
                m_carriers[it->second].load += pieceLoad;
                m_carriers[it->second].pieces.push_back(owner.keys);
            }
        }
        shareOut();
    }

    std::vector<planned_move> run(std::size_t mostMoves)
    {
        std::vector<planned_move> moves;
        while (moves.size() < mostMoves && m_carriers.size() > 1 && moveOne(moves)) { }
        return moves;
    }

private:
    double loadOf(key_range keys) const
    {
        return m_load.of(keys, m_now) + priorLoad * keys.size() / keyCount;
    }

    double partOf(const carrier &c) const { return m_total * c.share; }

    /// Gives every carrier its share of the load by the square-root rule.
    void shareOut()
    {
        double roots = 0.0;
        for (const carrier &c : m_carriers) {
            roots += std::sqrt(c.target->capacity);
        }
        const double rate =
            std::max(m_total / key_load::decaySeconds, leastUtilisation * m_capacity);
        const double spare = std::max(0.0, m_capacity - rate) / roots;
        double sum = 0.0;
        for (carrier &c : m_carriers) {
            const double capacity = c.target->capacity;
            c.share = std::max(capacity - spare * std::sqrt(capacity), leastShare * capacity);
            sum += c.share;
        }
        for (carrier &c : m_carriers) {
            c.share /= sum;
        }
    }

    /// Moves one run from the most loaded target that can give one. \returns false if none can.
    bool moveOne(std::vector<planned_move> &moves)
    {
        carrier &least = *std::min_element(m_carriers.begin(), m_carriers.end(), lighter);
        std::vector<carrier *> byLoad;
        for (carrier &c : m_carriers) {
            byLoad.push_back(&c);
        }
        std::sort(byLoad.begin(), byLoad.end(),
                  [](const carrier *a, const carrier *b) { return lighter(*b, *a); });
        for (carrier *most : byLoad) {
            const double part = partOf(*most);
            const double bound =
                part + std::max(toleratedExcess * part, toleratedDeviations * std::sqrt(part));
            if (most->load <= bound && least.load >= starvedShare * partOf(least)) {
                return false;
            }
            const double amount = std::min(most->load - part, partOf(least) - least.load);
            if (most != &least && amount >= leastMove * part
                && moveSome(*most, least, amount, moves)) {
                return true;
            }
        }
        return false;
    }

    double loadOfKey(int key) const
    {
        return m_load.ofKey(static_cast<shard_key>(key), m_now) + priorLoad / keyCount;
    }

    /// \returns the run of about \a amount at one end of \a piece; empty if a single key at both
    /// ends is more than that: a key cannot be divided, and its target keeps it.
    std::optional<key_range> cutFrom(key_range piece, double amount) const
    {
        const double most = amount * mostOvershoot;
        double moved = loadOfKey(piece.first);
        if (moved <= most) {
            int last = piece.first;
            while (last < piece.last && moved + loadOfKey(last + 1) / 2 <= amount) {
                moved += loadOfKey(++last);
            }
            return key_range{piece.first, static_cast<shard_key>(last)};
        }
        moved = loadOfKey(piece.last);
        if (moved <= most) {
            int first = piece.last;
            while (first > piece.first && moved + loadOfKey(first - 1) / 2 <= amount) {
                moved += loadOfKey(--first);
            }
            return key_range{static_cast<shard_key>(first), piece.last};
        }
        return std::nullopt;
    }

    /// Moves a run of the heaviest piece that can be cut.
    bool moveSome(carrier &from, carrier &to, double amount, std::vector<planned_move> &moves)
    {
        std::sort(from.pieces.begin(), from.pieces.end(),
                  [this](key_range a, key_range b) { return loadOf(a) > loadOf(b); });
        for (std::size_t i = 0; i < from.pieces.size(); ++i) {
            const key_range piece = from.pieces[i];
            const auto cut = cutFrom(piece, amount);
            if (!cut) {
                continue;
            }
            const double moved = loadOf(*cut);
            if (moved < leastMove * partOf(from)) {
                continue;
            }
            from.pieces.erase(from.pieces.begin() + static_cast<std::ptrdiff_t>(i));
            if (cut->last < piece.last) {
                from.pieces.push_back({static_cast<shard_key>(cut->last + 1), piece.last});
            }
            if (piece.first < cut->first) {
                from.pieces.push_back({piece.first, static_cast<shard_key>(cut->first - 1)});
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
    std::vector<carrier> m_carriers;
    double m_total = 0.0;
    double m_capacity = 0.0;
};

} // namespace

std::vector<planned_move> planMoves(const std::vector<range_owner> &owners, const key_load &load,
                                    const std::vector<owner_candidate> &candidates,
                                    std::size_t mostMoves, time_point now)
{
    return planning(owners, load, candidates, now).run(mostMoves);
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
