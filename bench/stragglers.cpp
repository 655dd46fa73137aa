// Tail latency when one of six targets is ten times slower although its load report shows no
// overload: with and without outlier detection at the entry, with and without hedging, in virtual
// time, at several shares of the capacity.

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

/// Simulates one combination of outlier detection and hedging at one load.
class straggler_run
{
public:
    straggler_run(double load, bool detectsOutliers, bool usesHedges)
        : m_chooser(detectsOutliers)
        , m_usesHedges(usesHedges)
        , m_budget(0.1, 20.0)
    {
        // The capacity is that of the five healthy targets.
        m_gapMillis = serviceMillis / (slots * (targetCount - 1) * load);
        for (int i = 0; i < targetCount; ++i) {
            m_ids.push_back({service_id("s"), "t" + std::to_string(i)});
        }
    }

    void run()
    {
        scheduleArrival(0);
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.callback();
        }
    }

    const latency_histogram &latency() const { return m_latency; }
    double hedgeShare() const { return static_cast<double>(m_hedgeCount) / requestCount; }

private:
    struct event
    {
        time_point at;
        std::uint64_t sequence;
        std::function<void()> callback;
        bool operator>(const event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
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

    void schedule(double millis, std::function<void()> callback)
    {
        const auto delay =
            std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(millis));
        m_events.push({m_now + delay, ++m_sequence, std::move(callback)});
    }

    void scheduleArrival(int number)
    {
        if (number == requestCount) {
            return;
        }
        schedule(std::exponential_distribution<double>(1.0 / m_gapMillis)(m_random),
                 [this, number] {
                     auto pending = std::make_shared<request>();
                     pending->arrivedAt = m_now;
                     m_budget.earn();
                     send(pending, std::nullopt);
                     if (m_usesHedges) {
                         const auto delay =
                             std::chrono::duration<double, std::milli>(m_chooser.hedgeDelay());
                         schedule(delay.count(), [this, pending] { hedge(pending); });
                     }
                     scheduleArrival(number + 1);
                 });
    }

    void hedge(const request_ptr &pending)
    {
        if (!pending->done && m_budget.trySpend()) {
            ++m_hedgeCount;
            send(pending, pending->first);
        }
    }

    void send(const request_ptr &pending, const std::optional<target_id> &except)
    {
        const target_id target = *m_chooser.choose(m_ids, except, m_now);
        pending->first = pending->first.value_or(target);
        m_chooser.recordRequestSent(target);
        server &targetServer = m_servers[target];
        targetServer.waiting.push(
            [this, pending, target, sentAt = m_now] { serve(pending, target, sentAt); });
        startNext(targetServer);
    }

    void startNext(server &targetServer)
    {
        while (targetServer.running < slots && !targetServer.waiting.empty()) {
            ++targetServer.running;
            const auto serveNext = std::move(targetServer.waiting.front());
            targetServer.waiting.pop();
            serveNext();
        }
    }

    void serve(const request_ptr &pending, const target_id &target, time_point sentAt)
    {
        const double mean = target == m_ids[2] ? serviceMillis * slowFactor : serviceMillis;
        schedule(std::exponential_distribution<double>(1.0 / mean)(m_random),
                 [this, pending, target, sentAt] {
                     m_chooser.recordRequestCompleted(target, m_now - sentAt, m_now);
                     if (!pending->done) {
                         pending->done = true;
                         m_latency.add(m_now - pending->arrivedAt);
                     }
                     server &targetServer = m_servers[target];
                     --targetServer.running;
                     startNext(targetServer);
                 });
    }

    target_chooser m_chooser;
    bool m_usesHedges;
    retry_budget m_budget;
    double m_gapMillis;
    std::vector<target_id> m_ids;
    std::map<target_id, server> m_servers;
    std::mt19937_64 m_random{1};
    time_point m_now{seconds(1)};
    std::uint64_t m_sequence = 0;
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
        for (const bool detectsOutliers : {false, true}) {
            for (const bool usesHedges : {false, true}) {
                straggler_run run(load, detectsOutliers, usesHedges);
                run.run();
                constexpr double nanosPerMilli = 1e6;
                const auto at = [&run](double q) {
                    return static_cast<double>(run.latency().quantile(q).count()) / nanosPerMilli;
                };
                std::cout << "load " << load
                          << (detectsOutliers ? ", outlier view" : ", outstanding only")
                          << (usesHedges ? ", hedging" : "") << ": p50 " << at(0.5) << " ms, p99 "
                          << at(0.99) << " ms, p99.9 " << at(0.999) << " ms, hedges "
                          << run.hedgeShare() * 100 << " %\n";
            }
        }
    }
    return 0;
}
