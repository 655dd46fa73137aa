#include "latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace damaskward {
namespace internal {

constexpr double minSeconds = 1e-5;
constexpr double maxSeconds = 1e2;
constexpr unsigned binCount = 140;

double toSeconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

duration fromSeconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

} // namespace internal

latency_histogram::latency_histogram()
    : m_bins(boost::histogram::make_histogram_with(
        storage(), axis(internal::binCount, internal::minSeconds, internal::maxSeconds)))
{ }

void latency_histogram::add(duration latency)
{
    const double value = std::max(internal::toSeconds(latency), internal::minSeconds);
    m_bins(value);
    ++m_count;
    m_sumSeconds += value;
}

void latency_histogram::merge(const latency_histogram &other)
{
    m_bins += other.m_bins;
    m_count += other.m_count;
    m_sumSeconds += other.m_sumSeconds;
}

duration latency_histogram::quantile(double q) const
{
    if (m_count == 0) {
        return duration::zero();
    }
    const auto rank = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(m_count)));
    std::uint64_t cumulativeCount = 0;
    for (int bin = 0; bin < static_cast<int>(internal::binCount); ++bin) {
        cumulativeCount += m_bins.at(bin);
        if (cumulativeCount >= rank) {
            return internal::fromSeconds(m_bins.axis(0).bin(bin).upper());
        }
    }
    return internal::fromSeconds(internal::maxSeconds);
}

std::uint64_t latency_histogram::countUpTo(duration bound) const
{
    std::uint64_t cumulativeCount = 0;
    const double boundSeconds = internal::toSeconds(bound);
    for (int bin = 0; bin < static_cast<int>(internal::binCount); ++bin) {
        // The factor allows for rounding errors in the bounds of the bins.
        if (m_bins.axis(0).bin(bin).upper() <= boundSeconds * 1.000001) {
            cumulativeCount += m_bins.at(bin);
        }
    }
    return cumulativeCount;
}

} // namespace damaskward
