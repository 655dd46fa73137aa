/// \file
/// \brief An open-loop load: requests come when they come, whether or not the last are answered.

#pragma once

#include "damaskward/Metrics"
#include "damaskward/Transport"

#include <cpprest/http_client.h>

#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace damaskward {
namespace load {

/// One stream of requests: a team calling a service at a rate.
struct stream
{
    std::string name;
    std::string apiKey;
    std::string service;
    double rate = 0.0; ///< requests a second
    bool once = false; ///< non-idempotent: each request gets an idempotency key of its own
};

/// What a load is told.
struct load_plan
{
    std::vector<std::string> vms; ///< the callers' addresses, behind a pretended balancer
    std::vector<stream> streams;
    std::uint64_t seed = 1;
    double zipfExponent = 0.9; ///< how much hotter hot keys are
    std::uint32_t keys = 10000;
    milliseconds duration{5000};
    milliseconds deadline{2000};
    bool poll = true; ///< look at /health, as a balancer does
};

/// What one stream saw.
struct stream_result
{
    std::uint64_t sent = 0;
    std::uint64_t good = 0; ///< ran, and answered 2xx
    std::map<std::string, std::uint64_t> refusals; ///< by reason, with the run state
    latency_histogram latency; ///< of the good ones, from when they were due
};

/// \class zipf_keys
/// \brief Draws keys with a Zipf distribution.
class zipf_keys
{
public:
    zipf_keys(std::uint32_t keys, double exponent);
    std::uint32_t draw(std::mt19937_64 &random) const;

private:
    std::vector<double> m_cumulative;
};

/// \class open_loop
/// \brief Sends a plan's requests and gathers what came back.
///
/// Latency counts from the moment a request was due, so a stalled system is not flattered.
class open_loop
{
public:
    explicit open_loop(load_plan plan);
    ~open_loop();

    /// Runs the whole plan; returns when all answers are in or overdue.
    std::map<std::string, stream_result> run();

private:
    struct endpoint;
    void runStream(const stream &s, std::uint64_t seed, time_point begin);
    void send(const stream &s, std::uint32_t key, std::uint64_t number, time_point due);
    void note(const std::string &stream, time_point due, int status, const std::string &state,
              const std::string &reason);
    std::shared_ptr<endpoint> pick(std::uint64_t number);
    void pollHealth();

    load_plan m_plan;
    std::string m_runName;
    std::vector<std::shared_ptr<endpoint>> m_endpoints;
    std::mutex m_mutex;
    std::map<std::string, stream_result> m_results;
    std::atomic<std::int64_t> m_inFlight{0};
    std::atomic<bool> m_stop{false};
};

} // namespace load
} // namespace damaskward
