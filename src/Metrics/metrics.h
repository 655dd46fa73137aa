/// \file
/// \brief What a VM counts, and its text form for Prometheus. Source: Boost.Histogram.

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
    std::string_view reason; ///< empty for the target's own answer
    run_state state = run_state::NotRun;
    duration latency{};
    bool good = false; ///< within the service's objective
    bool counts = false; ///< towards the objective: refusals that are the team's own doing do not
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
    /// Counts one request. \param minute the present minute since 1970
    void add(const request_outcome &outcome, std::int64_t minute);
    /// Counts something that happened, such as `retries`.
    void count(std::string_view name, std::uint64_t by = 1);
    /// Sets a value that goes up and down, such as `waiting`.
    void gauge(std::string_view name, double value);

    /// \returns everything in Prometheus' text format.
    std::string prometheus() const;
    /// \returns the counts of the last 3 days as JSON, for the report on service-level burn.
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
