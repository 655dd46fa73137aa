#include "burn_report.h"

#include "../Core/json.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <sstream>

namespace damaskward {
namespace internal {

constexpr double pageBurnRate = 14.4;
constexpr double ticketBurnRate = 6.0;
constexpr double slowTicketBurnRate = 1.0;

enum window_index : std::size_t { FiveMinutes, OneHour, SixHours, ThreeDays };

window_burn burnInWindow(const std::vector<minute_count> &counts, std::int64_t nowMinute,
                         const burn_window &window, double objective)
{
    window_burn burn;
    for (const minute_count &m : counts) {
        const bool inside = m.minute > nowMinute - window.minutes && m.minute <= nowMinute;
        burn.good += inside ? m.good : 0;
        burn.bad += inside ? m.bad : 0;
    }
    const std::uint64_t total = burn.good + burn.bad;
    if (total != 0 && objective < 1.0) {
        const double badShare = static_cast<double>(burn.bad) / static_cast<double>(total);
        burn.rate = badShare / (1.0 - objective);
    }
    return burn;
}

std::string alertForRow(const burn_row &row)
{
    const auto above = [&row](window_index longer, window_index shorter, double rate) {
        return row.windows[longer].rate >= rate && row.windows[shorter].rate >= rate;
    };
    if (above(OneHour, FiveMinutes, pageBurnRate)) {
        return "page";
    }
    const bool ticket = above(SixHours, FiveMinutes, ticketBurnRate)
        || above(ThreeDays, SixHours, slowTicketBurnRate);
    return ticket ? "ticket" : "";
}

std::string formatNumber(const char *formatString, double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), formatString, value);
    return text.data();
}

std::string padded(std::string text, std::size_t width)
{
    text.resize(std::max(text.size(), width), ' ');
    return text;
}

} // namespace internal

std::vector<burn_row> makeBurnReport(const std::vector<burn_series> &series, const rule_set &rules,
                                     std::int64_t nowMinute)
{
    std::map<service_id, std::map<team_id, std::vector<minute_count>>> sums;
    for (const burn_series &s : series) {
        auto &counts = sums[s.service][s.team];
        counts.insert(counts.end(), s.minutes.begin(), s.minutes.end());
    }
    std::vector<burn_row> rows;
    for (const auto &[service, teams] : sums) {
        const auto objective = rules.objectives.find(service);
        if (objective == rules.objectives.end()) {
            continue;
        }
        for (const auto &[team, counts] : teams) {
            burn_row row{service, team, objective->second.success, {}, {}};
            for (std::size_t w = 0; w < burnWindows.size(); ++w) {
                row.windows[w] =
                    internal::burnInWindow(counts, nowMinute, burnWindows[w], row.objective);
            }
            row.alert = internal::alertForRow(row);
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

std::vector<burn_series> readBurnSeries(std::string_view json)
{
    std::vector<burn_series> series;
    const std::optional<Json::Value> value = readJsonObject(json);
    if (!value) {
        return series;
    }
    for (const Json::Value &entry : jsonArray(*value, "series")) {
        burn_series s{service_id(jsonText(entry, "service")), team_id(jsonText(entry, "team")), {}};
        for (const Json::Value &row : jsonArray(entry, "minutes")) {
            const bool good = row.isArray() && row.size() == 3 && row[0].isInt64()
                && row[1].isUInt64() && row[2].isUInt64();
            if (good) {
                s.minutes.push_back({row[0].asInt64(), row[1].asUInt64(), row[2].asUInt64()});
            }
        }
        series.push_back(std::move(s));
    }
    return series;
}

std::string burnTable(const std::vector<burn_row> &rows)
{
    constexpr std::size_t nameWidth = 18;
    constexpr std::size_t cellWidth = 22;
    std::ostringstream out;
    out << internal::padded("SERVICE", nameWidth) << internal::padded("TEAM", nameWidth)
        << internal::padded("OBJECTIVE", 11);
    for (const burn_window &window : burnWindows) {
        out << internal::padded(std::string(window.name) + " burn (bad/all)", cellWidth);
    }
    out << "ALERT\n";
    for (const burn_row &row : rows) {
        out << internal::padded(row.service.str(), nameWidth)
            << internal::padded(row.team.str(), nameWidth)
            << internal::padded(internal::formatNumber("%.5g", row.objective), 11);
        for (const window_burn &burn : row.windows) {
            const std::string cell = internal::formatNumber("%.2f", burn.rate) + " ("
                + std::to_string(burn.bad) + "/" + std::to_string(burn.good + burn.bad) + ")";
            out << internal::padded(cell, cellWidth);
        }
        out << (row.alert.empty() ? "-" : row.alert) << '\n';
    }
    return out.str();
}

std::string burnJson(const std::vector<burn_row> &rows)
{
    Json::Value list(Json::arrayValue);
    for (const burn_row &row : rows) {
        Json::Value entry;
        entry["service"] = row.service.str();
        entry["team"] = row.team.str();
        entry["objective"] = row.objective;
        entry["alert"] = row.alert;
        for (std::size_t w = 0; w < burnWindows.size(); ++w) {
            Json::Value &window = entry["windows"][std::string(burnWindows[w].name)];
            window["good"] = Json::UInt64(row.windows[w].good);
            window["bad"] = Json::UInt64(row.windows[w].bad);
            window["rate"] = row.windows[w].rate;
        }
        list.append(entry);
    }
    Json::Value value;
    value["rows"] = list;
    return writeJson(value);
}

std::string burnSvg(const std::vector<burn_row> &rows)
{
    constexpr int rowHeight = 22;
    constexpr int labelWidth = 240;
    constexpr int barWidth = 120;
    constexpr int topMargin = 30;
    // A bar has its full length at the burn rate that raises a page.
    const auto barLength = [](double rate) {
        return static_cast<int>(barWidth * std::min(1.0, rate / internal::pageBurnRate));
    };
    const int height = topMargin + rowHeight * static_cast<int>(rows.size()) + 10;
    const int width = labelWidth + (barWidth + 20) * static_cast<int>(burnWindows.size());
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
    for (std::size_t w = 0; w < burnWindows.size(); ++w) {
        out << "<text x=\"" << labelWidth + static_cast<int>(w) * (barWidth + 20) << "\" y=\"18\">"
            << burnWindows[w].name << "</text>\n";
    }
    for (std::size_t r = 0; r < rows.size(); ++r) {
        const int y = topMargin + rowHeight * static_cast<int>(r);
        out << "<text x=\"4\" y=\"" << y + 13 << "\">" << rows[r].service.str() << " / "
            << rows[r].team.str() << "</text>\n";
        for (std::size_t w = 0; w < burnWindows.size(); ++w) {
            const double rate = rows[r].windows[w].rate;
            const int x = labelWidth + static_cast<int>(w) * (barWidth + 20);
            const char *color = rate >= internal::slowTicketBurnRate ? "#c0392b" : "#2e7d32";
            out << "<rect x=\"" << x << "\" y=\"" << y << "\" width=\"" << barWidth
                << "\" height=\"16\" fill=\"#eeeeee\"/><rect x=\"" << x << "\" y=\"" << y
                << "\" width=\"" << barLength(rate) << "\" height=\"16\" fill=\"" << color
                << "\"/><text x=\"" << x + 4 << "\" y=\"" << y + 13 << "\">"
                << internal::formatNumber("%.2f", rate) << "</text>\n";
        }
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace damaskward
