#include "range_planner.h"

#include <cmath>
#include <map>

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
        while (moves.size() < mostMoves && m_carriers.size() > 1) {
            carrier &most = *std::max_element(m_carriers.begin(), m_carriers.end(), lighter);
            carrier &least = *std::min_element(m_carriers.begin(), m_carriers.end(), lighter);
            const double part = partOf(most);
            const double bound =
                part + std::max(toleratedExcess * part, toleratedDeviations * std::sqrt(part));
            if (most.load <= bound && least.load >= starvedShare * partOf(least)) {
                break;
            }
            const double amount = std::min(most.load - part, partOf(least) - least.load);
            if (amount < leastMove * part || !moveSome(most, least, amount, moves)) {
                break;
            }
        }
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

    /// Takes a run from the front of the heaviest piece.
    bool moveSome(carrier &from, carrier &to, double amount, std::vector<planned_move> &moves)
    {
        if (from.pieces.empty()) {
            return false;
        }
        const auto heaviest =
            std::max_element(from.pieces.begin(), from.pieces.end(),
                             [this](key_range a, key_range b) { return loadOf(a) < loadOf(b); });
        const key_range piece = *heaviest;
        double moved = 0.0;
        int last = piece.first;
        for (int key = piece.first; key <= piece.last; ++key) {
            const double add =
                m_load.ofKey(static_cast<shard_key>(key), m_now) + priorLoad / keyCount;
            if (key > piece.first && moved + add / 2 > amount) {
                break;
            }
            moved += add;
            last = key;
        }
        if (last == piece.last && from.pieces.size() == 1 && piece.size() == 1) {
            return false; // A single key cannot be divided.
        }
        const key_range cut{piece.first, static_cast<shard_key>(last)};
        from.pieces.erase(heaviest);
        if (last < piece.last) {
            from.pieces.push_back({static_cast<shard_key>(last + 1), piece.last});
        }
        from.load -= moved;
        to.load += moved;
        moves.push_back({cut, from.target->name, to.target->name});
        return true;
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
