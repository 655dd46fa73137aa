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
constexpr milliseconds answerGrace{3000};

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
        auto e = std::make_shared<endpoint>();
        e->address = address;
        e->client = makeHttpClient(address, m_plan.deadline + answerGrace);
        m_endpoints.push_back(std::move(e));
    }
}

open_loop::~open_loop() = default;

std::shared_ptr<open_loop::endpoint> open_loop::pick(std::uint64_t number)
{
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        const auto &e = m_endpoints[(number + i) % m_endpoints.size()];
        if (e->healthy) {
            return e;
        }
    }
    return m_endpoints[number % m_endpoints.size()];
}

void open_loop::pollHealth()
{
    while (!m_stop) {
        for (const auto &e : m_endpoints) {
            try {
                const auto client = makeHttpClient(e->address, healthPeriod * 3);
                e->healthy = client->request(web::http::methods::GET, "/health").get().status_code()
                    == web::http::status_codes::OK;
            } catch (const std::exception &) {
                e->healthy = false;
            }
        }
        std::this_thread::sleep_for(healthPeriod);
    }
}

void open_loop::note(const std::string &stream, time_point due, int status,
                     const std::string &state, const std::string &reason)
{
    const std::lock_guard lock(m_mutex);
    stream_result &result = m_results[stream];
    if (state == "run" && status < 300) {
        ++result.good;
        result.latency.add(mono_clock::now() - due);
    } else {
        ++result.refusals[(reason.empty() ? std::to_string(status) : reason) + " (" + state + ")"];
    }
}

void open_loop::send(const stream &s, std::uint32_t key, std::uint64_t number, time_point due)
{
    http_request request(s.once ? web::http::methods::POST : web::http::methods::GET);
    request.set_request_uri("/" + s.service + "/key-" + std::to_string(key));
    request.headers().add(header::apiKey, s.apiKey);
    request.headers().add(header::deadline, m_plan.deadline.count());
    if (s.once) {
        request.headers().add(header::idempotencyKey,
                              m_runName + "-" + s.name + "-" + std::to_string(number));
        request.set_body("{}", "application/json");
    }
    ++m_inFlight;
    const auto e = pick(number);
    const auto client =
        s.once ? makeHttpClient(e->address, m_plan.deadline + answerGrace) : e->client;
    client->request(request).then(
        [this, client, name = s.name, due](const pplx::task<http_response> &task) {
            try {
                const http_response response = task.get();
                note(name, due, response.status_code(),
                     headerText(response.headers(), header::runState),
                     headerText(response.headers(), header::reason));
            } catch (const std::exception &) {
                note(name, due, 0, "no answer", "connection");
            }
            --m_inFlight;
        });
}

void open_loop::runStream(const stream &s, std::uint64_t seed, time_point begin)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(s.rate);
    const zipf_keys keys(m_plan.keys, m_plan.zipfExponent);
    time_point due = begin;
    std::uint64_t number = 0;
    while (!m_stop) {
        due += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random)));
        if (due >= begin + m_plan.duration) {
            break;
        }
        std::this_thread::sleep_until(due);
        send(s, keys.draw(random), ++number, due);
    }
    const std::lock_guard lock(m_mutex);
    m_results[s.name].sent = number;
}

std::map<std::string, stream_result> open_loop::run()
{
    std::thread health;
    if (m_plan.poll) {
        health = std::thread([this] { pollHealth(); });
    }
    const time_point begin = mono_clock::now();
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < m_plan.streams.size(); ++i) {
        threads.emplace_back(
            [this, i, begin] { runStream(m_plan.streams[i], m_plan.seed * 1000 + i, begin); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const time_point giveUp = mono_clock::now() + m_plan.deadline + answerGrace;
    while (m_inFlight > 0 && mono_clock::now() < giveUp) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    m_stop = true;
    if (health.joinable()) {
        health.join();
    }
    const std::lock_guard lock(m_mutex);
    return m_results;
}

} // namespace load
} // namespace damaskward
