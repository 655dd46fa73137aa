// A faulty backend ends one answer with a trailer of 70,000 bytes.

#include "scenario.h"

#include <atomic>
#include <set>
#include <thread>

namespace damaskward::review {
namespace {

constexpr milliseconds calmTime{4500}; // More than contactMs: the nodes are in touch.
constexpr milliseconds troubleTime{5000}; // `garble` lasts 5.5 s at most on the sites.
constexpr milliseconds restartPause{500};
constexpr int spoiledOneOf = 50; // `garble` spoils x = 0.02 of the answers.
constexpr std::size_t trailerBytes = 70000;
constexpr int ledgerCallersPerNode = 6;
constexpr int archiveCallersPerNode = 3;
constexpr int archiveSlots = 2; // Few, so that both backends get requests.
constexpr int budgetMs = 1500;
constexpr int allowedLosses = 3; // LOST: "more than three times".

std::string spoiledAnswer(const http_message &request, const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("request-id")
        + "\r\nResponse-Stamp: " + id + ".1\r\nTransfer-Encoding: chunked\r\n\r\n"
        + "5\r\nhello\r\n0\r\nX-Trace: " + std::string(trailerBytes, 'a') + "\r\n\r\n";
}

} // namespace

int runSpoiledTrailer(const std::string &recordPath)
{
    scenario run(recordPath, 2);
    run_record &record = run.record();
    run.writeConfig();
    std::mutex ranMutex;
    std::set<std::string> ran; // Requests that sound backends have begun to run.
    for (int i = 1; i <= 4; ++i) {
        run.addBackend("i-ledger-" + std::to_string(i), "ledger", false)
            .setInterceptor([&](http_stream &, const http_message &request) {
                const std::lock_guard lock(ranMutex);
                ran.insert(request.field("request-id"));
                return false;
            });
    }
    run.addBackend("i-archive-1", "archive", false, archiveSlots);
    backend &faulty = run.addBackend("i-archive-2", "archive", false, archiveSlots);
    std::atomic<bool> isSpoiling{false};
    std::atomic<int> answerCount{0};
    faulty.setInterceptor([&](http_stream &stream, const http_message &request) {
        if (!isSpoiling || request.target == "/health" || ++answerCount % spoiledOneOf != 0) {
            return false;
        }
        record.line("backend i-archive-2 spoils its answer to request "
                    + request.field("request-id") + ": a trailer of " + std::to_string(trailerBytes)
                    + " bytes");
        stream.write(spoiledAnswer(request, faulty.id()));
        return true;
    });
    if (!run.startNodes()) {
        return CouldNotRun;
    }

    std::atomic<bool> isOver{false};
    std::atomic<int> losses{0};
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    for (const auto &node : run.nodes()) {
        const node_place place = node->place();
        for (int i = 0; i < ledgerCallersPerNode; ++i) {
            threads.emplace_back([&, place, i] {
                caller requester(record, place);
                int answeredOnConnection = 0;
                for (int n = 0; !isOver; ++n) {
                    const std::string id =
                        place.name + "-l" + std::to_string(i) + "-" + std::to_string(n);
                    const bool isKept = requester.hasConnection() && answeredOnConnection > 0;
                    const call_outcome outcome = requester.call(
                        "POST", std::string(ledgerRoute) + "work-400/2f", id, {}, budgetMs);
                    answered += outcome.isAnswered ? 1 : 0;
                    answeredOnConnection = outcome.isAnswered ? answeredOnConnection + 1 : 0;
                    const std::lock_guard lock(ranMutex);
                    if (outcome.isClosed && isKept && ran.count(id) != 0) {
                        ++losses;
                        record.line("request " + id + " was run by a sound backend and is lost");
                    }
                    if (!outcome.isAnswered) {
                        std::this_thread::sleep_for(milliseconds(100));
                    }
                }
            });
        }
        for (int i = 0; i < archiveCallersPerNode; ++i) {
            threads.emplace_back([&, place, i] {
                caller requester(record, place);
                for (int n = 0; !isOver; ++n) {
                    const std::string id =
                        place.name + "-a" + std::to_string(i) + "-" + std::to_string(n);
                    requester.call("GET", std::string(archiveRoute) + "work-30/2f", id, {},
                                   budgetMs);
                    std::this_thread::sleep_for(milliseconds(50));
                }
            });
        }
    }
    int endedCount = 0;
    const auto watch = [&](milliseconds span) {
        const time_point until = clock_type::now() + span;
        while (clock_type::now() < until) {
            for (const auto &node : run.nodes()) {
                if (node->hasEnded()) { // The platform starts it again.
                    ++endedCount;
                    std::this_thread::sleep_for(restartPause);
                    node->start();
                }
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
    };
    watch(calmTime);
    isSpoiling = hasTrouble();
    watch(troubleTime);
    isSpoiling = false;
    watch(milliseconds(2000));
    isOver = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    run.stop();
    record.line("processes that ended by themselves: " + std::to_string(endedCount)
                + "; requests on kept connections that sound backends had begun to run and that "
                  "were cut off without an answer: "
                + std::to_string(losses) + " (allowed: " + std::to_string(allowedLosses)
                + "); answered: " + std::to_string(answered));
    if (answered == 0) {
        return CouldNotRun;
    }
    return losses > allowedLosses ? RuleBroken : RuleHeld;
}

} // namespace damaskward::review
