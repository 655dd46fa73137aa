/// \file
/// \brief Metrics of a process and their Prometheus text format.

#pragma once

#include "../Core/ids.h"
#include "../Core/run_state.h"
#include "../Core/time.h"
#include "latency_histogram.h"

#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace damaskward {

/// One answered or refused request.
struct request_outcome
{
    service_id service;
    team_id team;
    std::string_view reason; ///< empty if the answer comes from the target
    run_state state = run_state::NotRun;
    duration latency{};
    bool good = false; ///< whether it met the objective of the service
    bool counts = false; ///< counts towards the objective; refusals caused by the team do not
};

/// Good and bad requests of one minute.
struct minute_count
{
    std::int64_t minute = 0; ///< minutes since 1970
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};

/// \class metrics
/// \brief Counters, gauges and latency histograms of one process. Thread-safe.
///
/// \code
/// metrics counts;
/// counts.add(outcome, wallMinute);
/// std::string text = counts.prometheus();
/// \endcode
class metrics
{
public:
    /// Records one request. \param minute the current time, in minutes since 1970
    void add(const request_outcome &outcome, std::int64_t minute);
    /// Increments a counter, such as `retries`.
    void count(std::string_view name, std::uint64_t by = 1);
    /// Sets a gauge, such as `waiting`.
    void gauge(std::string_view name, double value);

    /// \returns all metrics in the Prometheus text format.
    std::string prometheus() const;
    /// \returns the counts per minute of the last 3 days as JSON, for the burn report.
    std::string burnJson() const;

private:
    struct series_key
    {
        service_id service;
        team_id team;

        friend bool operator<(const series_key &a, const series_key &b)
        {
            return a.service != b.service ? a.service < b.service : a.team < b.team;
        }
    };
    struct series
    {
        std::map<std::string, std::uint64_t, std::less<>> byOutcome;
        latency_histogram latency;
        std::deque<minute_count> minutes;
    };

    void writeSeries(std::ostream &out, const series_key &key, const series &s) const;

    mutable std::mutex m_mutex;
    std::map<series_key, series> m_series;
    std::map<std::string, std::uint64_t, std::less<>> m_counters;
    std::map<std::string, double, std::less<>> m_gauges;
};

} // namespace damaskward
