/// \file
/// \brief Simulation of one team's limit at several entries, in steps of virtual time.

#pragma once

#include "damaskward/Admission"

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace damaskward {
namespace testing {

/// The parameters of a run.
struct limits_options
{
    std::uint64_t seed = 1;
    int entries = 8;
    double rate = 100.0; ///< the team's rule
    double burst = 30.0;
    double demand = 1.0; ///< arrival rate as a multiple of the rate
    double skew = 0.0; ///< share of the arrivals that all go to the first entry
    bool faults = false; ///< lost messages, restarted and paused entries, lost token buckets
    bool naive = false; ///< no shared bucket: every entry gets rate / entries and burst / entries
    duration length = seconds(20);
};

/// The results of a run.
struct limits_report
{
    std::uint64_t arrived = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// Refused although the team, counted over all entries, was within its limit at that moment.
    std::uint64_t refusedWithinLimit = 0;
    /// The largest excess over rate * t + burst in any window of t seconds, in requests.
    double excess = 0.0;
};

/// \class token_meter
/// \brief An exact token bucket: the reference over all entries, and the bucket of a naive entry.
class token_meter
{
public:
    token_meter(double rate, double burst)
        : m_rate(rate)
        , m_burst(burst)
        , m_level(burst)
    { }

    /// Counts a request if it is within the limit.
    /// \returns whether it is.
    bool tryTake(double nowSeconds);
    /// Counts an admitted request, whether or not it is within the limit.
    /// \returns the excess over the limit, in requests.
    double take(double nowSeconds);

private:
    void refill(double nowSeconds);

    double m_rate;
    double m_burst;
    double m_level;
    double m_refilledAtSeconds = 0.0;
};

/// Runs the simulation of one team.
limits_report runLimitsSimulation(const limits_options &options);

} // namespace testing
} // namespace damaskward
