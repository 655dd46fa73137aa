/// \file
/// \brief The runs and grants that a target stand-in records for tests.

#pragma once

#include "damaskward/Core"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace damaskward {
namespace standin {

/// One run of a request.
struct run_entry
{
    std::int64_t wallMicros = 0; ///< start time on the system clock
    std::string key;
    std::string team;
    std::string idempotencyKey;
    std::uint64_t epoch = 0;
};

/// A period during which a target held a shard in one epoch.
struct grant_entry
{
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::int64_t fromWallMicros = 0;
    std::int64_t untilWallMicros = 0; ///< last deadline of the grant, or the time of its release
};

/// \class run_record
/// \brief The runs, grants and request headers of a target. Not thread-safe.
class run_record
{
public:
    void addRun(run_entry entry)
    {
        ++m_runsPerKey[entry.idempotencyKey.empty() ? entry.key : entry.idempotencyKey];
        m_runs.push_back(std::move(entry));
    }
    void addHeader(const std::string &name, const std::string &value)
    {
        m_headers.insert(name + ": " + value);
    }
    void addRefused() { ++m_refused; }
    void recordRunning(int running) { m_mostRunning = std::max(m_mostRunning, running); }
    /// Extends the current entry of the shard and epoch, or adds one.
    void recordGrant(std::uint32_t shard, std::uint64_t epoch, std::int64_t now, std::int64_t until)
    {
        for (auto it = m_grants.rbegin(); it != m_grants.rend(); ++it) {
            if (it->shard == shard && it->epoch == epoch && it->untilWallMicros >= now) {
                it->untilWallMicros = until;
                return;
            }
        }
        m_grants.push_back({shard, epoch, now, until});
    }
    /// Ends the entries of a released shard at \a now.
    void recordRelease(std::uint32_t shard, std::int64_t now)
    {
        for (grant_entry &entry : m_grants) {
            if (entry.shard == shard && entry.untilWallMicros > now) {
                entry.untilWallMicros = now;
            }
        }
    }

    Json::Value toJson(bool withRuns) const
    {
        Json::Value value;
        value["runs"] = Json::UInt64(m_runs.size());
        value["refused"] = Json::UInt64(m_refused);
        value["most_running"] = m_mostRunning;
        value["per_key"] = Json::Value(Json::objectValue);
        for (const auto &[key, count] : m_runsPerKey) {
            value["per_key"][key] = Json::UInt64(count);
        }
        value["headers"] = Json::Value(Json::arrayValue);
        for (const std::string &header : m_headers) {
            value["headers"].append(header);
        }
        value["grants"] = Json::Value(Json::arrayValue);
        for (const grant_entry &grant : m_grants) {
            value["grants"].append(grantJson(grant));
        }
        value["list"] = Json::Value(Json::arrayValue);
        for (const run_entry &run : m_runs) {
            if (withRuns) {
                value["list"].append(runJson(run));
            }
        }
        return value;
    }

private:
    static Json::Value grantJson(const grant_entry &grant)
    {
        Json::Value value;
        value["shard"] = grant.shard;
        value["epoch"] = Json::UInt64(grant.epoch);
        value["from"] = Json::Int64(grant.fromWallMicros);
        value["until"] = Json::Int64(grant.untilWallMicros);
        return value;
    }
    static Json::Value runJson(const run_entry &run)
    {
        Json::Value value;
        value["at"] = Json::Int64(run.wallMicros);
        value["key"] = run.key;
        value["team"] = run.team;
        value["idempotency"] = run.idempotencyKey;
        value["epoch"] = Json::UInt64(run.epoch);
        return value;
    }

    std::vector<run_entry> m_runs;
    std::map<std::string, std::uint64_t> m_runsPerKey;
    std::set<std::string> m_headers;
    std::vector<grant_entry> m_grants;
    std::uint64_t m_refused = 0;
    int m_mostRunning = 0;
};

} // namespace standin
} // namespace damaskward
