/// \file
/// \brief The operators' rows as known to one VM.

#pragma once

#include "../Core/ids.h"
#include "../Table/table.h"

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
/// \brief The data centres that operators have drained, and the revision up to which this VM knows
/// the operators' rows: from its own reads, or from those of its store reader. Without I/O; not
/// thread-safe.
///
/// \code
/// view.applyTable(changes, rows.revision);
/// targets.setDrainedDataCenters(view.drained(), now);
/// \endcode
class operator_view
{
public:
    /// Applies a complete read of the table.
    /// \param rows its rows about drained data centres
    void applyTable(const std::vector<drain_change> &rows, table_revision revision)
    {
        m_drained.clear();
        applyChanges(rows, revision);
    }

    /// Applies the changes since revision().
    /// \param rows the changed rows about drained data centres
    void applyChanges(const std::vector<drain_change> &rows, table_revision revision)
    {
        for (const drain_change &row : rows) {
            if (row.isDrained) {
                m_drained.insert(row.dataCenter);
            } else {
                m_drained.erase(row.dataCenter);
            }
        }
        m_revision = std::max(m_revision, revision);
    }

    /// Takes over the state that the store reader states in its heartbeats.
    /// \param drained all drained data centres
    /// \returns whether it is newer than the known one.
    bool applyReaderState(std::set<data_center_id> drained, table_revision revision)
    {
        if (revision <= m_revision) {
            return false;
        }
        m_drained = std::move(drained);
        m_revision = revision;
        return true;
    }

    /// \returns the revision up to which the rows are known.
    table_revision revision() const { return m_revision; }
    /// \returns all drained data centres.
    const std::set<data_center_id> &drained() const { return m_drained; }

private:
    std::set<data_center_id> m_drained;
    table_revision m_revision = 0;
};

} // namespace damaskward
