/// \file
/// \brief The grants that a target holds, for the target stand-in and the tests.

#pragma once

#include "damaskward/Ownership"

#include <map>
#include <string>

namespace damaskward {
namespace standin {

/// A shard granted to a target: the target owns its keys until the deadline of the grant.
struct held_shard
{
    std::uint64_t epoch = 0;
    int running = 0; ///< requests for the shard that have not finished
    bool closing = false; ///< no longer granted; removed when its last request finishes
};

/// \class target_state
/// \brief Accepts grants with a newer fencing token and admits requests that a grant covers.
///
/// The fencing token of a grant is its gate term and sequence number. Times are on the target's own
/// clock. Not thread-safe.
class target_state
{
public:
    /// \param boot identifies this incarnation of the target
    /// \param fenced whether grants without a newer fencing token are refused
    explicit target_state(std::uint64_t boot, bool fenced = true)
        : m_boot(boot)
        , m_fenced(fenced)
    { }

    /// Applies a grant if it is addressed to this incarnation, has a newer fencing token, has not
    /// expired, and either lists its shards or refers to the set that the target already holds.
    grant_answer take(const grant_request &order, target_time now)
    {
        const bool addressed = order.boot == m_boot;
        const bool newer = !m_fenced || order.gateTerm > m_gateTerm
            || (order.gateTerm == m_gateTerm && order.sequence > m_sequence);
        const bool hasSet = order.shards.has_value()
            || (order.gateTerm == m_gateTerm && order.setNumber == m_setNumber);
        const bool accepted = addressed && newer && hasSet && now < order.deadline;
        if (accepted) {
            apply(order);
        }
        return answer(accepted, now);
    }

    /// \returns whether a request with this gate term and shard epoch may run now.
    bool admits(std::uint32_t shard, std::uint64_t epoch, std::uint64_t gateTerm,
                target_time now) const
    {
        const auto held = m_shards.find(shard);
        return admitsUnkeyed(gateTerm, now) && held != m_shards.end() && !held->second.closing
            && held->second.epoch == epoch;
    }

    /// The same for an unkeyed service, whose grants are not limited to shards.
    bool admitsUnkeyed(std::uint64_t gateTerm, target_time now) const
    {
        return gateTerm == m_gateTerm && now < m_deadline;
    }

    void started(std::uint32_t shard, std::uint64_t gateTerm)
    {
        ++m_runningByTerm[gateTerm];
        const auto held = m_shards.find(shard);
        if (held != m_shards.end()) {
            ++held->second.running;
        }
    }

    void ended(std::uint32_t shard, std::uint64_t gateTerm)
    {
        if (--m_runningByTerm[gateTerm] == 0) {
            m_runningByTerm.erase(gateTerm);
        }
        const auto held = m_shards.find(shard);
        if (held == m_shards.end()) {
            return;
        }
        --held->second.running;
        if (held->second.closing && held->second.running == 0) {
            m_shards.erase(held);
        }
    }

    std::uint64_t boot() const { return m_boot; }
    std::uint64_t gateTerm() const { return m_gateTerm; }
    target_time deadline() const { return m_deadline; }
    const std::map<std::uint32_t, held_shard> &shards() const { return m_shards; }

private:
    void apply(const grant_request &order)
    {
        m_gateTerm = order.gateTerm;
        m_sequence = order.sequence;
        m_deadline = order.deadline;
        m_setNumber = order.setNumber;
        if (order.shards) {
            replaceSet(*order.shards);
        }
    }

    void replaceSet(const std::vector<granted_shard> &shards)
    {
        std::map<std::uint32_t, held_shard> next;
        for (const granted_shard &granted : shards) {
            const auto before = m_shards.find(granted.shard.number);
            const int running = before == m_shards.end() ? 0 : before->second.running;
            next[granted.shard.number] = {granted.epoch, running, false};
        }
        for (const auto &[number, held] : m_shards) {
            if (next.count(number) == 0 && held.running > 0) {
                next[number] = {held.epoch, held.running, true};
            }
        }
        m_shards = std::move(next);
    }

    grant_answer answer(bool accepted, target_time now) const
    {
        grant_answer out;
        out.boot = m_boot;
        out.now = now;
        out.gateTerm = m_gateTerm;
        out.setNumber = m_setNumber;
        out.accepted = accepted;
        for (const auto &[number, held] : m_shards) {
            out.closing += held.closing ? 1 : 0;
        }
        for (const auto &[term, count] : m_runningByTerm) {
            out.runningForOthers += term != m_gateTerm ? static_cast<std::uint32_t>(count) : 0;
        }
        return out;
    }

    std::uint64_t m_boot;
    bool m_fenced;
    std::uint64_t m_gateTerm = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_setNumber = 0;
    target_time m_deadline{-1};
    std::map<std::uint32_t, held_shard> m_shards;
    std::map<std::uint64_t, int> m_runningByTerm;
};

} // namespace standin
} // namespace damaskward
