/// \file
/// \brief Limits retries and hedges to a share of the requests.

#pragma once

#include <algorithm>
#include <mutex>

namespace damaskward {

/// \class retry_budget
/// \brief A budget to which each first attempt adds a fraction of a retry. Thread-safe.
///
/// Each retry takes a whole one from it. This bounds the additional load of retries on an
/// overloaded or failing fleet to that fraction of the first attempts.
///
/// \code
/// retry_budget budget(0.1, 10.0);
/// budget.earn();
/// if (budget.trySpend()) { ... }
/// \endcode
class retry_budget
{
public:
    /// \param share fraction of a retry added by each first attempt
    /// \param maxBalance upper bound and initial value of the budget, in retries
    retry_budget(double share, double maxBalance)
        : m_share(share)
        , m_maxBalance(maxBalance)
        , m_balance(maxBalance)
    { }

    /// Must be called for each first attempt.
    void earn()
    {
        const std::lock_guard lock(m_mutex);
        m_balance = std::min(m_balance + m_share, m_maxBalance);
    }

    /// \returns whether a retry or hedge may be sent; if so, it is deducted from the budget.
    bool trySpend()
    {
        const std::lock_guard lock(m_mutex);
        if (m_balance < 1.0) {
            return false;
        }
        m_balance -= 1.0;
        return true;
    }

private:
    double m_share;
    double m_maxBalance;
    std::mutex m_mutex;
    double m_balance;
};

} // namespace damaskward
