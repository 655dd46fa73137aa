/// \file
/// \brief Bytes in a memory_account that are given back with their holder.

#pragma once

#include "memory_account.h"

#include <memory>
#include <utility>

namespace damaskward {

/// \class memory_hold
/// \brief A number of held bytes of one kind. Movable.
///
/// \code
/// memory_hold hold(account);
/// if (!hold.tryGrow(held_kind::LargeBody, 65536))
///     waitForMemory();
/// hold.set(held_kind::LargeBody, usedBytes);
/// \endcode
class memory_hold
{
public:
    explicit memory_hold(std::shared_ptr<memory_account> account)
        : m_account(std::move(account))
    { }
    memory_hold(memory_hold &&other) noexcept
        : m_account(std::move(other.m_account))
        , m_kind(other.m_kind)
        , m_bytes(std::exchange(other.m_bytes, 0))
    { }
    memory_hold &operator=(memory_hold &&other) noexcept
    {
        std::swap(m_account, other.m_account);
        std::swap(m_kind, other.m_kind);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }
    ~memory_hold()
    {
        if (m_account) { // Otherwise it has been moved from.
            m_account->release(m_kind, m_bytes);
        }
    }

    /// Reserves \a bytes more, and moves what is held to \a kind.
    /// \returns whether there was memory; otherwise nothing changes
    bool tryGrow(held_kind kind, std::size_t bytes)
    {
        m_account->release(m_kind, m_bytes);
        const std::size_t wanted = m_bytes + bytes;
        const bool isReserved = m_account->tryReserve(kind, wanted);
        if (isReserved) {
            m_kind = kind;
            m_bytes = wanted;
        } else {
            m_account->reserve(m_kind, m_bytes);
        }
        return isReserved;
    }
    /// Sets what is held in any case. The account may then be overdrawn.
    void set(held_kind kind, std::size_t bytes)
    {
        m_account->release(m_kind, m_bytes);
        m_account->reserve(kind, bytes);
        m_kind = kind;
        m_bytes = bytes;
    }
    /// Gives back what is held.
    void reset() { set(m_kind, 0); }
    std::size_t bytes() const { return m_bytes; }

private:
    std::shared_ptr<memory_account> m_account;
    held_kind m_kind = held_kind::SmallRequest;
    std::size_t m_bytes = 0;
};

} // namespace damaskward
