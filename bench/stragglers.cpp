// One target of six ten times slower while its load report says fine: tail latency with and without
// the entry's own outlier view and hedging, in virtual time, at several shares of capacity.

#include "damaskward/Metrics"
#include "damaskward/Routing"

#include <functional>
#include <iomanip>
#include <iostream>
#include <queue>
#include <random>

namespace {

using namespace damaskward;

constexpr int targetCount = 6;
constexpr int slots = 4;
constexpr double serviceMillis = 10.0;
constexpr double slowFactor = 10.0;
constexpr int requestCount = 40000;

/// One policy under one load.
class straggler_run
{
public:
    straggler_run(double load, bool outliers, bool hedges)
        : m_chooser(outliers)
        , m_hedges(hedges)
        , m_budget(0.1, 20.0)
    {
        // Capacity counts what the five healthy targets can do.
        m_gapMillis = serviceMillis / (slots * (targetCount - 1) * load);
        for (int i = 0; i < targetCount; ++i) {
            m_ids.push_back({service_id("s"), "t" + std::to_string(i)});
        }
    }

    void run()
    {
        arrive(0);
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.act();
        }
    }

    const latency_histogram &latency() const { return m_latency; }
    double hedgeShare() const { return static_cast<double>(m_hedgeCount) / requestCount; }

private:
    struct event
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator>(const event &o) const { return at != o.at ? at > o.at : order > o.order; }
    };
    struct request
    {
        time_point arrivedAt;
        bool done = false;
        std::optional<target_id> first;
    };
    struct server
    {
        int running = 0;
        std::queue<std::function<void()>> waiting;
    };
    using request_ptr = std::shared_ptr<request>;

    void after(double millis, std::function<void()> act)
    {
        const auto delay =
            std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(millis));
        m_events.push({m_now + delay, ++m_order, std::move(act)});
    }

    void arrive(int number)
    {
        if (number == requestCount) {
            return;
        }
        after(std::exponential_distribution<double>(1.0 / m_gapMillis)(m_random), [this, number] {
            auto r = std::make_shared<request>();
            r->arrivedAt = m_now;
            m_budget.earn();
            send(r, std::nullopt);
            if (m_hedges) {
                const auto delay =
                    std::chrono::duration<double, std::milli>(m_chooser.hedgeDelay());
                after(delay.count(), [this, r] { hedge(r); });
            }
            arrive(number + 1);
        });
    }

    void hedge(const request_ptr &r)
    {
        if (!r->done && m_budget.trySpend()) {
            ++m_hedgeCount;
            send(r, r->first);
        }
    }

    void send(const request_ptr &r, const std::optional<target_id> &except)
    {
        const target_id target = *m_chooser.choose(m_ids, except, m_now);
        r->first = r->first.value_or(target);
        m_chooser.started(target);
        server &s = m_servers[target];
        s.waiting.push([this, r, target, sentAt = m_now] { serve(r, target, sentAt); });
        startNext(s);
    }

    void startNext(server &s)
    {
        while (s.running < slots && !s.waiting.empty()) {
            ++s.running;
            const auto begin = std::move(s.waiting.front());
            s.waiting.pop();
            begin();
        }
    }

    void serve(const request_ptr &r, const target_id &target, time_point sentAt)
    {
        const double mean = target == m_ids[2] ? serviceMillis * slowFactor : serviceMillis;
        after(std::exponential_distribution<double>(1.0 / mean)(m_random),
              [this, r, target, sentAt] {
                  m_chooser.ended(target, m_now - sentAt, m_now);
                  if (!r->done) {
                      r->done = true;
                      m_latency.add(m_now - r->arrivedAt);
                  }
                  server &s = m_servers[target];
                  --s.running;
                  startNext(s);
              });
    }

    target_chooser m_chooser;
    bool m_hedges;
    retry_budget m_budget;
    double m_gapMillis;
    std::vector<target_id> m_ids;
    std::map<target_id, server> m_servers;
    std::mt19937_64 m_random{1};
    time_point m_now{seconds(1)};
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    latency_histogram m_latency;
    int m_hedgeCount = 0;
};

} // namespace

int main()
{
    std::cout << "six targets with " << slots << " slots of " << serviceMillis
              << " ms, one of them " << slowFactor << " times slower\n"
              << std::fixed << std::setprecision(1);
    for (const double load : {0.5, 0.7, 0.9}) {
        for (const bool outliers : {false, true}) {
            for (const bool hedges : {false, true}) {
                straggler_run run(load, outliers, hedges);
                run.run();
                constexpr double nanosPerMilli = 1e6;
                const auto at = [&run](double q) {
                    return static_cast<double>(run.latency().quantile(q).count()) / nanosPerMilli;
                };
                std::cout << "load " << load << (outliers ? ", outlier view" : ", outstanding only")
                          << (hedges ? ", hedging" : "") << ": p50 " << at(0.5) << " ms, p99 "
                          << at(0.99) << " ms, p99.9 " << at(0.999) << " ms, hedges "
                          << run.hedgeShare() * 100 << " %\n";
            }
        }
    }
    return 0;
}
