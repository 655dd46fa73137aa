/// \file
/// \brief A monotonic clock that keeps running while the VM is suspended.

#pragma once

#include <chrono>
#include <ctime>

namespace damaskward {

/// \class boot_clock
/// \brief CLOCK_BOOTTIME as a standard clock. Thread-safe.
///
/// A lease must also expire while the VM of its holder is suspended. std::chrono::steady_clock
/// stops during a suspension, CLOCK_BOOTTIME does not.
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
    // The name is required by the standard.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    /// \returns the current time.
    static time_point now() noexcept
    {
        timespec ts{};
        clock_gettime(CLOCK_BOOTTIME, &ts);
        return time_point(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
    }
};

} // namespace damaskward
