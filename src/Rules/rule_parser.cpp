// This file is long because it contains the readers of all eleven kinds of rules.

#include "rule_parser.h"

#include "rule_line.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>

namespace damaskward {
namespace internal {

constexpr int maxShards = 65536;
constexpr int maxSlots = 10000;
constexpr double maxRate = 1e9;
constexpr int maxLatencyMillis = 600000;
constexpr std::size_t maxNameLength = 64;

bool isName(std::string_view text)
{
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_';
    };
    return !text.empty() && text.size() <= maxNameLength
        && std::all_of(text.begin(), text.end(), allowed);
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const std::string_view port = text.substr(colon + 1);
    const auto isDigit = [](unsigned char c) { return std::isdigit(c) != 0; };
    if (port.empty() || port.size() > 5 || !std::all_of(port.begin(), port.end(), isDigit)) {
        return false;
    }
    const int number = std::stoi(std::string(port));
    return number >= 1 && number <= 65535;
}

/// A reference to a declared object. It is checked after the whole file has been read.
struct pending_reference
{
    enum class kind { Service, DataCenter, Target, Team, Key };
    kind objectKind;
    std::string name;
    diagnostic undeclaredDiagnostic;
};

/// \class rule_reader
/// \brief Reads a rules file line by line and collects the rules and all diagnostics.
class rule_reader
{
public:
    explicit rule_reader(std::string_view file)
        : m_file(file)
    { }

    void readLine(std::string_view text, int number);
    parsed<rule_set> finish();

private:
    using handler = void (rule_reader::*)(rule_line &);
    struct rule_kind
    {
        std::string_view name;
        std::size_t wordCount;
        std::string_view form;
        handler read;
    };
    static const std::array<rule_kind, 11> &kinds();

    void report(const rule_line &line, std::string field, std::string message);
    bool readName(const rule_line &line, std::string_view text, std::string_view field);
    std::optional<target_id> readTargetName(const rule_line &line);
    std::optional<secret_hash> readHash(rule_line &line);
    void addReference(const rule_line &line, pending_reference::kind objectKind,
                      std::string_view name);

    void readService(rule_line &line);
    void readDataCenter(rule_line &line);
    void readTarget(rule_line &line);
    void readTeam(rule_line &line);
    void readLimit(rule_line &line);
    void readAllow(rule_line &line);
    void readKey(rule_line &line);
    void readWithdraw(rule_line &line);
    void readDrainedDataCenter(rule_line &line);
    void readDrainingTarget(rule_line &line);
    void readObjective(rule_line &line);

    bool isDeclared(const pending_reference &reference) const;
    void applyStatusRules();
    void checkShares();

    std::string m_file;
    rule_set m_rules;
    std::vector<diagnostic> m_diagnostics;
    std::vector<pending_reference> m_references;
    std::set<team_id> m_declaredTeams; // 'limit' and 'allow' rules do not declare teams
    std::vector<data_center_id> m_drainedDataCenters;
    std::vector<target_id> m_drainingTargets;
    std::vector<secret_hash> m_withdrawnKeys;
    int m_lastLine = 0;
};

const std::array<rule_reader::rule_kind, 11> &rule_reader::kinds()
{
    static const std::array<rule_kind, 11> table = {{
        {"service", 4, "service NAME keyed|unkeyed idempotent|non-idempotent [shards=N]",
         &rule_reader::readService},
        {"data-center", 2, "data-center NAME share=PERCENT", &rule_reader::readDataCenter},
        {"target", 2,
         "target SERVICE/NAME dc=D address=IP:PORT slots=N connections=N [cold=N] [warm_ms=M]",
         &rule_reader::readTarget},
        {"team", 2, "team NAME", &rule_reader::readTeam},
        {"limit", 2, "limit TEAM rate=R burst=B", &rule_reader::readLimit},
        {"allow", 3, "allow TEAM|* SERVICE", &rule_reader::readAllow},
        {"key", 2, "key TEAM sha256=HEX", &rule_reader::readKey},
        {"withdraw", 1, "withdraw sha256=HEX", &rule_reader::readWithdraw},
        {"out", 2, "out DATA-CENTER", &rule_reader::readDrainedDataCenter},
        {"drain", 2, "drain SERVICE/NAME", &rule_reader::readDrainingTarget},
        {"objective", 2, "objective SERVICE latency_ms=L success=RATIO",
         &rule_reader::readObjective},
    }};
    return table;
}

void rule_reader::report(const rule_line &line, std::string field, std::string message)
{
    m_diagnostics.push_back(line.makeDiagnostic(std::move(field), std::move(message)));
}

bool rule_reader::readName(const rule_line &line, std::string_view text, std::string_view field)
{
    if (isName(text)) {
        return true;
    }
    report(line, std::string(field),
           "'" + std::string(text)
               + "' is not a valid name; use 1 to 64 letters, digits, '-' or '_'");
    return false;
}

std::optional<target_id> rule_reader::readTargetName(const rule_line &line)
{
    const std::string_view text = line.word(1);
    const std::size_t slash = text.find('/');
    const std::string_view service = text.substr(0, slash);
    const std::string_view name =
        slash == std::string_view::npos ? std::string_view() : text.substr(slash + 1);
    if (!isName(service) || !isName(name)) {
        report(line, "target", "'" + std::string(text) + "' is not of the form SERVICE/NAME");
        return std::nullopt;
    }
    return target_id{service_id(service), std::string(name)};
}

std::optional<secret_hash> rule_reader::readHash(rule_line &line)
{
    const std::optional<secret_hash> hash = parseHex(line.optionValue("sha256").value_or(""));
    if (!hash) {
        report(line, "sha256", "must be 64 lower-case hexadecimal digits");
    }
    return hash;
}

void rule_reader::addReference(const rule_line &line, pending_reference::kind objectKind,
                               std::string_view name)
{
    static constexpr std::array<std::string_view, 5> words = {"service", "data-center", "target",
                                                              "team", "key"};
    const std::string word(words.at(static_cast<std::size_t>(objectKind)));
    m_references.push_back(
        {objectKind, std::string(name),
         line.makeDiagnostic(
             word, "'" + std::string(name) + "' is not declared by a '" + word + "' rule")});
}

void rule_reader::readService(rule_line &line)
{
    service_rule rule;
    const std::string_view keyed = line.word(2);
    const std::string_view idempotent = line.word(3);
    if (keyed != "keyed" && keyed != "unkeyed") {
        report(line, "keyed", "must be 'keyed' or 'unkeyed'");
    }
    if (idempotent != "idempotent" && idempotent != "non-idempotent") {
        report(line, "idempotent", "must be 'idempotent' or 'non-idempotent'");
    }
    rule.keyed = keyed == "keyed";
    rule.idempotent = idempotent == "idempotent";
    const int shards = line.integerOptionOr("shards", 0, 1, maxShards, m_diagnostics);
    if (rule.keyed != (shards != 0)) {
        report(line, "shards",
               "is required for a keyed service and not allowed for an unkeyed service");
    }
    rule.shards = static_cast<std::uint32_t>(shards);
    if (readName(line, line.word(1), "service")
        && !m_rules.services.emplace(service_id(line.word(1)), rule).second) {
        report(line, "service", "is declared twice");
    }
}

void rule_reader::readDataCenter(rule_line &line)
{
    data_center_rule rule;
    rule.sharePercent = line.integerOptionOr("share", -1, 0, 100, m_diagnostics);
    if (rule.sharePercent < 0) {
        report(line, "share", "is missing; a whole number from 0 to 100 is required");
    }
    if (readName(line, line.word(1), "data-center")
        && !m_rules.dataCenters.emplace(data_center_id(line.word(1)), rule).second) {
        report(line, "data-center", "is declared twice");
    }
}

void rule_reader::readTarget(rule_line &line)
{
    target_rule rule;
    rule.dataCenter = data_center_id(line.optionValue("dc").value_or(""));
    rule.address = line.optionValue("address").value_or("");
    if (!isAddress(rule.address)) {
        report(line, "address", "'" + rule.address + "' is not of the form IP:PORT");
    }
    rule.slots = line.integerOptionOr("slots", 1, 1, maxSlots, m_diagnostics);
    rule.connections = line.integerOptionOr("connections", 1, 1, maxSlots, m_diagnostics);
    rule.coldSlots = line.integerOptionOr("cold", 1, 1, maxSlots, m_diagnostics);
    rule.warmAfter =
        milliseconds(line.integerOptionOr("warm_ms", 0, 0, maxLatencyMillis, m_diagnostics));
    const std::optional<target_id> target = readTargetName(line);
    if (!target) {
        return;
    }
    addReference(line, pending_reference::kind::Service, target->service.str());
    addReference(line, pending_reference::kind::DataCenter, rule.dataCenter.str());
    if (!m_rules.targets.emplace(*target, rule).second) {
        report(line, "target", "is declared twice");
    }
}

void rule_reader::readTeam(rule_line &line)
{
    if (readName(line, line.word(1), "team")) {
        m_rules.teams.try_emplace(team_id(line.word(1)));
        m_declaredTeams.emplace(line.word(1));
    }
}

void rule_reader::readLimit(rule_line &line)
{
    const std::optional<double> rate = line.numberOption("rate", 0.1, maxRate, m_diagnostics);
    const std::optional<double> burst = line.numberOption("burst", 1.0, maxRate, m_diagnostics);
    addReference(line, pending_reference::kind::Team, line.word(1));
    team_rule &team = m_rules.teams[team_id(line.word(1))];
    if (team.rate != 0.0) {
        report(line, "limit", "is declared twice for this team");
    }
    team.rate = rate.value_or(0.0);
    team.burst = burst.value_or(0.0);
}

void rule_reader::readAllow(rule_line &line)
{
    const service_id service(line.word(2));
    addReference(line, pending_reference::kind::Service, service.str());
    if (line.word(1) == "*") {
        m_rules.openServices.insert(service);
        return;
    }
    addReference(line, pending_reference::kind::Team, line.word(1));
    m_rules.teams[team_id(line.word(1))].services.insert(service);
}

void rule_reader::readKey(rule_line &line)
{
    addReference(line, pending_reference::kind::Team, line.word(1));
    const std::optional<secret_hash> hash = readHash(line);
    if (!hash) {
        return;
    }
    for (const key_rule &known : m_rules.keys) {
        if (known.hash == *hash) {
            report(line, "sha256", "this API key is granted twice");
            return;
        }
    }
    m_rules.keys.push_back({team_id(line.word(1)), *hash, false});
}

void rule_reader::readWithdraw(rule_line &line)
{
    const std::optional<secret_hash> hash = readHash(line);
    if (hash) {
        addReference(line, pending_reference::kind::Key, toHex(*hash));
        m_withdrawnKeys.push_back(*hash);
    }
}

void rule_reader::readDrainedDataCenter(rule_line &line)
{
    addReference(line, pending_reference::kind::DataCenter, line.word(1));
    m_drainedDataCenters.emplace_back(line.word(1));
}

void rule_reader::readDrainingTarget(rule_line &line)
{
    const std::optional<target_id> target = readTargetName(line);
    if (target) {
        addReference(line, pending_reference::kind::Target, target->str());
        m_drainingTargets.push_back(*target);
    }
}

void rule_reader::readObjective(rule_line &line)
{
    objective_rule rule;
    const std::optional<double> latency =
        line.numberOption("latency_ms", 1.0, maxLatencyMillis, m_diagnostics);
    const std::optional<double> success = line.numberOption("success", 0.0, 0.99999, m_diagnostics);
    rule.latencyMillis = static_cast<std::int64_t>(latency.value_or(0.0));
    rule.success = success.value_or(0.0);
    addReference(line, pending_reference::kind::Service, line.word(1));
    if (!m_rules.objectives.emplace(service_id(line.word(1)), rule).second) {
        report(line, "objective", "is declared twice for this service");
    }
}

void rule_reader::readLine(std::string_view text, int number)
{
    m_lastLine = number;
    rule_line line(text, m_file, number);
    if (line.isBlank()) {
        return;
    }
    if (!line.hasComment()) {
        report(line, "comment",
               "is missing; each rule must end with '# ' and the name of its requester");
    }
    const auto isKind = [&line](const rule_kind &kind) { return kind.name == line.word(0); };
    const auto kind = std::find_if(kinds().begin(), kinds().end(), isKind);
    if (kind == kinds().end()) {
        report(line, "rule", "'" + std::string(line.word(0)) + "' is not a known kind of rule");
        return;
    }
    if (line.wordCount() != kind->wordCount) {
        report(line, "rule", "expected form: " + std::string(kind->form));
        return;
    }
    (this->*(kind->read))(line);
    line.reportUnknownOptions(m_diagnostics);
}

bool rule_reader::isDeclared(const pending_reference &reference) const
{
    switch (reference.objectKind) {
    case pending_reference::kind::Service:
        return m_rules.services.count(service_id(reference.name)) != 0;
    case pending_reference::kind::DataCenter:
        return m_rules.dataCenters.count(data_center_id(reference.name)) != 0;
    case pending_reference::kind::Team:
        return m_declaredTeams.count(team_id(reference.name)) != 0;
    case pending_reference::kind::Target: {
        const auto named = [&reference](const auto &entry) {
            return entry.first.str() == reference.name;
        };
        return std::any_of(m_rules.targets.begin(), m_rules.targets.end(), named);
    }
    case pending_reference::kind::Key:
        break;
    }
    const auto sameHash = [&reference](const key_rule &key) {
        return toHex(key.hash) == reference.name;
    };
    return std::any_of(m_rules.keys.begin(), m_rules.keys.end(), sameHash);
}

void rule_reader::applyStatusRules()
{
    for (const data_center_id &dc : m_drainedDataCenters) {
        m_rules.dataCenters[dc].out = true;
    }
    for (const target_id &target : m_drainingTargets) {
        m_rules.targets[target].draining = true;
    }
    for (key_rule &key : m_rules.keys) {
        key.withdrawn = std::find(m_withdrawnKeys.begin(), m_withdrawnKeys.end(), key.hash)
            != m_withdrawnKeys.end();
    }
}

void rule_reader::checkShares()
{
    int total = 0;
    for (const auto &[name, dc] : m_rules.dataCenters) {
        total += std::max(dc.sharePercent, 0);
    }
    if (total > 100) {
        m_diagnostics.push_back({m_file, m_lastLine, "share",
                                 "the shares of all data centres add up to " + std::to_string(total)
                                     + " %; the maximum is 100 %"});
    }
}

parsed<rule_set> rule_reader::finish()
{
    for (const pending_reference &reference : m_references) {
        if (!isDeclared(reference)) {
            m_diagnostics.push_back(reference.undeclaredDiagnostic);
        }
    }
    checkShares();
    if (m_diagnostics.empty()) {
        applyStatusRules();
    }
    std::stable_sort(m_diagnostics.begin(), m_diagnostics.end(),
                     [](const diagnostic &a, const diagnostic &b) { return a.line < b.line; });
    return {std::move(m_rules), std::move(m_diagnostics)};
}

} // namespace internal

parsed<rule_set> parseRules(std::string_view text, std::string_view file)
{
    internal::rule_reader reader(file);
    int number = 0;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        reader.readLine(text.substr(0, end), ++number);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return reader.finish();
}

} // namespace damaskward
