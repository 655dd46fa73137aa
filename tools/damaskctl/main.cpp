// The command line tool for operators.

#include "damaskward/Operator"
#include "status_table.h"
#include "tools/common/process.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>

DEFINE_string(platform, "http://127.0.0.1:7000", "the address of the platform");
DEFINE_string(secret_file, "",
              "the file that contains the secret; by default DAMASKWARD_SECRET is used");
DEFINE_string(requester, "",
              "the name of the requester of the change, for the comment of the rule");
DEFINE_bool(json, false, "print JSON");
DEFINE_bool(force, false, "run declare-lost despite its warning");
DEFINE_int32(wait_ms, 5000, "time to wait for the acknowledgements of the VMs");
DEFINE_string(svg, "", "burn: also write a plot to this file");

namespace {

using namespace damaskward;

constexpr milliseconds platformTimeout{2000};

const char *const usage = R"(damaskctl [flags] COMMAND

  apply FILE                  apply a rules file
  show                        print the rules in force
  status                      print VMs, sessions, holdover, rules versions and targets
  out DATA-CENTER             drain a data centre; `in` reverts this
  in DATA-CENTER
  drain SERVICE/NAME          send no new requests to a target; `undrain` reverts this
  undrain SERVICE/NAME
  grant-key TEAM SHA256       grant an API key, given by its hash
  withdraw-key SHA256         withdraw an API key on all VMs
  limits                      print the rate limits of the teams
  burn                        print the error budget burn report
  declare-lost VM             FORCED: declare the session of a VM expired without votes of its peers
  hash-key                    read an API key from standard input and print its hash

Exit codes: 0 success, in force on all VMs; 1 failure; 2 invalid arguments, settings or rules;
3 accepted, but not acknowledged by all VMs.
)";

std::uint64_t randomNonce()
{
    std::random_device random;
    return (std::uint64_t{random()} << 32U) | random();
}

/// \class command_line
/// \brief Runs the command that the arguments name.
class command_line
{
public:
    explicit command_line(std::vector<std::string> words)
        : m_arguments(std::move(words))
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
            {"out", 2, &command_line::drainDataCenter},
            {"in", 2, &command_line::undrainDataCenter},
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
            if (!m_arguments.empty() && m_arguments[0] == c.name && m_arguments.size() == c.words) {
                return (this->*c.call)();
            }
        }
        std::cerr << usage;
        return ExitUsage;
    }

private:
    result<int> apply()
    {
        BOOST_LEAF_AUTO(text, readFile(m_arguments[1]));
        BOOST_LEAF_AUTO(base, m_applier.current());
        return applyText(base, text, m_arguments[1]);
    }

    result<int> applyText(const current_rules &base, const std::string &text,
                          const std::string &file)
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
            for (const vm_id &vm : outcome.unacknowledgedVms) {
                std::cout << ' ' << vm;
            }
            std::cout << '\n';
            return ExitPartly;
        case apply_outcome::kind::Overtaken:
            std::cerr
                << "damaskctl: another operator applied a version first; nothing was applied\n";
            return ExitFailed;
        case apply_outcome::kind::Refused:
            break;
        }
        for (const diagnostic &entry : outcome.mistakes) {
            std::cerr << toString(entry) << '\n';
        }
        return ExitUsage;
    }

    /// Adds \a add to the rules in force and removes \a remove; either may be empty.
    result<int> editRules(const std::string &add, const std::string &remove)
    {
        if (FLAGS_requester.empty()) {
            std::cerr << "damaskctl: --requester NAME is required; it is written into the comment "
                         "of the rule\n";
            return ExitUsage;
        }
        BOOST_LEAF_AUTO(base, m_applier.current());
        std::string text = remove.empty() ? base.text : withoutRule(base.text, remove);
        if (!add.empty()) {
            text = withRule(text, add, FLAGS_requester);
        }
        return applyText(base, text, "the rules in force");
    }

    result<int> drainDataCenter() { return editRules("out " + m_arguments[1], ""); }
    result<int> undrainDataCenter() { return editRules("", "out " + m_arguments[1]); }
    result<int> drain() { return editRules("drain " + m_arguments[1], ""); }
    result<int> undrain() { return editRules("", "drain " + m_arguments[1]); }
    result<int> grantKey()
    {
        return editRules("key " + m_arguments[1] + " sha256=" + m_arguments[2], "");
    }
    result<int> withdrawKey() { return editRules("withdraw sha256=" + m_arguments[1], ""); }

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
                        "not set, and --secret_file is not given");
        }
        return std::string(value);
    }

    result<int> status()
    {
        BOOST_LEAF_AUTO(ownSecret, secret());
        fleet_client fleet(m_platform, ownSecret);
        BOOST_LEAF_AUTO(answers, fleet.queryLiveVms("/status"));
        std::cout << (FLAGS_json ? statusJson(answers) : statusTable(answers)) << '\n';
        return ExitOk;
    }

    result<int> burn()
    {
        BOOST_LEAF_AUTO(ownSecret, secret());
        fleet_client fleet(m_platform, ownSecret);
        BOOST_LEAF_AUTO(answers, fleet.queryLiveVms("/burn"));
        BOOST_LEAF_AUTO(base, m_applier.current());
        std::vector<burn_series> allSeries;
        for (const vm_answer &answer : answers) {
            if (!answer.body) {
                std::cerr << "damaskctl: " << answer.vm
                          << " did not answer; the report lacks its counts\n";
                continue;
            }
            const std::vector<burn_series> vmSeries = readBurnSeries(*answer.body);
            allSeries.insert(allSeries.end(), vmSeries.begin(), vmSeries.end());
        }
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const std::int64_t minute = std::chrono::duration_cast<minutes>(now).count();
        const auto rows =
            makeBurnReport(allSeries, parseRules(base.text, "the rules in force").value, minute);
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
                << "damaskctl: if " << m_arguments[1]
                << " is still running but unreachable, its targets may still serve keys that\n"
                   "other targets take over: a key may have two owners. Stop the VM first, then "
                   "repeat with --force.\n";
            return ExitUsage;
        }
        const std::string name = sessionName(vm_id(m_arguments[1]));
        BOOST_LEAF_AUTO(changes, m_platform.readChangesBlocking(0, {name}));
        for (const table_row &row : changes.rows) {
            std::optional<session_row> session = decodeSession(row.value);
            if (row.name != name || !session || session->state != session_state::Live) {
                continue;
            }
            session->state = session_state::Lapsed;
            table_transaction transaction;
            transaction.replace(name, row.version, encode(*session));
            BOOST_LEAF_AUTO(answer, m_platform.commitBlocking(transaction));
            if (answer.outcome != commit_outcome::Applied) {
                return fail("declare lost", m_arguments[1],
                            "its session was renewed in the meantime");
            }
            std::cout << m_arguments[1] << " is declared lost\n";
            return ExitOk;
        }
        return fail("declare lost", m_arguments[1], "the VM has no live session");
    }

    result<int> hashKey()
    {
        std::string key;
        std::getline(std::cin, key);
        std::cout << toHex(hashSecret(key)) << '\n';
        return ExitOk;
    }

    std::vector<std::string> m_arguments;
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
    std::_Exit(code); // The threads of cpprest need not be joined.
}
