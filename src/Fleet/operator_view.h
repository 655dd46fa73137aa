/// \file
/// \brief The operators' rows as known to one VM.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "../Table/table_position.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace damaskward {

/// The state of one data centre's drain, as stated by an operators' row.
struct drain_change
{
    data_center_id dataCenter;
    bool isDrained = true;
};

/// \class operator_view
/// \brief The data centres that operators have drained, and the position up to which this VM knows
/// the operators' rows: from its own reads, or from those of its store reader. Without I/O; not
/// thread-safe.
///
/// \code
/// view.applyTable(changes, {rows.era, rows.revision});
/// targets.setDrainedDataCenters(view.drained(now), now);
/// \endcode
class operator_view
{
public:
    /// How long operators may need to write again what the store has lost.
    static constexpr milliseconds recoveryTime{2000};

    /// Records that the store was restored from an older copy. Data centres that were drained
    /// remain so for recoveryTime, because their rows may be lost.
    void noteRestored(time_point now)
    {
        m_remembered = drained(now);
        m_rememberedUntil = now + recoveryTime;
    }

    /// Applies a complete read of the table.
    /// \param rows its rows about drained data centres
    void applyTable(const std::vector<drain_change> &rows, table_position position)
    {
        m_drained.clear();
        m_position = withKnownEra(position);
        applyRows(rows);
    }

    /// Applies the changes since position().
    /// \param rows the changed rows about drained data centres
    /// \returns false if the store was restored meanwhile: changes may be missing, and the table
    /// must be read completely.
    bool applyChanges(const std::vector<drain_change> &rows, table_position position)
    {
        const table_position known = withKnownEra(position);
        if (known.era != m_position.era) {
            return false;
        }
        m_position = known;
        applyRows(rows);
        return true;
    }

    /// Takes over the state that the store reader states in its heartbeats.
    /// \param drained all data centres that it treats as drained
    /// \returns whether it was applied, which it is unless it is older than the known one.
    bool applyReaderState(std::set<data_center_id> drained, table_position position)
    {
        if (position < m_position) {
            return false;
        }
        m_drained = std::move(drained);
        m_position = position;
        return true;
    }

    /// \returns the position up to which the rows are known.
    const table_position &position() const { return m_position; }
    /// \returns all data centres to be treated as drained.
    std::set<data_center_id> drained(time_point now) const
    {
        std::set<data_center_id> result = m_drained;
        if (now < m_rememberedUntil) {
            result.insert(m_remembered.begin(), m_remembered.end());
        }
        return result;
    }

private:
    void applyRows(const std::vector<drain_change> &rows)
    {
        for (const drain_change &row : rows) {
            if (row.isDrained) {
                m_drained.insert(row.dataCenter);
            } else {
                m_drained.erase(row.dataCenter);
            }
        }
    }

    /// An answer that does not state its era is assumed to be of the known one.
    table_position withKnownEra(table_position position) const
    {
        return {position.era == 0 ? m_position.era : position.era, position.revision};
    }

    std::set<data_center_id> m_drained; ///< as stated by the rows at m_position
    table_position m_position;
    std::set<data_center_id> m_remembered; ///< drained before the store was restored
    time_point m_rememberedUntil{};
};

} // namespace damaskward
