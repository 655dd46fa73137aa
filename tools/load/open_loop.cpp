#include "open_loop.h"

#include <algorithm>
#include <cmath>
#include <thread>

namespace damaskward {
namespace load {

using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;

constexpr milliseconds healthPeriod{100};
constexpr milliseconds responseGrace{3000};

struct open_loop::endpoint
{
    std::string address;
    std::shared_ptr<http_client> client;
    std::atomic<bool> healthy{true};
};

zipf_keys::zipf_keys(std::uint32_t keys, double exponent)
{
    double total = 0.0;
    for (std::uint32_t rank = 1; rank <= keys; ++rank) {
        total += std::pow(rank, -exponent);
        m_cumulative.push_back(total);
    }
}

std::uint32_t zipf_keys::draw(std::mt19937_64 &random) const
{
    std::uniform_real_distribution<double> uniform(0.0, m_cumulative.back());
    const auto it = std::lower_bound(m_cumulative.begin(), m_cumulative.end(), uniform(random));
    return static_cast<std::uint32_t>(it - m_cumulative.begin());
}

open_loop::open_loop(load_plan plan)
    : m_plan(std::move(plan))
    , m_runName(std::to_string(std::chrono::system_clock::now().time_since_epoch().count()))
{
    for (const std::string &address : m_plan.vms) {
        auto vmEndpoint = std::make_shared<endpoint>();
        vmEndpoint->address = address;
        vmEndpoint->client = makeHttpClient(address, m_plan.deadline + responseGrace);
        m_endpoints.push_back(std::move(vmEndpoint));
    }
}

open_loop::~open_loop() = default;

std::shared_ptr<open_loop::endpoint> open_loop::pickEndpoint(std::uint64_t number)
{
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        const auto &vmEndpoint = m_endpoints[(number + i) % m_endpoints.size()];
        if (vmEndpoint->healthy) {
            return vmEndpoint;
        }
    }
    return m_endpoints[number % m_endpoints.size()];
}

void open_loop::pollHealth()
{
    while (!m_stop) {
        for (const auto &vmEndpoint : m_endpoints) {
            try {
                const auto client = makeHttpClient(vmEndpoint->address, healthPeriod * 3);
                vmEndpoint->healthy =
                    client->request(web::http::methods::GET, "/health").get().status_code()
                    == web::http::status_codes::OK;
            } catch (const std::exception &) {
                vmEndpoint->healthy = false;
            }
        }
        std::this_thread::sleep_for(healthPeriod);
    }
}

void open_loop::recordResponse(const std::string &stream, time_point dueAt, int status,
                               const std::string &state, const std::string &reason)
{
    const std::lock_guard lock(m_mutex);
    stream_result &result = m_results[stream];
    if (state == "run" && status < 300) {
        ++result.good;
        result.latency.add(mono_clock::now() - dueAt);
    } else {
        ++result.refusals[(reason.empty() ? std::to_string(status) : reason) + " (" + state + ")"];
    }
}

void open_loop::send(const stream &spec, std::uint32_t key, std::uint64_t number, time_point dueAt)
{
    http_request request(spec.isNonIdempotent ? web::http::methods::POST : web::http::methods::GET);
    request.set_request_uri("/" + spec.service + "/key-" + std::to_string(key));
    request.headers().add(header::apiKey, spec.apiKey);
    request.headers().add(header::deadline, m_plan.deadline.count());
    if (spec.isNonIdempotent) {
        request.headers().add(header::idempotencyKey,
                              m_runName + "-" + spec.name + "-" + std::to_string(number));
        request.set_body("{}", "application/json");
    }
    ++m_inFlight;
    const auto vmEndpoint = pickEndpoint(number);
    const auto client = spec.isNonIdempotent
        ? makeHttpClient(vmEndpoint->address, m_plan.deadline + responseGrace)
        : vmEndpoint->client;
    client->request(request).then(
        [this, client, name = spec.name, dueAt](const pplx::task<http_response> &task) {
            try {
                const http_response response = task.get();
                recordResponse(name, dueAt, response.status_code(),
                               headerText(response.headers(), header::runState),
                               headerText(response.headers(), header::reason));
            } catch (const std::exception &) {
                recordResponse(name, dueAt, 0, "no answer", "connection");
            }
            --m_inFlight;
        });
}

void open_loop::runStream(const stream &spec, std::uint64_t seed, time_point startedAt)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> interarrivalTime(spec.rate);
    const zipf_keys keys(m_plan.keys, m_plan.zipfExponent);
    time_point dueAt = startedAt;
    std::uint64_t number = 0;
    while (!m_stop) {
        dueAt += std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(interarrivalTime(random)));
        if (dueAt >= startedAt + m_plan.duration) {
            break;
        }
        std::this_thread::sleep_until(dueAt);
        send(spec, keys.draw(random), ++number, dueAt);
    }
    const std::lock_guard lock(m_mutex);
    m_results[spec.name].sent = number;
}

std::map<std::string, stream_result> open_loop::run()
{
    std::thread healthPoller;
    if (m_plan.pollsHealth) {
        healthPoller = std::thread([this] { pollHealth(); });
    }
    const time_point startedAt = mono_clock::now();
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < m_plan.streams.size(); ++i) {
        threads.emplace_back([this, i, startedAt] {
            runStream(m_plan.streams[i], m_plan.seed * 1000 + i, startedAt);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const time_point responseDeadline = mono_clock::now() + m_plan.deadline + responseGrace;
    while (m_inFlight > 0 && mono_clock::now() < responseDeadline) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    m_stop = true;
    if (healthPoller.joinable()) {
        healthPoller.join();
    }
    const std::lock_guard lock(m_mutex);
    return m_results;
}

} // namespace load
} // namespace damaskward
