#include "latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace damaskward {
namespace internal {

constexpr double leastSeconds = 1e-5;
constexpr double mostSeconds = 1e2;
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
        storage(), axis(internal::binCount, internal::leastSeconds, internal::mostSeconds)))
{ }

void latency_histogram::add(duration latency)
{
    const double value = std::max(internal::toSeconds(latency), internal::leastSeconds);
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
    const auto wanted = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(m_count)));
    std::uint64_t seen = 0;
    for (int bin = 0; bin < static_cast<int>(internal::binCount); ++bin) {
        seen += m_bins.at(bin);
        if (seen >= wanted) {
            return internal::fromSeconds(m_bins.axis(0).bin(bin).upper());
        }
    }
    return internal::fromSeconds(internal::mostSeconds);
}

std::uint64_t latency_histogram::countUpTo(duration bound) const
{
    std::uint64_t seen = 0;
    const double most = internal::toSeconds(bound);
    for (int bin = 0; bin < static_cast<int>(internal::binCount); ++bin) {
        if (m_bins.axis(0).bin(bin).upper() <= most * 1.000001) {
            seen += m_bins.at(bin);
        }
    }
    return seen;
}

} // namespace damaskward
