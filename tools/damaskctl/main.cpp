// The operators' command.

#include "damaskward/Operator"
#include "status_table.h"
#include "tools/common/process.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>

DEFINE_string(platform, "http://127.0.0.1:7000", "the platform's service");
DEFINE_string(secret_file, "", "a file that holds the secret; else DAMASKWARD_SECRET is taken");
DEFINE_string(requester, "", "who asked for the change; it goes into the rule's comment");
DEFINE_bool(json, false, "print JSON");
DEFINE_bool(force, false, "do what the command warns about");
DEFINE_int32(wait_ms, 5000, "how long to wait for the VMs' acknowledgements");
DEFINE_string(svg, "", "burn: also write a plot to this file");

namespace {

using namespace damaskward;

constexpr milliseconds platformTimeout{2000};

const char *const usage = R"(damaskctl [flags] COMMAND

  apply FILE                  put a rules file in force
  show                        print the rules in force
  status                      owners, gates, sessions, holdover, who is behind
  out DATA-CENTER             take a data centre out; `in` returns it
  in DATA-CENTER
  drain SERVICE/NAME          send a target no new work; `undrain` returns it
  undrain SERVICE/NAME
  grant-key TEAM SHA256       grant an API key, named by its hash
  withdraw-key SHA256         withdraw it everywhere
  limits                      print the teams' limits
  burn                        the report on service-level burn
  declare-lost VM             FORCED: declare a VM's session lapsed without its peers' votes
  hash-key                    read an API key from standard input and print its hash

Exit codes: 0 done, and in force everywhere; 1 failed; 2 bad arguments, settings or rules;
3 accepted, but some VMs have not acknowledged it.
)";

std::uint64_t randomNonce()
{
    std::random_device random;
    return (std::uint64_t{random()} << 32U) | random();
}

/// \class command_line
/// \brief One run of the command.
class command_line
{
public:
    explicit command_line(std::vector<std::string> words)
        : m_words(std::move(words))
        , m_platform(FLAGS_platform, "damaskctl", platformTimeout)
        , m_applier(m_platform, randomNonce())
    { }

    result<int> run()
    {
        struct command
        {
            const char *name;
            std::size_t words;
            result<int> (command_line::*call)();
        };
        static const command commands[] = {
            {"apply", 2, &command_line::apply},
            {"show", 1, &command_line::show},
            {"status", 1, &command_line::status},
            {"out", 2, &command_line::takeOut},
            {"in", 2, &command_line::bringIn},
            {"drain", 2, &command_line::drain},
            {"undrain", 2, &command_line::undrain},
            {"grant-key", 3, &command_line::grantKey},
            {"withdraw-key", 2, &command_line::withdrawKey},
            {"limits", 1, &command_line::limits},
            {"burn", 1, &command_line::burn},
            {"declare-lost", 2, &command_line::declareLost},
            {"hash-key", 1, &command_line::hashKey},
        };
        for (const command &c : commands) {
            if (!m_words.empty() && m_words[0] == c.name && m_words.size() == c.words) {
                return (this->*c.call)();
            }
        }
        std::cerr << usage;
        return ExitUsage;
    }

private:
    result<int> apply()
    {
        BOOST_LEAF_AUTO(text, readFile(m_words[1]));
        BOOST_LEAF_AUTO(base, m_applier.current());
        return put(base, text, m_words[1]);
    }

    result<int> put(const current_rules &base, const std::string &text, const std::string &file)
    {
        const time_point deadline = mono_clock::now() + milliseconds(FLAGS_wait_ms);
        BOOST_LEAF_AUTO(outcome, m_applier.apply(base, text, file, deadline));
        switch (outcome.what) {
        case apply_outcome::kind::Accepted:
            std::cout << "accepted: version " << outcome.version << " is in force everywhere\n";
            return ExitOk;
        case apply_outcome::kind::Partly:
            std::cout << "not yet everywhere: version " << outcome.version
                      << " is in force except at:";
            for (const vm_id &vm : outcome.behind) {
                std::cout << ' ' << vm;
            }
            std::cout << '\n';
            return ExitPartly;
        case apply_outcome::kind::Overtaken:
            std::cerr << "damaskctl: another operator's version came first; nothing was applied\n";
            return ExitFailed;
        case apply_outcome::kind::Refused:
            break;
        }
        for (const diagnostic &mistake : outcome.mistakes) {
            std::cerr << toString(mistake) << '\n';
        }
        return ExitUsage;
    }

    /// Edits the rules in force: \a add is added, \a remove is removed, either may be empty.
    result<int> edit(const std::string &add, const std::string &remove)
    {
        if (FLAGS_requester.empty()) {
            std::cerr << "damaskctl: --requester NAME is needed; it goes into the comment\n";
            return ExitUsage;
        }
        BOOST_LEAF_AUTO(base, m_applier.current());
        std::string text = remove.empty() ? base.text : withoutRule(base.text, remove);
        if (!add.empty()) {
            text = withRule(text, add, FLAGS_requester);
        }
        return put(base, text, "the rules in force");
    }

    result<int> takeOut() { return edit("out " + m_words[1], ""); }
    result<int> bringIn() { return edit("", "out " + m_words[1]); }
    result<int> drain() { return edit("drain " + m_words[1], ""); }
    result<int> undrain() { return edit("", "drain " + m_words[1]); }
    result<int> grantKey() { return edit("key " + m_words[1] + " sha256=" + m_words[2], ""); }
    result<int> withdrawKey() { return edit("withdraw sha256=" + m_words[1], ""); }

    result<int> show()
    {
        BOOST_LEAF_AUTO(base, m_applier.current());
        std::cout << base.text;
        return ExitOk;
    }

    result<int> limits()
    {
        BOOST_LEAF_AUTO(base, m_applier.current());
        const rule_set rules = parseRules(base.text, "the rules in force").value;
        Json::Value list(Json::objectValue);
        for (const auto &[team, rule] : rules.teams) {
            list[team.str()]["rate"] = rule.rate;
            list[team.str()]["burst"] = rule.burst;
            if (!FLAGS_json) {
                std::cout << team << " rate=" << rule.rate << " burst=" << rule.burst << '\n';
            }
        }
        if (FLAGS_json) {
            std::cout << writeJson(list) << '\n';
        }
        return ExitOk;
    }

    result<std::string> secret()
    {
        if (!FLAGS_secret_file.empty()) {
            BOOST_LEAF_AUTO(text, readFile(FLAGS_secret_file));
            return text.substr(0, text.find_first_of("\r\n"));
        }
        const char *value = std::getenv("DAMASKWARD_SECRET");
        if (value == nullptr) {
            return fail("find the secret", "DAMASKWARD_SECRET",
                        "neither set nor --secret_file given");
        }
        return std::string(value);
    }

    result<int> status()
    {
        BOOST_LEAF_AUTO(own, secret());
        fleet_client fleet(m_platform, own);
        BOOST_LEAF_AUTO(answers, fleet.ask("/status"));
        std::cout << (FLAGS_json ? statusJson(answers) : statusTable(answers)) << '\n';
        return ExitOk;
    }

    result<int> burn()
    {
        BOOST_LEAF_AUTO(own, secret());
        fleet_client fleet(m_platform, own);
        BOOST_LEAF_AUTO(answers, fleet.ask("/burn"));
        BOOST_LEAF_AUTO(base, m_applier.current());
        std::vector<burn_series> all;
        for (const vm_answer &answer : answers) {
            if (!answer.body) {
                std::cerr << "damaskctl: " << answer.vm
                          << " did not answer; its counts are missing\n";
                continue;
            }
            const std::vector<burn_series> some = readBurnSeries(*answer.body);
            all.insert(all.end(), some.begin(), some.end());
        }
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const std::int64_t minute = std::chrono::duration_cast<minutes>(now).count();
        const auto rows =
            makeBurnReport(all, parseRules(base.text, "the rules in force").value, minute);
        std::cout << (FLAGS_json ? burnJson(rows) + "\n" : burnTable(rows));
        if (!FLAGS_svg.empty()) {
            std::ofstream(FLAGS_svg) << burnSvg(rows);
        }
        return ExitOk;
    }

    result<int> declareLost()
    {
        if (!FLAGS_force) {
            std::cerr
                << "damaskctl: if " << m_words[1]
                << " still runs and is only cut off, its targets may go on serving keys that\n"
                   "others take over: two owners of one key. Stop the VM first, then repeat "
                   "with --force.\n";
            return ExitUsage;
        }
        const std::string name = sessionName(vm_id(m_words[1]));
        BOOST_LEAF_AUTO(changes, m_platform.readChangesNow(0, {name}));
        for (const table_row &row : changes.rows) {
            std::optional<session_row> session = decodeSession(row.value);
            if (row.name != name || !session || session->state != session_state::Live) {
                continue;
            }
            session->state = session_state::Lapsed;
            table_transaction transaction;
            transaction.replace(name, row.version, encode(*session));
            BOOST_LEAF_AUTO(answer, m_platform.commitNow(transaction));
            if (answer.outcome != commit_outcome::Applied) {
                return fail("declare lost", m_words[1], "its session has just been renewed");
            }
            std::cout << m_words[1] << " is declared lost\n";
            return ExitOk;
        }
        return fail("declare lost", m_words[1], "it has no live session");
    }

    result<int> hashKey()
    {
        std::string key;
        std::getline(std::cin, key);
        std::cout << toHex(hashSecret(key)) << '\n';
        return ExitOk;
    }

    std::vector<std::string> m_words;
    platform_client m_platform;
    rules_applier m_applier;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    setNetworkThreads(2);
    std::vector<std::string> words(argv + 1, argv + argc);
    const int code = runMain("damaskctl", [&words] { return command_line(words).run(); });
    std::cout.flush();
    std::_Exit(code); // cpprest's threads need no farewell.
}
