// A request crashes each backend that begins to run it, and its caller sends it again.

#include "scenario.h"

#include <atomic>
#include <set>
#include <thread>

namespace damaskward::review {
namespace {

constexpr milliseconds calmTime{4500};
constexpr milliseconds downTime{2000}; // "the backend is back after some seconds"
constexpr milliseconds resendPause{1000};
constexpr milliseconds contactTime{3000}; // contactMs
constexpr milliseconds troubleTime{25000};
constexpr int crashLimit = 3;
constexpr int allowedRetries = 3; // BUDGET: "in more than three retries".
constexpr int budgetMs = 1200;
constexpr int backendCount = 6;
constexpr int callersPerNode = 3;
constexpr const char *poisonPath = "/archive/work-50/poison";

} // namespace

int runCrashingRequest(const std::string &recordPath)
{
    scenario run(recordPath, 2);
    run_record &record = run.record();
    run.writeConfig();
    std::mutex mutex;
    int crashes = 0;
    time_point bannedFrom = time_point::max();
    std::set<std::string> lateAttempts;
    std::atomic<int> innocentRuns{0};
    for (int i = 1; i <= backendCount; ++i) {
        backend &added = run.addBackend("i-archive-" + std::to_string(i), "archive", false);
        added.setInterceptor([&](http_stream &, const http_message &request) {
            if (request.target != poisonPath) {
                return false;
            }
            {
                const std::lock_guard lock(mutex);
                const time_point now = clock_type::now();
                record.line("request " + request.field("request-id") + " reaches " + added.id());
                if (now > bannedFrom) {
                    lateAttempts.insert(request.field("request-id"));
                }
                if (++crashes == crashLimit) {
                    bannedFrom = now + contactTime;
                }
            }
            added.crash(downTime);
            return true;
        });
    }
    if (!run.startNodes()) {
        return CouldNotRun;
    }
    std::atomic<bool> isOver{false};
    std::atomic<int> answered{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> threads;
    for (const auto &node : run.nodes()) {
        for (int i = 0; i < callersPerNode; ++i) {
            threads.emplace_back([&, place = node->place(), i] {
                caller requester(place);
                for (int n = 0; !isOver; ++n) {
                    const std::string id =
                        place.name + "-" + std::to_string(i) + "-" + std::to_string(n);
                    const call_outcome outcome = requester.call(
                        "GET", std::string(archiveRoute) + "work-150/2f", id, {}, budgetMs);
                    (outcome.status == 200 ? answered : failed) += 1;
                    std::this_thread::sleep_for(milliseconds(100));
                }
            });
        }
    }
    std::this_thread::sleep_for(calmTime);
    const time_point until = clock_type::now() + troubleTime;
    for (std::size_t n = 0; hasTrouble() && clock_type::now() < until; ++n) {
        caller requester(run.nodes()[n % run.nodes().size()]->place());
        const std::string id = "poison-" + std::to_string(n);
        const call_outcome outcome = requester.call("GET", poisonPath, id, {}, budgetMs);
        record.line("request " + id + ": " + std::to_string(outcome.status));
        std::this_thread::sleep_for(resendPause);
    }
    std::this_thread::sleep_for(milliseconds(500));
    isOver = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    run.stop();
    record.line("attempts of the request that reached backends over "
                + std::to_string(contactTime.count())
                + " ms after its third crash: " + std::to_string(lateAttempts.size())
                + " (allowed: " + std::to_string(allowedRetries)
                + "); crashes: " + std::to_string(crashes) + "; other requests answered with 200: "
                + std::to_string(answered) + ", not: " + std::to_string(failed));
    if (answered == 0) {
        return CouldNotRun;
    }
    return static_cast<int>(lateAttempts.size()) > allowedRetries ? RuleBroken : RuleHeld;
}

} // namespace damaskward::review
