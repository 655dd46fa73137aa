// Another writer's entry, of a service that the config doesn't name, has a long service name. A
// backend leaves later.

#include "scenario.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace damaskward::review {
namespace {

constexpr std::size_t nameBytes = 5000; // The store accepts rows of 65,536 bytes.
constexpr milliseconds calmTime{4500}; // More than contactMs: the nodes are in touch.
constexpr milliseconds entryTime{2000}; // From the other writer's entry to the report.
constexpr milliseconds drainTime{2000}; // drainMs
constexpr milliseconds lateTime{2200}; // From the report to the next requests.
constexpr milliseconds joinTime{5000}; // The new ones are warm.
constexpr int nodeCount = 3;
constexpr int backendCount = 4;
constexpr int callersPerNode = 8;
constexpr int budgetMs = 1500;

std::string foreignEntry(const std::string &address)
{
    const nlohmann::json entry = {
        {"address", address},
        {"born", 1},
        {"info",
         {{"service", "desk-monitor-" + std::string(nameBytes, 'x')},
          {"version", "v1"},
          {"zone", "gl-erie"},
          {"slots", 1}}},
        {"status", {{"state", "ready"}, {"sequence", 1}, {"warmupLeftMs", 0}}}};
    return entry.dump();
}

} // namespace

int runLongEntry(const std::string &recordPath)
{
    scenario run(recordPath, nodeCount);
    run_record &record = run.record();
    run.writeConfig();
    std::atomic<bool> isLate{false};
    std::atomic<int> lateCount{0};
    for (int i = 1; i <= backendCount; ++i) {
        run.addBackend("i-ledger-" + std::to_string(i), "ledger", false);
    }
    backend &leaving = *run.backends().back();
    leaving.setInterceptor([&](http_stream &, const http_message &request) {
        if (isLate && request.target != "/health") {
            ++lateCount;
            record.line("request " + request.field("request-id") + " reaches " + leaving.id()
                        + ", which is draining");
        }
        return false;
    });
    if (!run.startNodes()) {
        return CouldNotRun;
    }
    std::mutex mutex;
    int answered = 0;
    std::map<std::string, int> answeredByNode;
    const auto sendAll = [&](const std::string &name) {
        std::vector<std::thread> threads;
        for (const auto &node : run.nodes()) {
            for (int i = 0; i < callersPerNode; ++i) {
                threads.emplace_back([&, place = node->place(), i] {
                    caller requester(record, place);
                    const std::string id = place.name + "-" + name + "-" + std::to_string(i);
                    const call_outcome outcome = requester.call(
                        "POST", std::string(ledgerRoute) + "work-300/2f", id, {}, budgetMs);
                    const std::lock_guard lock(mutex);
                    answered += outcome.status == 200 ? 1 : 0;
                    answeredByNode[place.name] += outcome.status == 200 ? 1 : 0;
                });
            }
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    };
    const time_point calmUntil = clock_type::now() + calmTime;
    for (int n = 0; clock_type::now() < calmUntil; ++n) {
        sendAll("calm-" + std::to_string(n));
    }
    if (hasTrouble()) {
        run.rows().put("servers", "desk-monitor-1", foreignEntry(run.backendIp() + ":9"));
        record.line("another writer's entry desk-monitor-1, of a service that the config doesn't "
                    "name, with a name of over "
                    + std::to_string(nameBytes) + " bytes");
    }
    const time_point entryUntil = clock_type::now() + entryTime;
    for (int n = 0; clock_type::now() + milliseconds(budgetMs) < entryUntil; ++n) {
        sendAll("entry-" + std::to_string(n));
    }
    std::this_thread::sleep_until(entryUntil);
    leaving.leave(true); // The store accepts the report at once.
    std::this_thread::sleep_for(lateTime);
    isLate = true;
    sendAll("late");
    isLate = false;
    record.line("all backends are replaced: four new ones join, then the old ones leave");
    for (int i = 1; i <= backendCount; ++i) {
        run.addBackend("i-ledger-new-" + std::to_string(i), "ledger", false);
    }
    std::this_thread::sleep_for(joinTime);
    for (int i = 0; i < backendCount; ++i) {
        run.backends()[static_cast<std::size_t>(i)]->leave(true);
    }
    std::this_thread::sleep_for(drainTime + lateTime);
    answeredByNode.clear();
    sendAll("replaced");
    sendAll("replaced-again");
    run.stop();
    for (const auto &[node, count] : answeredByNode) {
        record.line("node " + node + " answered " + std::to_string(count) + " of "
                    + std::to_string(2 * callersPerNode)
                    + " requests with 200 after all backends were replaced");
    }
    record.line("requests that were sent over " + std::to_string(drainTime.count())
                + " ms after the store had accepted the report and that reached the draining "
                  "backend: "
                + std::to_string(lateCount)
                + " (allowed: 0); answered: " + std::to_string(answered));
    if (answered == 0) {
        return CouldNotRun;
    }
    return lateCount > 0 ? RuleBroken : RuleHeld;
}

} // namespace damaskward::review
