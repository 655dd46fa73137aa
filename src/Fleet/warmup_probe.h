/// \file
/// \brief Which targets to ask for their warm-up state while the registry cannot be read.

#pragma once

#include "../Core/time.h"
#include "target_pool.h"

#include <functional>
#include <string>
#include <vector>

namespace damaskward {

/// \class warmup_probe
/// \brief Finds targets that began to warm up although no registry says so. Without I/O; not
/// thread-safe.
///
/// A target may need to warm up again at any moment, and then handles few requests per second. The
/// registry says so, but a VM without contact to the store reads no registry, for example in a data
/// centre that is cut off. It asks the targets that it sends requests to: the answer to a health
/// check contains the remaining warm-up time. Requests avoid targets that warm up, and so move to
/// others at once. Therefore a VM that finds one tells the others, and each target of the data
/// centre is also asked by one VM, used or not. Neither suffices alone, as that VM may have just
/// restarted and know no targets.
///
/// \code
/// for (const std::string &name : probe.targetsToProbe(now < registryFreshUntil, isMine, now))
///     sendHealthCheck(name);
/// \endcode
class warmup_probe
{
public:
    /// Interval of the health checks of one target. Between the start of a warm-up and the answer
    /// to a check a target gets its usual requests, so it stays well below a second.
    static constexpr milliseconds interval{400};

    explicit warmup_probe(target_pool &targets)
        : m_targets(targets)
    { }

    /// \param registryIsFresh whether this VM's registry is recent, so that no check is needed
    /// \param isAssigned as in target_pool::targetsToProbe()
    /// \returns the names of the targets to check now.
    std::vector<std::string>
    targetsToProbe(bool registryIsFresh, const std::function<bool(const std::string &)> &isAssigned,
                   time_point now)
    {
        if (registryIsFresh || now < m_nextAt) {
            return {};
        }
        m_nextAt = now + interval;
        return m_targets.targetsToProbe(isAssigned, now);
    }

private:
    target_pool &m_targets;
    time_point m_nextAt{};
};

} // namespace damaskward
