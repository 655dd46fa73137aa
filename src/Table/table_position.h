/// \file
/// \brief Positions in the history of a table.

#pragma once

#include "table.h"

#include <tuple>

namespace damaskward {

/// A position in the history of a table. Within one era the revisions order it. A store that was
/// restored from an older copy gives out revisions again, but its era is higher.
struct table_position
{
    store_era era = 0;
    table_revision revision = 0;
};

inline bool operator<(const table_position &a, const table_position &b)
{
    return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
}

} // namespace damaskward
