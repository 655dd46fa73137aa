// Runs one scripted case of the review: review-case NAME RECORD

#include "scenario.h"

#include <csignal>
#include <iostream>
#include <map>
#include <thread>
#include <unistd.h>

int main(int argc, char **argv)
{
    using namespace damaskward::review;
    const std::map<std::string, int (*)(const std::string &)> cases = {
        {"spoiled-trailer", runSpoiledTrailer},
        {"second-answer", runSecondAnswer},
        {"foreign-entry", runForeignEntry},
        {"long-entry", runLongEntry}};
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: review-case NAME RECORD\n";
        return CouldNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGALRM, [](int) { ::_exit(CouldNotRun); });
    constexpr unsigned longestRunSeconds = 110;
    ::alarm(longestRunSeconds);
    try {
        const int result = found->second(argv[2]);
        std::cout << found->first << ": "
                  << (result == RuleHeld         ? "the rule held"
                          : result == RuleBroken ? "the rule was broken"
                                                 : "the case could not run")
                  << '\n';
        return result;
    } catch (const std::exception &e) {
        std::cerr << "review-case: " << e.what() << '\n';
        return CouldNotRun;
    }
}
