/// \file
/// \brief A histogram of latencies on a logarithmic scale, based on Boost.Histogram.

#pragma once

#include "../Core/time.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <vector>

namespace damaskward {

/// \class latency_histogram
/// \brief Latencies from 10 microseconds to 100 seconds, 20 bins per decade. Not thread-safe.
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
    /// Adds the counts of another histogram.
    void merge(const latency_histogram &other);
    /// \returns the upper bound of the bin that contains the quantile \a q, or zero if empty.
    duration quantile(double q) const;
    std::uint64_t count() const { return m_count; }
    /// \returns the sum of all latencies, in seconds.
    double sumSeconds() const { return m_sumSeconds; }
    /// \returns the number of latencies in all bins whose upper bound is at most \a bound.
    std::uint64_t countUpTo(duration bound) const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<axis>, storage> m_bins;
    std::uint64_t m_count = 0;
    double m_sumSeconds = 0.0;
};

} // namespace damaskward
