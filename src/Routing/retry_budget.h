/// \file
/// \brief Bounds retries and hedges to a share of the traffic.

#pragma once

#include <algorithm>
#include <mutex>

namespace damaskward {

/// \class retry_budget
/// \brief Each first attempt earns a fraction of a retry; each retry spends a whole one.
///
/// So a fleet in trouble sees at most that fraction more requests. Thread-safe.
///
/// \code
/// retry_budget budget(0.1, 10.0);
/// budget.earn();
/// if (budget.trySpend()) { ... }
/// \endcode
class retry_budget
{
public:
    /// \param share retries earned by one first attempt
    /// \param most retries saved up at the most
    retry_budget(double share, double most)
        : m_share(share)
        , m_most(most)
        , m_saved(most)
    { }

    void earn()
    {
        const std::lock_guard lock(m_mutex);
        m_saved = std::min(m_saved + m_share, m_most);
    }

    bool trySpend()
    {
        const std::lock_guard lock(m_mutex);
        if (m_saved < 1.0) {
            return false;
        }
        m_saved -= 1.0;
        return true;
    }

private:
    double m_share;
    double m_most;
    std::mutex m_mutex;
    double m_saved;
};

} // namespace damaskward
