/// \file
/// \brief The bytes that a VM holds for its callers and targets, and their bounds.

#pragma once

#include "../Fleet/vm_capacity.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <utility>

namespace damaskward {

/// What held bytes are for.
enum class held_kind {
    SmallRequest, ///< heads, unparsed input and small bodies of requests
    LargeBody, ///< requests whose body is above smallBodyBytes
    Answer, ///< answers being read
    WaitingAnswer ///< answers that are being written to callers
};

inline constexpr std::size_t heldKindCount = 4;

/// \returns the name of \a kind in metrics.
inline const char *toString(held_kind kind)
{
    static constexpr std::array<const char *, heldKindCount> names = {
        "small_requests", "large_bodies", "answers", "waiting_answers"};
    return names[static_cast<std::size_t>(kind)];
}

/// A request with a body of at most this size may use the memory that large bodies cannot take.
inline constexpr std::size_t smallBodyBytes = 65536;

/// Upper bounds on what a VM holds at once.
struct memory_bounds
{
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    std::size_t totalBytes = unlimited;
    std::size_t largeBodyBytes = unlimited; ///< of all large bodies together
    std::size_t answerBytes = 64U << 20U; ///< of all answers being read together
    std::size_t callerConnections = unlimited;
    std::size_t requestsInFlight = unlimited;
};

/// \returns the bounds for a VM with \a capacity.
inline memory_bounds memoryBoundsOf(const vm_capacity &capacity)
{
    constexpr double maxHeldShare = 0.7; // The allocator and the process itself need the rest.
    constexpr std::size_t processBytes = 24U << 20U; // Code, configuration, registry and logs.
    constexpr std::size_t smallShare = 8; // An eighth is kept for small requests and for answers.
    constexpr std::size_t answerShare = 4; // An answer that grows is held twice at times.
    constexpr std::size_t reservedDescriptors = 200; // For the store, other VMs and logs.
    constexpr std::size_t minConnections = 16;
    memory_bounds bounds;
    if (capacity.memoryBytes != 0) {
        const auto share =
            static_cast<std::size_t>(static_cast<double>(capacity.memoryBytes) * maxHeldShare);
        bounds.totalBytes =
            std::min(share, capacity.memoryBytes - std::min(capacity.memoryBytes, processBytes));
        bounds.answerBytes = std::min(bounds.answerBytes, capacity.memoryBytes / answerShare);
        bounds.largeBodyBytes = bounds.totalBytes - bounds.totalBytes / smallShare;
    }
    if (capacity.descriptors != 0) {
        // Each request in flight needs a connection to a target as well.
        const std::size_t half =
            (capacity.descriptors - std::min(capacity.descriptors, reservedDescriptors)) / 2;
        bounds.callerConnections = std::max(minConnections, half);
        bounds.requestsInFlight = bounds.callerConnections;
    }
    return bounds;
}

/// \class memory_account
/// \brief Counts the bytes that a VM holds, and refuses those above its bounds. Not thread-safe.
///
/// \code
/// memory_account account(memoryBoundsOf(capacity));
/// if (!account.tryReserve(held_kind::SmallRequest, 4096))
///     refuse();
/// \endcode
class memory_account
{
public:
    explicit memory_account(memory_bounds bounds = {})
        : m_bounds(bounds)
    { }
    memory_account(const memory_account &) = delete;
    memory_account &operator=(const memory_account &) = delete;

    const memory_bounds &bounds() const { return m_bounds; }

    /// Reserves \a bytes if the bounds allow it.
    /// \returns whether they are reserved
    bool tryReserve(held_kind kind, std::size_t bytes)
    {
        if (bytes > freeBytes(kind)) {
            return false;
        }
        reserve(kind, bytes);
        return true;
    }
    /// Counts bytes that are held in any case. The account may then be overdrawn.
    void reserve(held_kind kind, std::size_t bytes)
    {
        m_held[index(kind)] += bytes;
        m_total += bytes;
        m_peak = std::max(m_peak, m_total);
        m_smallPeak = std::max(m_smallPeak, smallBytes());
    }
    void release(held_kind kind, std::size_t bytes)
    {
        m_held[index(kind)] -= bytes;
        m_total -= bytes;
    }

    /// \returns how many bytes of \a kind can be reserved now.
    std::size_t freeBytes(held_kind kind) const
    {
        const std::size_t total = m_bounds.totalBytes - std::min(m_bounds.totalBytes, m_total);
        const std::size_t large = heldBytes(held_kind::LargeBody);
        return kind != held_kind::LargeBody
            ? total
            : std::min(total, m_bounds.largeBodyBytes - std::min(m_bounds.largeBodyBytes, large));
    }
    std::size_t heldBytes(held_kind kind) const { return m_held[index(kind)]; }
    std::size_t heldBytes() const { return m_total; }
    std::size_t peakBytes() const { return m_peak; }
    bool isOverdrawn() const { return m_total > m_bounds.totalBytes; }

    /// Sets what gives back memory of requests that are not complete: \a reclaimer returns false
    /// when there is nothing left to give back.
    void setReclaimer(std::function<bool()> reclaimer) { m_reclaimer = std::move(reclaimer); }
    /// Reclaims memory until the account is within its bounds.
    /// \returns whether it is
    bool settle()
    {
        while (isOverdrawn() && m_reclaimer && m_reclaimer()) { }
        return !isOverdrawn();
    }

    /// \returns whether much has been released that the allocator may keep, so that it should
    /// return free memory to the system before large bodies are read. Large bodies need no such
    /// advice: each has pages of its own.
    bool takeTrimAdvice()
    {
        constexpr std::size_t trimBytes = 4U << 20U;
        if (m_smallPeak - smallBytes() < trimBytes) {
            return false;
        }
        m_smallPeak = smallBytes();
        return true;
    }

    /// Counts a request or an answer that was refused for lack of memory or descriptors.
    void countRefusal() { ++m_refusals; }
    std::uint64_t refusalCount() const { return m_refusals; }

private:
    static std::size_t index(held_kind kind) { return static_cast<std::size_t>(kind); }

    std::size_t smallBytes() const { return m_total - heldBytes(held_kind::LargeBody); }

    memory_bounds m_bounds;
    std::array<std::size_t, heldKindCount> m_held{};
    std::size_t m_total = 0;
    std::size_t m_peak = 0;
    std::size_t m_smallPeak = 0; ///< of all but large bodies, since the last advice
    std::uint64_t m_refusals = 0;
    std::function<bool()> m_reclaimer;
};

} // namespace damaskward
