#include "limits_simulation.h"

#include <algorithm>

namespace damaskward {
namespace testing {

constexpr milliseconds stepLength{1};
constexpr milliseconds messageDelay{1};
constexpr milliseconds requestTimeout{50};
constexpr double stepSeconds = 0.001;

void token_meter::refill(double nowSeconds)
{
    m_level = std::min(m_burst, m_level + m_rate * (nowSeconds - m_refilledAtSeconds));
    m_refilledAtSeconds = nowSeconds;
}

bool token_meter::tryTake(double nowSeconds)
{
    refill(nowSeconds);
    if (m_level < 1.0) {
        return false;
    }
    m_level -= 1.0;
    return true;
}

double token_meter::take(double nowSeconds)
{
    refill(nowSeconds);
    m_level -= 1.0;
    return std::max(0.0, -m_level);
}

/// An entry with its token cache and its waiting requests.
struct sim_entry
{
    vm_id name;
    token_cache cache;
    std::deque<time_point> waiting;
    time_point unavailableUntil{}; ///< end of a crash or a pause
    bool restart = false; ///< it crashed: it restarts without tokens and requests
};

/// A token request or its response, in transit.
struct sim_message
{
    time_point arrivesAt;
    std::size_t entry;
    token_request request;
    bool answered = false;
    token_response answer;
};

/// \class limits_simulation
/// \brief The state and the steps of one run.
class limits_simulation
{
public:
    explicit limits_simulation(const limits_options &options);
    limits_report run();

private:
    bool chance(double p) { return std::bernoulli_distribution(p)(m_random); }
    void generateArrivals();
    void injectFaults();
    void stepEntry(std::size_t index);
    void admit();
    void refuse(std::uint64_t count);
    void deliverMessages();
    double now() const { return std::chrono::duration<double>(m_now - m_begin).count(); }

    limits_options m_options;
    std::mt19937_64 m_random;
    const time_point m_begin{seconds(1000)};
    time_point m_now = m_begin;
    std::vector<std::unique_ptr<sim_entry>> m_entries;
    std::vector<token_meter> m_naiveBuckets;
    std::unique_ptr<token_bucket> m_bucket;
    time_point m_bucketReturnsAt{};
    std::deque<sim_message> m_messages;
    token_meter m_reference;
    token_meter m_checker;
    limits_report m_report;
};

limits_simulation::limits_simulation(const limits_options &options)
    : m_options(options)
    , m_random(options.seed)
    , m_bucket(std::make_unique<token_bucket>(options.rate, options.burst, m_now, options.burst))
    , m_reference(options.rate, options.burst)
    , m_checker(options.rate, options.burst)
{
    for (int i = 0; i < options.entries; ++i) {
        auto entry = std::make_unique<sim_entry>();
        entry->name = vm_id("e" + std::to_string(i));
        m_entries.push_back(std::move(entry));
        m_naiveBuckets.emplace_back(options.rate / options.entries,
                                    options.burst / options.entries);
    }
}

void limits_simulation::admit()
{
    ++m_report.admitted;
    m_report.excess = std::max(m_report.excess, m_checker.take(now()));
}

void limits_simulation::refuse(std::uint64_t count)
{
    m_report.refused += count;
    for (std::uint64_t i = 0; i < count; ++i) {
        m_report.refusedWithinLimit += m_reference.tryTake(now()) ? 1 : 0;
    }
}

void limits_simulation::generateArrivals()
{
    const double mean = m_options.rate * m_options.demand * stepSeconds;
    const int count = std::poisson_distribution<int>(mean)(m_random);
    for (int i = 0; i < count; ++i) {
        ++m_report.arrived;
        std::size_t index = 0;
        if (!chance(m_options.skew)) {
            index = std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random);
        }
        while (m_entries[index]->unavailableUntil > m_now) {
            index = (index + 1) % m_entries.size(); // The balancer skips unavailable entries.
        }
        if (!m_options.naive) {
            m_entries[index]->waiting.push_back(m_now);
        } else if (m_naiveBuckets[index].tryTake(now())) {
            m_reference.take(now());
            admit();
        } else {
            refuse(1);
        }
    }
}

void limits_simulation::injectFaults()
{
    if (!m_options.faults) {
        return;
    }
    if (chance(0.002)) {
        sim_entry &faulty = *m_entries[std::uniform_int_distribution<std::size_t>(
            1, m_entries.size() - 1)(m_random)];
        faulty.unavailableUntil =
            m_now + milliseconds(std::uniform_int_distribution<int>(10, 1500)(m_random));
        faulty.restart = chance(0.5);
    }
    if (m_bucket != nullptr && chance(0.0005)) {
        m_bucket.reset();
        m_bucketReturnsAt = m_now + milliseconds(1200);
    }
    if (m_bucket == nullptr && m_now >= m_bucketReturnsAt) {
        m_bucket =
            std::make_unique<token_bucket>(m_options.rate, m_options.burst, m_now + tokenLifetime);
    }
}

void limits_simulation::deliverMessages()
{
    const std::size_t count = m_messages.size();
    for (std::size_t i = 0; i < count; ++i) {
        sim_message message = m_messages.front();
        m_messages.pop_front();
        if (message.arrivesAt > m_now) {
            m_messages.push_back(message);
            continue;
        }
        const bool lost = m_options.faults && chance(0.05);
        if (message.answered) {
            sim_entry &entry = *m_entries[message.entry];
            if (!lost && entry.unavailableUntil <= m_now) {
                entry.cache.finishDraw(message.answer, m_now);
            }
        } else if (m_bucket != nullptr && !lost) {
            message.answer = m_bucket->draw(message.request, m_now + seconds(1), m_now);
            message.answered = true;
            message.arrivesAt = m_now + messageDelay;
            m_messages.push_back(message);
        }
    }
}

void limits_simulation::stepEntry(std::size_t index)
{
    sim_entry &entry = *m_entries[index];
    if (entry.unavailableUntil > m_now) {
        return;
    }
    if (entry.restart) {
        entry.restart = false;
        entry.cache = token_cache();
        refuse(entry.waiting.size());
        entry.waiting.clear();
    }
    while (!entry.waiting.empty() && entry.cache.trySpend(m_now)) {
        entry.waiting.pop_front();
        m_reference.take(now());
        admit();
    }
    while (!entry.waiting.empty() && entry.waiting.front() + requestTimeout <= m_now) {
        entry.waiting.pop_front();
        refuse(1);
    }
    const auto request =
        entry.cache.nextDraw(entry.name, static_cast<int>(entry.waiting.size()), m_now);
    if (request) {
        m_messages.push_back({m_now + messageDelay, index, *request, false, {}});
    }
}

limits_report limits_simulation::run()
{
    while (m_now < m_begin + m_options.length) {
        m_now += stepLength;
        generateArrivals();
        if (m_options.naive) {
            continue;
        }
        injectFaults();
        deliverMessages();
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            stepEntry(i);
        }
    }
    return m_report;
}

limits_report runLimitsSimulation(const limits_options &options)
{
    return limits_simulation(options).run();
}

} // namespace testing
} // namespace damaskward
