/// \file
/// \brief One VM of a data centre reads the registry of targets and passes changes on to the
/// others.

#pragma once

#include "target_book.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace damaskward {

/// A step from one version of a reader's registry to the next, or a whole version.
struct registry_delta
{
    std::string reader; ///< the VM whose versions these are
    std::uint64_t base = 0; ///< the version it builds on; 0 for a whole version
    std::uint64_t version = 0;
    std::vector<target_record> changed;
    std::vector<std::string> removed;
};

/// \class registry_relay
/// \brief Numbers the changes between readings of the registry, and follows another VM's numbers.
/// Without I/O; not thread-safe.
///
/// Every call to the platform's store is paid for, and all VMs of a data centre read the same. A
/// heartbeat alone is not a change.
///
/// \code
/// if (auto delta = relay.read(records))
///     sendToNeighbours(*delta);
/// \endcode
class registry_relay
{
public:
    /// \param self this VM's name
    /// \param firstVersion above all versions of this VM's former lives
    registry_relay(std::string self, std::uint64_t firstVersion)
        : m_self(std::move(self))
        , m_reader(m_self)
        , m_version(firstVersion)
        , m_ownVersion(firstVersion)
    { }

    /// Takes over a reading of this VM's own. \returns what changed, if anything did.
    std::optional<registry_delta> read(const std::vector<target_record> &records)
    {
        const bool continues = m_reader == m_self;
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
                delta.removed.push_back(name);
            }
        }
        m_records = std::move(now);
        if (continues && delta.changed.empty() && delta.removed.empty()) {
            return std::nullopt;
        }
        m_reader = m_self;
        m_version = ++m_ownVersion;
        delta.version = m_version;
        return continues ? delta : whole();
    }

    /// Takes over another VM's step. \returns false when a step before it is missing.
    bool follow(const registry_delta &delta)
    {
        const bool isWhole = delta.base == 0;
        if (!isWhole && (delta.reader != m_reader || delta.base != m_version)) {
            return delta.reader == m_reader && delta.version <= m_version;
        }
        if (isWhole) {
            m_records.clear();
        }
        for (const target_record &record : delta.changed) {
            m_records[record.name] = record;
        }
        for (const std::string &name : delta.removed) {
            m_records.erase(name);
        }
        m_reader = delta.reader;
        m_version = delta.version;
        return true;
    }

    /// \returns the whole version that this VM has.
    registry_delta whole() const
    {
        registry_delta delta;
        delta.reader = m_reader;
        delta.version = m_version;
        for (const auto &[name, record] : m_records) {
            delta.changed.push_back(record);
        }
        return delta;
    }

    bool has(const std::string &reader, std::uint64_t version) const
    {
        return m_reader == reader && m_version == version;
    }
    std::uint64_t version() const { return m_version; }
    /// \returns all records of the version that this VM has.
    std::vector<target_record> records() const { return whole().changed; }

private:
    static bool differs(const target_record &a, const target_record &b)
    {
        return a.incarnation != b.incarnation || a.address != b.address || a.service != b.service
            || a.dataCenter != b.dataCenter || a.slots != b.slots || a.draining != b.draining
            || (b.warmupLeft.count() > 0 || a.warmupLeft.count() > 0);
    }

    std::string m_self;
    std::string m_reader; ///< whose version m_version is
    std::uint64_t m_version;
    std::uint64_t m_ownVersion;
    std::map<std::string, target_record> m_records;
};

} // namespace damaskward
