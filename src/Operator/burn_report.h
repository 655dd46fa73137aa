/// \file
/// \brief The burn report: how fast services use up their error budgets.

#pragma once

#include "../Metrics/metrics.h"
#include "../Rules/rule_set.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// The request counts per minute of one service and team, from any number of VMs.
struct burn_series
{
    service_id service;
    team_id team;
    std::vector<minute_count> minutes; ///< in any order; a minute may occur several times
};

/// A time window of the report, which ends at the current minute.
struct burn_window
{
    std::string_view name;
    std::int64_t minutes;
};

inline constexpr std::array<burn_window, 4> burnWindows = {
    {{"5m", 5}, {"1h", 60}, {"6h", 360}, {"3d", 4320}}};

/// Good and bad requests in one window, and the burn rate of the error budget.
struct window_burn
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    double rate = 0.0; ///< ratio of bad requests, divided by the ratio that the objective allows
};

/// One row of the report: one service and team.
struct burn_row
{
    service_id service;
    team_id team;
    double objective = 0.0; ///< the required ratio of good requests
    std::array<window_burn, burnWindows.size()> windows;
    std::string alert; ///< `page`, `ticket` or empty
};

/// Computes the report. Pure function.
///
/// An alert requires a high burn rate in two windows, so that it is neither raised late nor kept
/// long after a recovery: `page` at a burn rate of 14.4 over 1 h and 5 m; `ticket` at 6 over 6 h
/// and 5 m, or at 1 over 3 d and 6 h.
/// \param nowMinute the current time, in minutes since 1970
std::vector<burn_row> makeBurnReport(const std::vector<burn_series> &series, const rule_set &rules,
                                     std::int64_t nowMinute);

/// Parses the answer of a VM to `/burn`. \returns an empty list if \a json is malformed.
std::vector<burn_series> readBurnSeries(std::string_view json);

/// Formats the report as a plain table, as JSON or as an SVG plot.
std::string burnTable(const std::vector<burn_row> &rows);
std::string burnJson(const std::vector<burn_row> &rows);
std::string burnSvg(const std::vector<burn_row> &rows);

} // namespace damaskward
