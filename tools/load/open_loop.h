/// \file
/// \brief An open-loop load generator: requests are sent at their due times, whether or not earlier
/// ones have been answered.

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
    double rate = 0.0; ///< requests per second
    bool isNonIdempotent = false; ///< sends POST requests, each with its own idempotency key
};

/// The streams, keys and duration of a load.
struct load_plan
{
    std::vector<std::string> vms; ///< caller addresses; requests rotate over the healthy ones
    std::vector<stream> streams;
    std::uint64_t seed = 1;
    double zipfExponent = 0.9; ///< skew of the key popularity
    std::uint32_t keys = 10000;
    milliseconds duration{5000};
    milliseconds deadline{2000};
    bool pollsHealth = true; ///< skips VMs whose /health fails, as a load balancer does
};

/// The responses to one stream.
struct stream_result
{
    std::uint64_t sent = 0;
    std::uint64_t good = 0; ///< requests that ran and were answered 2xx
    std::map<std::string, std::uint64_t> refusals; ///< other responses, by reason and run state
    latency_histogram latency; ///< of the good requests, measured from their due times
};

/// \class zipf_keys
/// \brief Draws key numbers from a Zipf distribution.
class zipf_keys
{
public:
    zipf_keys(std::uint32_t keys, double exponent);
    std::uint32_t draw(std::mt19937_64 &random) const;

private:
    std::vector<double> m_cumulative;
};

/// \class open_loop
/// \brief Sends the requests of a plan and collects the results.
///
/// Latency is measured from the due time of a request, not from its sending, so that a stall of the
/// system under load is fully counted (no coordinated omission).
///
/// \code
/// open_loop loop(plan);
/// std::map<std::string, stream_result> results = loop.run();
/// \endcode
class open_loop
{
public:
    explicit open_loop(load_plan plan);
    ~open_loop();

    /// Runs the whole plan. \returns the results by stream, when all responses have been received
    /// or are overdue.
    std::map<std::string, stream_result> run();

private:
    struct endpoint;
    void runStream(const stream &spec, std::uint64_t seed, time_point startedAt);
    void send(const stream &spec, std::uint32_t key, std::uint64_t number, time_point dueAt);
    void recordResponse(const std::string &stream, time_point dueAt, int status,
                        const std::string &state, const std::string &reason);
    std::shared_ptr<endpoint> pickEndpoint(std::uint64_t number);
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
