/// \file
/// \brief Time types, based on the monotonic clock of the process.

#pragma once

#include "boot_clock.h"

#include <chrono>

namespace damaskward {

/// The monotonic clock of this process. Time points of two processes are never compared.
using mono_clock = boot_clock;

/// A time point on the monotonic clock of this process. All deadlines are stored as time points.
using time_point = mono_clock::time_point;

/// A time span. Used in settings and function signatures, never in stored state.
using duration = mono_clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// A time point on a target's clock, in microseconds since the target started.
/// Only the target and its gate interpret it.
struct target_time
{
    std::int64_t micros = 0;

    friend bool operator<(target_time a, target_time b) { return a.micros < b.micros; }
    friend bool operator<=(target_time a, target_time b) { return a.micros <= b.micros; }
    friend bool operator==(target_time a, target_time b) { return a.micros == b.micros; }
};

/// \returns \a span shortened by 1 %, the bound on the difference between the rates of two clocks.
///
/// The holder of a lease uses the shortened span and observers use the full span, so that the
/// lease always expires at its holder first.
inline duration withDriftMargin(duration span)
{
    constexpr int driftBound = 100;
    return span - span / driftBound;
}

/// \returns \a span in whole milliseconds, for messages and logs.
inline std::int64_t toMillis(duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

} // namespace damaskward
