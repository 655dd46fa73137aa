#include "owner_selection.h"

#include "../Hashing/key_hash.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

namespace damaskward {
namespace {

/// Fraction of all keys that may start to move within a second. All keys move in 1.3 s, and at any
/// time those of a fifth of the targets, as a move takes about 250 ms.
constexpr double maxShareRise = 0.8;

} // namespace

/// \returns \a share, or less while it rises. A lower share holds at once.
double owner_selection::rampedShare(const service_id &service, double share, time_point now)
{
    ramp &state = m_ramps[service];
    const double elapsed = state.updatedAt == time_point{}
        ? 0.0
        : std::chrono::duration<double>(now - state.updatedAt).count();
    state.share = std::min(share, state.share + maxShareRise * elapsed);
    state.updatedAt = now;
    return state.share;
}

std::set<std::string> owner_selection::excluded(const service_id &service,
                                                const target_pool &targets, time_point now)
{
    std::set<std::string> result;
    // In an order that does not depend on names, which may follow machines and data centres.
    std::vector<std::pair<std::uint64_t, std::string>> rising;
    std::vector<std::pair<std::uint64_t, std::string>> falling;
    std::optional<double> share;
    for (const auto &[name, t] : targets.all()) {
        if (t.record.service != service) {
            continue;
        }
        const auto limit = m_rollouts.shareOf(t.record, now);
        if (limit && *limit <= 0.0) {
            result.insert(name);
        } else if (limit) {
            share = limit;
            rising.emplace_back(keyHash(name), name);
        } else if (t.isRegistered) {
            falling.emplace_back(keyHash(name), name);
        }
    }
    if (!share) {
        m_ramps.erase(service);
        return result;
    }
    const double inUse = rampedShare(service, *share, now);
    std::sort(rising.begin(), rising.end());
    std::sort(falling.begin(), falling.end());
    const auto owners =
        static_cast<std::size_t>(std::ceil(inUse * static_cast<double>(rising.size())));
    for (std::size_t i = owners; i < rising.size(); ++i) {
        result.insert(rising[i].second);
    }
    const auto retired =
        static_cast<std::size_t>(std::lround(inUse * static_cast<double>(falling.size())));
    for (std::size_t i = 0; i < retired; ++i) {
        result.insert(falling[i].second);
    }
    return result;
}

bool owner_selection::ownsAll(const std::string &version, const range_map &owners,
                              const target_pool &targets)
{
    int nextKey = 0;
    for (const range_owner &owner : owners.owners) {
        const target_state *target = targets.find(owner.target);
        if (owner.keys.first != nextKey || !target || target->record.version != version) {
            return false;
        }
        nextKey = owner.keys.last + 1;
    }
    return nextKey == keyCount;
}

} // namespace damaskward
