/// \file
/// \brief A range coordinator with a scripted store and scripted targets.

#pragma once

#include "src/Node/coordinator_role.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace damaskward {
namespace testing {

/// One coordinator with a scripted store and targets that answer all commands unless told
/// otherwise.
class scripted_coordinator
{
public:
    scripted_coordinator(store_era storeEra, bool firstStart)
        : era(storeEra)
    {
        store.read = [this](const std::string &, const std::string &prefix,
                            const row_callback &done) { read(prefix, done); };
        store.commit = [this](const std::string &, const table_transaction &transaction,
                              const commit_callback &done) { commit(transaction, done); };
        role = std::make_unique<coordinator_role>(
            store, "own",
            [this](const range_command &command, const std::string &,
                   const coordinator_role::command_callback &done) { answer(command, done); },
            targets, peers, log, 1, seconds(10), firstStart, [this] { return now; },
            [](const owner_update &) {}, [](const owner_shares &) {});
        deployment config;
        config.services[service_id("lookup")].keyed = true;
        role->setDeployment(config);
        targets.setDeployment(config, now);
        for (const char *name : {"t0", "t1", "t2"}) {
            target_record record;
            record.name = name;
            record.service = service_id("lookup");
            record.address = name;
            record.incarnation = 1;
            record.slots = 2;
            records[name] = record;
        }
    }

    void runUntil(duration end)
    {
        for (; now < start + end; now += milliseconds(5)) {
            const auto due = std::exchange(m_pending, {});
            for (const auto &[at, action] : due) {
                if (at <= now) {
                    action();
                } else {
                    m_pending.emplace_back(at, action);
                }
            }
            if (m_step % 100 == 0) {
                std::vector<target_record> list;
                for (auto &[name, record] : records) {
                    ++record.heartbeatCounter;
                    list.push_back(record);
                }
                targets.applyRegistry(list, now);
            }
            if (m_step++ % 10 == 0) {
                role->tick(now);
            }
        }
    }

    /// Comes back with \a copy and a lower counter, in the next era.
    void restore(const std::map<std::string, table_row> &copy)
    {
        rows = copy;
        m_counter /= 2;
        ++era;
        isAway = false;
    }

    static constexpr time_point start{seconds(1000)};
    time_point now = start;
    store_port store;
    target_pool targets{data_center_id("dc")};
    membership peers{"vm-0"};
    request_log log{"vm-0", -1};
    std::unique_ptr<coordinator_role> role;
    std::map<std::string, target_record> records;
    std::map<std::string, table_row> rows;
    store_era era;
    bool isAway = false;
    int refusals = 0; ///< writes to refuse
    milliseconds answerTime{10};
    std::set<std::string> unresponsive; ///< targets
    std::vector<std::string> violations;

private:
    struct key_holder
    {
        std::string target;
        std::uint64_t fencingToken = 0;
        time_point until{};
    };

    void after(duration span, std::function<void()> action)
    {
        m_pending.emplace_back(now + span, std::move(action));
    }

    void read(const std::string &prefix, const row_callback &done)
    {
        if (isAway) {
            after(milliseconds(600), [done] { done(store_failure::Unreachable); });
            return;
        }
        row_set result{{}, m_counter, era};
        for (const auto &[name, row] : rows) {
            if (name.compare(0, prefix.size(), prefix) == 0) {
                result.rows.push_back(row);
            }
        }
        after(answerTime, [done, result] { done(row_set(result)); });
    }

    void commit(const table_transaction &transaction, const commit_callback &done)
    {
        commit_answer result;
        if (isAway) {
            after(milliseconds(600), [done] { done({}); });
            return;
        }
        result.era = era;
        result.outcome = commit_outcome::Applied;
        if (refusals > 0) {
            --refusals;
            result.outcome = commit_outcome::Refused;
        }
        for (const table_check &check : transaction.checks) {
            const auto row = rows.find(check.name);
            if ((row == rows.end() ? 0 : row->second.version) != check.version) {
                result.outcome = commit_outcome::Conflict;
            }
        }
        if (result.outcome == commit_outcome::Applied) {
            result.revision = ++m_counter;
            for (const table_put &put : transaction.puts) {
                rows[put.name] = {put.name, put.value, m_counter, false};
                if (put.value.empty()) {
                    rows.erase(put.name);
                }
            }
        }
        after(answerTime, [done, result] { done(commit_answer(result)); });
    }

    void answer(const range_command &command, const coordinator_role::command_callback &done)
    {
        const std::string target = std::visit([](const auto &c) { return c.target; }, command);
        if (unresponsive.count(target) != 0) {
            after(milliseconds(200), [done] { done({}); });
            return;
        }
        if (const auto *grant = std::get_if<grant_command>(&command)) {
            take(*grant);
        } else {
            const key_range keys = std::get<release_command>(command).keys;
            for (int key = keys.first; key <= keys.last; ++key) {
                m_holders[static_cast<std::size_t>(key)].until = now;
            }
        }
        command_answer result;
        result.outcome = command_outcome::Done;
        after(milliseconds(5), [done, result] { done(result); });
    }

    void take(const grant_command &grant)
    {
        for (int key = grant.keys.first; key <= grant.keys.last; ++key) {
            key_holder &holder = m_holders[static_cast<std::size_t>(key)];
            const bool isOther = !holder.target.empty() && holder.target != grant.target;
            if (isOther && (now < holder.until || grant.fencingToken <= holder.fencingToken)) {
                violations.push_back(std::to_string(toMillis(now - start)) + " ms: key "
                                     + std::to_string(key) + " goes from " + holder.target + " to "
                                     + grant.target);
                return;
            }
            holder = {grant.target, grant.fencingToken, now + grant.leaseDuration};
        }
    }

    row_version m_counter = 0;
    int m_step = 0;
    std::vector<std::pair<time_point, std::function<void()>>> m_pending;
    std::vector<key_holder> m_holders{static_cast<std::size_t>(keyCount)};
};

} // namespace testing
} // namespace damaskward
