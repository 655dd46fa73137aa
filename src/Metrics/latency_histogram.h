/// \file
/// \brief Latencies on a logarithmic scale. Source: Boost.Histogram.

#pragma once

#include "../Core/time.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <vector>

namespace damaskward {

/// \class latency_histogram
/// \brief Counts latencies from 10 microseconds to 100 seconds, 20 bins a decade. Not thread-safe.
///
/// \code
/// latency_histogram h;
/// h.add(milliseconds(3));
/// duration p99 = h.quantile(0.99);
/// \endcode
class latency_histogram
{
public:
    latency_histogram();

    void add(duration latency);
    /// Adds another histogram's counts.
    void merge(const latency_histogram &other);
    /// \returns the upper edge of the bin in which the quantile falls, zero when empty.
    duration quantile(double q) const;
    std::uint64_t count() const { return m_count; }
    /// \returns the sum of all latencies, in seconds.
    double sumSeconds() const { return m_sumSeconds; }
    /// \returns how many latencies were at most \a bound.
    std::uint64_t countUpTo(duration bound) const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<axis>, storage> m_bins;
    std::uint64_t m_count = 0;
    double m_sumSeconds = 0.0;
};

} // namespace damaskward
