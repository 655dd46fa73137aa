/// \file
/// \brief Time as the core sees it: points on one process's own monotonic clock.

#pragma once

#include "boot_clock.h"

#include <chrono>

namespace damaskward {

/// A process's own monotonic clock. Points of two processes are never compared.
using mono_clock = boot_clock;

/// A point on this process's monotonic clock; every deadline is stored as one.
using time_point = mono_clock::time_point;

/// A span of time. It appears in settings and signatures, never in stored state.
using duration = mono_clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// A point on a target's clock, in microseconds since the target started.
/// Only the target and the gate that talks to it read it.
struct target_time
{
    std::int64_t micros = 0;

    friend bool operator<(target_time a, target_time b) { return a.micros < b.micros; }
    friend bool operator<=(target_time a, target_time b) { return a.micros <= b.micros; }
    friend bool operator==(target_time a, target_time b) { return a.micros == b.micros; }
};

/// \returns \a span shortened by the bound on how far two clocks' rates differ (1 in 100).
///
/// A holder of a lease uses the shortened span, the observer the full one, so that the holder
/// always gives up first.
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
