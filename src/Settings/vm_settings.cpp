#include "vm_settings.h"

#include <json/json.h>

#include <algorithm>
#include <array>
#include <memory>
#include <regex>
#include <set>

namespace damaskward {
namespace internal {

constexpr std::int64_t maxPeriodMillis = 600000;
constexpr std::size_t minSecretLength = 8;

/// \class settings_reader
/// \brief Reads the JSON document and reports each error with the line of its value.
class settings_reader
{
public:
    settings_reader(std::string_view text, std::string_view file)
        : m_text(text)
        , m_file(file)
    { }

    parsed<vm_settings> read();

private:
    int lineAt(std::ptrdiff_t offset) const;
    void report(const Json::Value &at, const std::string &field, const std::string &message);
    bool parseDocument(Json::Value &root);
    void reportUnknownNames(const Json::Value &object, const std::string &prefix,
                            const std::set<std::string> &allowed);
    std::string readText(const Json::Value &object, const std::string &name, bool isRequired);
    std::string readAddress(const Json::Value &root, const std::string &name);
    std::int64_t readInteger(const Json::Value &object, const std::string &prefix,
                             const std::string &name, std::int64_t fallback, std::int64_t minimum,
                             std::int64_t maximum);
    milliseconds readMillis(const Json::Value &object, const std::string &prefix,
                            const std::string &name, milliseconds fallback);
    const Json::Value &section(const Json::Value &root, const std::string &name);
    void readTiming(const Json::Value &root, control_timing &timing);
    void readLog(const Json::Value &root, log_settings &log);
    void readLimits(const Json::Value &root, caller_limits &limits);

    std::string_view m_text;
    std::string m_file;
    std::vector<diagnostic> m_diagnostics;
};

int settings_reader::lineAt(std::ptrdiff_t offset) const
{
    const std::size_t end = std::min(static_cast<std::size_t>(offset), m_text.size());
    const std::string_view before = m_text.substr(0, end);
    return 1 + static_cast<int>(std::count(before.begin(), before.end(), '\n'));
}

void settings_reader::report(const Json::Value &at, const std::string &field,
                             const std::string &message)
{
    m_diagnostics.push_back({m_file, lineAt(at.getOffsetStart()), field, message});
}

bool settings_reader::parseDocument(Json::Value &root)
{
    Json::CharReaderBuilder builder;
    builder["allowComments"] = true;
    builder["collectComments"] = false;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string errors;
    const bool ok = reader->parse(m_text.data(), m_text.data() + m_text.size(), &root, &errors);
    if (ok && root.isObject()) {
        return true;
    }
    int line = 1;
    std::smatch found;
    if (std::regex_search(errors, found, std::regex("Line (\\d+)"))) {
        line = std::stoi(found[1].str());
    }
    std::replace(errors.begin(), errors.end(), '\n', ' ');
    m_diagnostics.push_back({m_file, line, "document", "is not a JSON object: " + errors});
    return false;
}

void settings_reader::reportUnknownNames(const Json::Value &object, const std::string &prefix,
                                         const std::set<std::string> &allowed)
{
    for (const std::string &name : object.getMemberNames()) {
        if (allowed.count(name) == 0) {
            report(object[name], prefix + name, "is not a known setting");
        }
    }
}

std::string settings_reader::readText(const Json::Value &object, const std::string &name,
                                      bool isRequired)
{
    const Json::Value &value = object[name];
    if (value.isString() && (!isRequired || !value.asString().empty())) {
        return value.asString();
    }
    if (isRequired || !value.isNull()) {
        report(value.isNull() ? object : value, name, "must be a non-empty string");
    }
    return {};
}

std::string settings_reader::readAddress(const Json::Value &root, const std::string &name)
{
    static const std::regex form("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");
    std::string text = readText(root, name, true);
    std::smatch found;
    bool isValid = std::regex_match(text, found, form);
    for (std::size_t octet = 1; isValid && octet <= 4; ++octet) {
        isValid = std::stoi(found[octet].str()) <= 255;
    }
    isValid = isValid && std::stoi(found[5].str()) >= 1 && std::stoi(found[5].str()) <= 65535;
    if (!isValid && !text.empty()) {
        report(root[name], name, "'" + text + "' is not of the form IP:PORT");
    }
    return text;
}

std::int64_t settings_reader::readInteger(const Json::Value &object, const std::string &prefix,
                                          const std::string &name, std::int64_t fallback,
                                          std::int64_t minimum, std::int64_t maximum)
{
    const Json::Value &value = object[name];
    if (value.isNull()) {
        return fallback;
    }
    if (value.isInt64() && value.asInt64() >= minimum && value.asInt64() <= maximum) {
        return value.asInt64();
    }
    report(value, prefix + name,
           "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum)
               + " is required");
    return fallback;
}

milliseconds settings_reader::readMillis(const Json::Value &object, const std::string &prefix,
                                         const std::string &name, milliseconds fallback)
{
    return milliseconds(readInteger(object, prefix, name, fallback.count(), 1, maxPeriodMillis));
}

const Json::Value &settings_reader::section(const Json::Value &root, const std::string &name)
{
    static const Json::Value empty(Json::objectValue);
    const Json::Value &value = root[name];
    if (value.isObject()) {
        return value;
    }
    if (!value.isNull()) {
        report(value, name, "must be an object");
    }
    return empty;
}

void settings_reader::readTiming(const Json::Value &root, control_timing &timing)
{
    const Json::Value &object = section(root, "timing");
    const std::string prefix = "timing.";
    reportUnknownNames(object, prefix,
                       {"session_ms", "renew_every_ms", "read_every_ms", "grant_ms",
                        "grant_every_ms", "target_timeout_ms", "promise_ms"});
    timing.session = readMillis(object, prefix, "session_ms", timing.session);
    timing.renewEvery = readMillis(object, prefix, "renew_every_ms", timing.renewEvery);
    timing.readEvery = readMillis(object, prefix, "read_every_ms", timing.readEvery);
    timing.grant = readMillis(object, prefix, "grant_ms", timing.grant);
    timing.grantEvery = readMillis(object, prefix, "grant_every_ms", timing.grantEvery);
    timing.targetTimeout = readMillis(object, prefix, "target_timeout_ms", timing.targetTimeout);
    timing.promise = readMillis(object, prefix, "promise_ms", timing.promise);
    if (timing.renewEvery * 2 > timing.session) {
        report(object, prefix + "renew_every_ms", "must be at most half of session_ms");
    }
    if (timing.grantEvery * 2 > timing.grant) {
        report(object, prefix + "grant_every_ms", "must be at most half of grant_ms");
    }
}

void settings_reader::readLog(const Json::Value &root, log_settings &log)
{
    const Json::Value &object = section(root, "log");
    reportUnknownNames(object, "log.", {"level", "json"});
    static const std::set<std::string> levels = {"debug", "info", "warn", "error"};
    const Json::Value &level = object["level"];
    if (level.isString() && levels.count(level.asString()) != 0) {
        log.level = level.asString();
    } else if (!level.isNull()) {
        report(level, "log.level", "must be one of debug, info, warn, error");
    }
    const Json::Value &json = object["json"];
    if (json.isBool()) {
        log.json = json.asBool();
    } else if (!json.isNull()) {
        report(json, "log.json", "must be true or false");
    }
}

void settings_reader::readLimits(const Json::Value &root, caller_limits &limits)
{
    constexpr std::int64_t maxBodyLimitBytes = std::int64_t{1} << 30;
    const Json::Value &object = section(root, "limits");
    const std::string prefix = "limits.";
    reportUnknownNames(object, prefix,
                       {"max_body_bytes", "max_waiting", "deadline_ms", "max_deadline_ms"});
    limits.maxBodyBytes =
        readInteger(object, prefix, "max_body_bytes", limits.maxBodyBytes, 1, maxBodyLimitBytes);
    limits.maxWaiting =
        static_cast<int>(readInteger(object, prefix, "max_waiting", limits.maxWaiting, 1, 1000000));
    limits.defaultDeadline = readMillis(object, prefix, "deadline_ms", limits.defaultDeadline);
    limits.maxDeadline = readMillis(object, prefix, "max_deadline_ms", limits.maxDeadline);
}

parsed<vm_settings> settings_reader::read()
{
    vm_settings settings;
    Json::Value root;
    if (!parseDocument(root)) {
        return {std::move(settings), std::move(m_diagnostics)};
    }
    reportUnknownNames(root, "",
                       {"vm", "data_center", "caller_address", "control_address", "admin_address",
                        "platform", "secret", "threads", "timing", "log", "limits"});
    settings.vm = vm_id(readText(root, "vm", true));
    settings.dataCenter = data_center_id(readText(root, "data_center", true));
    settings.callerAddress = readAddress(root, "caller_address");
    settings.controlAddress = readAddress(root, "control_address");
    settings.adminAddress = readAddress(root, "admin_address");
    settings.platformUrl = readText(root, "platform", true);
    if (!settings.platformUrl.empty() && settings.platformUrl.rfind("http://", 0) != 0) {
        report(root["platform"], "platform", "must be an address of the form http://IP:PORT");
    }
    settings.secret = readText(root, "secret", true);
    if (!settings.secret.empty() && settings.secret.size() < minSecretLength) {
        report(root["secret"], "secret", "must have at least 8 characters");
    }
    settings.threads = static_cast<int>(readInteger(root, "", "threads", settings.threads, 2, 256));
    readTiming(root, settings.timing);
    readLog(root, settings.log);
    readLimits(root, settings.limits);
    std::stable_sort(m_diagnostics.begin(), m_diagnostics.end(),
                     [](const diagnostic &a, const diagnostic &b) { return a.line < b.line; });
    return {std::move(settings), std::move(m_diagnostics)};
}

} // namespace internal

parsed<vm_settings> parseSettings(std::string_view text, std::string_view file)
{
    return internal::settings_reader(text, file).read();
}

} // namespace damaskward
