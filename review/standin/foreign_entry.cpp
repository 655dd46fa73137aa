// Another writer's entry, of a service that the config doesn't name, has the address of a backend
// that leaves without a report.

#include "scenario.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>

namespace damaskward::review {
namespace {

constexpr milliseconds ownersTimeout{20000};
constexpr milliseconds calmTime{4500};
constexpr milliseconds settleTime{200};
constexpr milliseconds watchTime{6000};
constexpr milliseconds allowedOverlap{500}; // OWNER: "for over half a second".
constexpr int budgetMs = 2500;
constexpr int keyStep = 512;
constexpr int keyCount = 65536;

int sharedKeys(const backend &a, const backend &b)
{
    int count = 0;
    for (int key = 0; key < keyCount; key += keyStep) {
        count += a.holds(key) && b.holds(key) ? 1 : 0;
    }
    return count;
}

int heldKeys(const backend &a)
{
    int count = 0;
    for (int key = 0; key < keyCount; key += keyStep) {
        count += a.holds(key) ? 1 : 0;
    }
    return count;
}

} // namespace

int runForeignEntry(const std::string &recordPath)
{
    scenario run(recordPath, 2);
    run_record &record = run.record();
    run.writeConfig();
    backend &leaving = run.addBackend("i-ranks-1", "ranks", true);
    backend &staying = run.addBackend("i-ranks-2", "ranks", true);
    if (!run.startNodes()) {
        return CouldNotRun;
    }
    const time_point ownersUntil = clock_type::now() + ownersTimeout;
    while ((heldKeys(leaving) == 0 || heldKeys(staying) == 0) && clock_type::now() < ownersUntil) {
        std::this_thread::sleep_for(milliseconds(50));
    }
    if (heldKeys(leaving) == 0 || heldKeys(staying) == 0) {
        record.line("not both backends get keys");
        return CouldNotRun;
    }
    int key = 0;
    while (!leaving.holds(key)) {
        key += keyStep;
    }
    if (hasTrouble()) {
        const nlohmann::json entry = {
            {"address", leaving.address()},
            {"born",
             std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()},
            {"info",
             {{"service", "desk-monitor"}, {"version", "v1"}, {"zone", "gl-erie"}, {"slots", 1}}},
            {"status", {{"state", "ready"}, {"sequence", 1}, {"warmupLeftMs", 0}}}};
        run.rows().put("servers", "desk-monitor-1", entry.dump());
        record.line("another writer's entry desk-monitor-1 of the service desk-monitor, which the "
                    "config doesn't name, has the address of i-ranks-1");
    }
    std::atomic<bool> isOver{false};
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    for (const auto &node : run.nodes()) {
        threads.emplace_back([&, place = node->place()] {
            caller requester(record, place);
            for (int n = 0; !isOver; ++n) {
                const std::string id = place.name + "-" + std::to_string(n);
                const call_outcome outcome =
                    requester.call("GET", std::string(ranksRoute) + "work-300/2f", id,
                                   "Shard-Key: " + std::to_string(key) + "\r\n", budgetMs);
                answered += outcome.status == 200 ? 1 : 0;
            }
        });
    }
    std::this_thread::sleep_for(calmTime);
    leaving.leave(false);
    const time_point until = clock_type::now() + watchTime;
    time_point sharedSince{};
    milliseconds longest{0};
    while (clock_type::now() < until) {
        const int shared = sharedKeys(leaving, staying);
        const time_point now = clock_type::now();
        if (shared == 0) {
            sharedSince = time_point{};
        } else if (sharedSince == time_point{}) {
            sharedSince = now;
            record.line("i-ranks-1 and i-ranks-2 both hold " + std::to_string(shared * keyStep)
                        + " keys or so");
        } else {
            longest =
                std::max(longest, std::chrono::duration_cast<milliseconds>(now - sharedSince));
        }
        std::this_thread::sleep_for(settleTime / 10);
    }
    isOver = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    run.stop();
    record.line("both backends held the same keys for " + std::to_string(longest.count())
                + " ms (allowed: " + std::to_string(allowedOverlap.count())
                + "); answered: " + std::to_string(answered));
    if (answered == 0) {
        return CouldNotRun;
    }
    return longest > allowedOverlap ? RuleBroken : RuleHeld;
}

} // namespace damaskward::review
