/// \file
/// \brief Replication of the target registry from a data centre's store reader to its other VMs.

#pragma once

#include "target_pool.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace damaskward {

/// The changes between two versions of a store reader's registry, or a complete version.
struct registry_delta
{
    std::string reader; ///< the store reader that assigned the version numbers
    std::uint64_t base = 0; ///< the version it applies to; 0 for a complete version
    std::uint64_t version = 0;
    std::vector<target_record> changed;
    std::vector<removed_target> removed;
    std::int64_t ageMillis = 0; ///< time since the read of the store, when it is sent
};

/// \class registry_replica
/// \brief One VM's replica of the registry. On the store reader it numbers the changes between
/// reads; on the other VMs it applies them. Without I/O; not thread-safe.
///
/// Every call to the platform's store is billed, and all VMs of a data centre would read the same
/// rows, so one VM reads for all. A new heartbeat of a target is not a change.
///
/// \code
/// if (auto delta = replica.applyRecords(records))
///     sendToLocalVms(*delta);
/// \endcode
class registry_replica
{
public:
    /// \param self this VM's name
    /// \param firstVersion greater than all versions of this VM's previous incarnations
    registry_replica(std::string self, std::uint64_t firstVersion)
        : m_self(std::move(self))
        , m_reader(m_self)
        , m_version(firstVersion)
        , m_ownVersion(firstVersion)
    { }

    /// Applies records that this VM has read from the store.
    /// \returns the changes, or nothing if there are none; the complete version if the previous
    /// one came from another reader.
    std::optional<registry_delta> applyRecords(const std::vector<target_record> &records)
    {
        const bool isSameReader = m_reader == m_self;
        registry_delta delta;
        delta.reader = m_self;
        delta.base = m_version;
        std::map<std::string, target_record> now;
        for (const target_record &record : records) {
            const auto it = m_records.find(record.name);
            if (it == m_records.end() || differs(it->second, record)) {
                delta.changed.push_back(record);
            }
            now[record.name] = record;
        }
        for (const auto &[name, record] : m_records) {
            if (now.count(name) == 0) {
                delta.removed.push_back({name, record.incarnation, record.heartbeatCounter});
            }
        }
        m_records = std::move(now);
        if (isSameReader && delta.changed.empty() && delta.removed.empty()) {
            return std::nullopt;
        }
        m_reader = m_self;
        m_version = ++m_ownVersion;
        delta.version = m_version;
        return isSameReader ? delta : completeVersion();
    }

    /// Applies a delta of another VM. A delta that is already applied is ignored.
    /// \returns false if a preceding delta is missing.
    bool applyDelta(const registry_delta &delta)
    {
        const bool isComplete = delta.base == 0;
        if (!isComplete && (delta.reader != m_reader || delta.base != m_version)) {
            return delta.reader == m_reader && delta.version <= m_version;
        }
        if (isComplete) {
            m_records.clear();
        }
        for (const target_record &record : delta.changed) {
            m_records[record.name] = record;
        }
        for (const removed_target &target : delta.removed) {
            m_records.erase(target.name);
        }
        m_reader = delta.reader;
        m_version = delta.version;
        return true;
    }

    /// \returns the complete current version.
    registry_delta completeVersion() const
    {
        registry_delta delta;
        delta.reader = m_reader;
        delta.version = m_version;
        for (const auto &[name, record] : m_records) {
            delta.changed.push_back(record);
        }
        return delta;
    }

    bool hasVersion(const std::string &reader, std::uint64_t version) const
    {
        return m_reader == reader && m_version == version;
    }
    std::uint64_t version() const { return m_version; }
    /// \returns all records of the current version.
    std::vector<target_record> records() const { return completeVersion().changed; }

private:
    static bool differs(const target_record &a, const target_record &b)
    {
        return a.incarnation != b.incarnation || a.address != b.address || a.service != b.service
            || a.dataCenter != b.dataCenter || a.slots != b.slots || a.draining != b.draining
            || (b.warmupLeft.count() > 0 || a.warmupLeft.count() > 0);
    }

    std::string m_self;
    std::string m_reader; ///< the VM that assigned m_version
    std::uint64_t m_version;
    std::uint64_t m_ownVersion; ///< the newest version that this VM has assigned
    std::map<std::string, target_record> m_records;
};

} // namespace damaskward
