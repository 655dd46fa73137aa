/// \file
/// \brief Logging with a fixed prefix for each component, based on spdlog.

#pragma once

#include <spdlog/fmt/ostr.h>
#include <spdlog/spdlog.h>

#include <string>

namespace damaskward {

/// Writes one log line. In JSON format the text is escaped.
void writeLogLine(spdlog::level::level_enum level, const std::string &part,
                  const std::string &text);

/// \class component_log
/// \brief The log of one component of the program. Thread-safe.
///
/// \code
/// component_log log("session");
/// log.info("Session {} started.", term);
/// \endcode
class component_log
{
public:
    /// \param part the name of the component, used as the prefix of its lines
    explicit component_log(std::string part)
        : m_part(std::move(part))
    { }

    template <typename... Args>
    void debug(const char *format, const Args &...args) const
    {
        write(spdlog::level::debug, format, args...);
    }
    template <typename... Args>
    void info(const char *format, const Args &...args) const
    {
        write(spdlog::level::info, format, args...);
    }
    template <typename... Args>
    void warn(const char *format, const Args &...args) const
    {
        write(spdlog::level::warn, format, args...);
    }
    template <typename... Args>
    void error(const char *format, const Args &...args) const
    {
        write(spdlog::level::err, format, args...);
    }

private:
    template <typename... Args>
    void write(spdlog::level::level_enum level, const char *format, const Args &...args) const
    {
        if (spdlog::should_log(level)) {
            writeLogLine(level, m_part, fmt::format(fmt::runtime(format), args...));
        }
    }

    std::string m_part;
};

/// Configures the process to log to standard error.
/// \param level debug, info, warn or error
/// \param json whether to write one JSON object per line instead of text
/// \param vm the VM's name, which is written in each line
void configureLogging(const std::string &level, bool json, const std::string &vm);

} // namespace damaskward
