#include "metrics.h"

#include "../Core/json.h"

#include <sstream>

namespace damaskward {
namespace internal {

constexpr std::int64_t retentionMinutes = 4320; // 3 days
/// Upper bounds of the latency buckets in the Prometheus output.
constexpr std::array<milliseconds, 9> latencyBounds = {
    milliseconds(1),  milliseconds(2),   milliseconds(5),    milliseconds(10),   milliseconds(20),
    milliseconds(50), milliseconds(100), milliseconds(1000), milliseconds(10000)};

void addToMinute(std::deque<minute_count> &minutes, std::int64_t minute, bool good)
{
    if (minutes.empty() || minutes.back().minute < minute) {
        minutes.push_back({minute, 0, 0});
    }
    while (minutes.front().minute <= minute - retentionMinutes) {
        minutes.pop_front();
    }
    minute_count &last = minutes.back();
    last.good += good ? 1 : 0;
    last.bad += good ? 0 : 1;
}

} // namespace internal

void metrics::add(const request_outcome &outcome, std::int64_t minute)
{
    std::string stateAndReason(toString(outcome.state));
    if (!outcome.reason.empty()) {
        stateAndReason += "\",reason=\"";
        stateAndReason += outcome.reason;
    }
    const std::lock_guard lock(m_mutex);
    series &s = m_series[{outcome.service, outcome.team}];
    ++s.byOutcome[stateAndReason];
    if (outcome.state == run_state::Run) {
        s.latency.add(outcome.latency);
    }
    if (outcome.counts) {
        internal::addToMinute(s.minutes, minute, outcome.good);
    }
}

void metrics::count(std::string_view name, std::uint64_t by)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_counters.find(name);
    if (found != m_counters.end()) {
        found->second += by;
    } else {
        m_counters.emplace(name, by);
    }
}

void metrics::gauge(std::string_view name, double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges.insert_or_assign(std::string(name), value);
}

void metrics::writeSeries(std::ostream &out, const series_key &key, const series &s) const
{
    const std::string labels =
        "service=\"" + key.service.str() + "\",team=\"" + key.team.str() + "\"";
    for (const auto &[stateAndReason, count] : s.byOutcome) {
        out << "damask_requests_total{" << labels << ",state=\"" << stateAndReason << "\"} "
            << count << '\n';
    }
    const std::string name = "damask_latency_seconds";
    for (const milliseconds bound : internal::latencyBounds) {
        out << name << "_bucket{" << labels << ",le=\""
            << std::chrono::duration<double>(bound).count() << "\"} " << s.latency.countUpTo(bound)
            << '\n';
    }
    out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << s.latency.count() << '\n';
    out << name << "_sum{" << labels << "} " << s.latency.sumSeconds() << '\n';
    out << name << "_count{" << labels << "} " << s.latency.count() << '\n';
}

std::string metrics::prometheus() const
{
    std::ostringstream out;
    const std::lock_guard lock(m_mutex);
    out << "# TYPE damask_requests_total counter\n# TYPE damask_latency_seconds histogram\n";
    for (const auto &[key, s] : m_series) {
        writeSeries(out, key, s);
    }
    for (const auto &[name, value] : m_counters) {
        out << "# TYPE damask_" << name << "_total counter\ndamask_" << name << "_total " << value
            << '\n';
    }
    for (const auto &[name, value] : m_gauges) {
        out << "# TYPE damask_" << name << " gauge\ndamask_" << name << ' ' << value << '\n';
    }
    return out.str();
}

std::string metrics::burnJson() const
{
    Json::Value list(Json::arrayValue);
    const std::lock_guard lock(m_mutex);
    for (const auto &[key, s] : m_series) {
        Json::Value entry;
        entry["service"] = key.service.str();
        entry["team"] = key.team.str();
        entry["minutes"] = Json::Value(Json::arrayValue);
        for (const minute_count &m : s.minutes) {
            Json::Value row(Json::arrayValue);
            row.append(Json::Int64(m.minute));
            row.append(Json::UInt64(m.good));
            row.append(Json::UInt64(m.bad));
            entry["minutes"].append(row);
        }
        list.append(entry);
    }
    Json::Value value;
    value["series"] = list;
    return writeJson(value);
}

} // namespace damaskward
