/// \file
/// \brief One team's limit at several entries with a bank, in steps of virtual time.

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

/// What a run is made of.
struct limits_options
{
    std::uint64_t seed = 1;
    int entries = 8;
    double rate = 100.0; ///< the team's rule
    double burst = 30.0;
    double demand = 1.0; ///< arrivals as a multiple of the rate
    double skew = 0.0; ///< share of the arrivals that all go to the first entry
    bool faults = false; ///< lost draws, lost and paused entries, lost banks
    bool naive = false; ///< no bank: every entry gets rate / entries and burst / entries
    duration length = seconds(20);
};

/// What happened.
struct limits_report
{
    std::uint64_t arrived = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// Refused although the team, counted over all entries, was within its rule at that moment.
    std::uint64_t refusedInside = 0;
    /// The most by which any window exceeded rate * t + burst, in requests.
    double excess = 0.0;
};

/// \class token_meter
/// \brief An exact token bucket that watches what is admitted; the naive truth.
class token_meter
{
public:
    token_meter(double rate, double burst)
        : m_rate(rate)
        , m_burst(burst)
        , m_level(burst)
    { }

    /// \returns whether one more request fits the rule now; counts it when it does.
    bool tryTake(double nowSeconds);
    /// Counts an admitted request whether or not it fits. \returns by how much the rule is broken.
    double take(double nowSeconds);

private:
    void fill(double nowSeconds);

    double m_rate;
    double m_burst;
    double m_level;
    double m_at = 0.0;
};

/// Runs one team.
limits_report runLimits(const limits_options &options);

} // namespace testing
} // namespace damaskward
