#include "log.h"

#include <json/writer.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <atomic>

namespace damaskward {
namespace internal {

std::atomic<bool> &jsonEnabled()
{
    static std::atomic<bool> enabled{false};
    return enabled;
}

} // namespace internal

void writeLogLine(spdlog::level::level_enum level, const std::string &part, const std::string &text)
{
    if (internal::jsonEnabled()) {
        spdlog::log(level, "{}", Json::valueToQuotedString((part + ": " + text).c_str()));
    } else {
        spdlog::log(level, "{}: {}", part, text);
    }
}

void configureLogging(const std::string &level, bool json, const std::string &vm)
{
    auto logger =
        std::make_shared<spdlog::logger>(vm, std::make_shared<spdlog::sinks::stderr_sink_mt>());
    spdlog::set_default_logger(logger);
    spdlog::set_level(spdlog::level::from_str(level));
    spdlog::flush_on(spdlog::level::info);
    internal::jsonEnabled() = json;
    if (json) {
        spdlog::set_pattern(
            R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","vm":"%n","message":%v})",
            spdlog::pattern_time_type::utc);
    } else {
        spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %n %l %v", spdlog::pattern_time_type::utc);
    }
}

} // namespace damaskward
