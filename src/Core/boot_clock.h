/// \file
/// \brief A monotonic clock that also counts the time for which a VM was suspended.

#pragma once

#include <chrono>
#include <ctime>

namespace damaskward {

/// \class boot_clock
/// \brief CLOCK_BOOTTIME as a standard clock. Thread-safe.
///
/// A lease held by a process must run out while its VM is suspended, and std::chrono::steady_clock
/// stands still in that time.
///
/// \code
/// const boot_clock::time_point deadline = boot_clock::now() + std::chrono::seconds(1);
/// \endcode
class boot_clock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    // The standard names this member.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    /// \returns the present point in time.
    static time_point now() noexcept
    {
        timespec ts{};
        clock_gettime(CLOCK_BOOTTIME, &ts);
        return time_point(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
    }
};

} // namespace damaskward
