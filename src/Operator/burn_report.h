/// \file
/// \brief The report on service-level burn.

#pragma once

#include "../Metrics/metrics.h"
#include "../Rules/rule_set.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// The counts of one service and team, one entry a minute, from any number of VMs.
struct burn_series
{
    service_id service;
    team_id team;
    std::vector<minute_count> minutes; ///< in any order; the same minute may stand twice
};

/// A window of the report.
struct burn_window
{
    std::string_view name;
    std::int64_t minutes;
};

inline constexpr std::array<burn_window, 4> burnWindows = {
    {{"5m", 5}, {"1h", 60}, {"6h", 360}, {"3d", 4320}}};

/// Good and bad requests of one window, and how fast they use up the error budget.
struct window_burn
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    double rate = 0.0; ///< 1 means: just as fast as the objective allows
};

/// One row of the report.
struct burn_row
{
    service_id service;
    team_id team;
    double objective = 0.0; ///< the share of requests that must be good
    std::array<window_burn, burnWindows.size()> windows;
    std::string alert; ///< `page`, `ticket` or empty
};

/// Computes the report. Pure.
///
/// The alerts take two windows each, so that they neither come late nor stay on long: page at 14.4
/// times the allowed rate over 1 h and 5 m, ticket at 6 times over 6 h and 5 m or at the allowed
/// rate over 3 d and 6 h.
/// \param nowMinute the present minute since 1970
std::vector<burn_row> makeBurnReport(const std::vector<burn_series> &series, const rule_set &rules,
                                     std::int64_t nowMinute);

/// Reads what a VM's `/burn` answers. \returns nothing for a malformed text.
std::vector<burn_series> readBurnSeries(std::string_view json);

/// The report as a plain table, as JSON, and as an SVG plot.
std::string burnTable(const std::vector<burn_row> &rows);
std::string burnJson(const std::vector<burn_row> &rows);
std::string burnSvg(const std::vector<burn_row> &rows);

} // namespace damaskward
