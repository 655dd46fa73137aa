// A backend sends a second copy of its answer to a grant late, where the answer to the release of
// the same keys is due.

#include "scenario.h"

#include <atomic>
#include <set>
#include <thread>

namespace damaskward::review {
namespace {

constexpr milliseconds ownersTimeout{20000};
constexpr milliseconds calmTime{4500};
constexpr milliseconds settleTime{200};
constexpr milliseconds endTime{3000};
constexpr int budgetMs = 3000;
constexpr int lastKey = 65535;
constexpr int callersPerNode = 3;

/// \returns a key that \a owner holds, or -1.
int keyOf(const backend &owner)
{
    constexpr int step = 512;
    for (int key = 0; key <= lastKey; key += step) {
        if (owner.holds(key)) {
            return key;
        }
    }
    return -1;
}

} // namespace

int runSecondAnswer(const std::string &recordPath)
{
    scenario run(recordPath, 2);
    run_record &record = run.record();
    run.writeConfig();
    backend &leaving = run.addBackend("i-ranks-1", "ranks", true);
    backend &staying = run.addBackend("i-ranks-2", "ranks", true);

    std::mutex mutex;
    std::set<http_stream *> grantedOn; // Connections whose last answer was one to a grant.
    std::atomic<bool> isLeaving{false};
    bool isSent = false;
    int answerCount = 0;
    leaving.setInterceptor([&](http_stream &stream, const http_message &request) {
        const std::lock_guard lock(mutex);
        ++answerCount;
        if (request.target == "/grant") {
            grantedOn.insert(&stream);
        } else if (request.target == "/release" && hasTrouble() && isLeaving && !isSent
                   && grantedOn.count(&stream) != 0) {
            isSent = true;
            record.line("backend i-ranks-1 sends a second copy of its answer to the last grant, "
                        "one of its "
                        + std::to_string(answerCount) + " answers");
            stream.write(answerText(200, {}, {}));
        }
        return false;
    });
    std::atomic<int> brokenCount{0};
    staying.onGranted = [&](const backend &, key_span keys, long fence) {
        const backend::key_use use = leaving.use(keys);
        if (use.runningCount > 0 && use.grantLeft.count() > 0) {
            ++brokenCount;
            record.line("i-ranks-2 is given keys " + std::to_string(keys.first) + " to "
                        + std::to_string(keys.last) + ", generation " + std::to_string(fence)
                        + ", on which i-ranks-1 is at work with " + std::to_string(use.runningCount)
                        + " requests; its hold would last " + std::to_string(use.grantLeft.count())
                        + " ms more");
        }
    };
    if (!run.startNodes()) {
        return CouldNotRun;
    }
    const time_point ownersUntil = clock_type::now() + ownersTimeout;
    while ((keyOf(leaving) < 0 || keyOf(staying) < 0) && clock_type::now() < ownersUntil) {
        std::this_thread::sleep_for(milliseconds(50));
    }
    const int key = keyOf(leaving);
    if (key < 0 || keyOf(staying) < 0) {
        record.line("not both backends get keys");
        return CouldNotRun;
    }
    const std::string field = "Shard-Key: " + std::to_string(key) + "\r\n";
    std::atomic<bool> isOver{false};
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    for (const auto &node : run.nodes()) {
        for (int i = 0; i < callersPerNode; ++i) {
            threads.emplace_back([&, place = node->place(), i] {
                caller requester(record, place);
                for (int n = 0; !isOver; ++n) {
                    const std::string id =
                        place.name + "-" + std::to_string(i) + "-" + std::to_string(n);
                    const call_outcome outcome = requester.call(
                        "GET", std::string(ranksRoute) + "work-20/2f", id, field, budgetMs);
                    answered += outcome.status == 200 ? 1 : 0;
                    std::this_thread::sleep_for(milliseconds(50));
                }
            });
        }
    }
    std::this_thread::sleep_for(calmTime);
    threads.emplace_back([&] {
        caller requester(record, run.nodes().front()->place());
        const call_outcome outcome = requester.call("GET", std::string(ranksRoute) + "work-2000/2f",
                                                    "long-1", field, budgetMs);
        record.line("request long-1, key " + std::to_string(key) + ": "
                    + std::to_string(outcome.status));
    });
    std::this_thread::sleep_for(settleTime);
    isLeaving = true;
    leaving.leave(true);
    std::this_thread::sleep_for(endTime);
    isOver = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    run.stop();
    record.line("grants of keys on which another backend was at work: "
                + std::to_string(brokenCount) + "; answered: " + std::to_string(answered));
    if (answered == 0 || (hasTrouble() && !isSent)) {
        return CouldNotRun;
    }
    return brokenCount > 0 ? RuleBroken : RuleHeld;
}

} // namespace damaskward::review
