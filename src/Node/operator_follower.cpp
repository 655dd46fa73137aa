#include "operator_follower.h"

#include <utility>

namespace damaskward {

operator_follower::operator_follower(platform_port &platform, const handler_guard &guard,
                                     request_log &log, operator_events events)
    : m_platform(platform)
    , m_guard(guard)
    , m_log(log)
    , m_events(std::move(events))
{ }

void operator_follower::read()
{
    m_isFollowing = true;
    const std::uint64_t number = ++m_readNumber;
    m_platform.store.read(m_platform.operatorTable, "", [this, number](row_result &&result) {
        if (!m_guard.run("operator rows", [&] { handleRead(number, result); })) {
            m_isFollowing = false; // The next tick reads them again.
        }
    });
}

/// Processes the answer to a complete read.
/// \param number of the read
void operator_follower::handleRead(std::uint64_t number, const row_result &result)
{
    if (number != m_readNumber) {
        return;
    }
    const time_point now = mono_clock::now();
    const auto *rows = std::get_if<row_set>(&result);
    m_events.storeAnswer(rows != nullptr, now);
    if (!rows) {
        m_isFollowing = false; // The next tick tries again.
        return;
    }
    m_events.era(rows->era, now);
    m_view.applyTable(process(*rows), {rows->era, rows->revision});
    m_updatedAt = now;
    m_events.drains(now);
    follow(rows->revision);
}

void operator_follower::follow(table_revision revision)
{
    if (m_events.isFollowedElsewhere(mono_clock::now())) {
        m_isFollowing = false;
        return;
    }
    const std::uint64_t number = m_readNumber;
    m_platform.store.follow(
        m_platform.operatorTable, revision, pollTimeout, [this, number](row_result &&result) {
            if (!m_guard.run("operator rows", [&] { handleChanges(number, result); })) {
                m_isFollowing = false; // The next tick reads them again.
            }
        });
}

/// Processes the answer to a long poll for changes.
/// \param number of the read that the poll continues
void operator_follower::handleChanges(std::uint64_t number, const row_result &result)
{
    if (number != m_readNumber) {
        return;
    }
    const time_point now = mono_clock::now();
    const auto *rows = std::get_if<row_set>(&result);
    if (!rows) {
        m_isFollowing = false;
        return;
    }
    m_events.era(rows->era, now);
    if (!m_view.applyChanges(process(*rows), {rows->era, rows->revision})) {
        read();
        return;
    }
    m_updatedAt = now;
    m_events.drains(now);
    follow(rows->revision);
}

std::vector<drain_change> operator_follower::process(const row_set &rows)
{
    std::vector<drain_change> drains;
    for (const table_row &row : rows.rows) {
        operator_update update;
        m_guard.run("operator row", [&] { update = m_platform.decodeOperatorRow(row); });
        if (update.config) {
            m_events.config(update.config, row.value);
        } else if (update.rollout) {
            m_events.rollout(*update.rollout);
        } else if (!update.drainedDataCenter.empty()) {
            drains.push_back({data_center_id(update.drainedDataCenter), !row.deleted});
            m_log.write(log_line("data center drain changed")
                            .add("name", update.drainedDataCenter)
                            .add("out", !row.deleted));
        } else {
            m_log.write(log_line("row skipped").add("row", row.name));
        }
    }
    return drains;
}

} // namespace damaskward
