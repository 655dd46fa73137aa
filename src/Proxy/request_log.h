/// \file
/// \brief Structured log lines, bounded and never blocking. Source: spdlog's formatting library.

#pragma once

#include "../Core/time.h"

#include <spdlog/fmt/fmt.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace damaskward {

/// \class log_line
/// \brief One line: a JSON object of names and values.
///
/// \code
/// log.write(log_line("refuse").add("id", id).add("reason", "no token"));
/// \endcode
class log_line
{
public:
    explicit log_line(std::string_view event)
        : m_event(event)
    {
        fmt::format_to(std::back_inserter(m_text), R"("event":"{}")", event);
    }

    log_line &add(std::string_view name, std::string_view value);
    log_line &add(std::string_view name, const char *value)
    {
        return add(name, std::string_view(value));
    }
    log_line &add(std::string_view name, const std::string &value)
    {
        return add(name, std::string_view(value));
    }
    template <typename Number>
    log_line &add(std::string_view name, Number value)
    {
        fmt::format_to(std::back_inserter(m_text), R"(,"{}":{})", name, value);
        return *this;
    }

    const std::string &event() const { return m_event; }
    const std::string &text() const { return m_text; }

private:
    std::string m_event;
    std::string m_text;
};

/// \class request_log
/// \brief Collects lines and writes them to standard output when it can take them.
///
/// Lines of one event beyond its rate, and lines that find the buffer full, are dropped and
/// counted; the counts are written as a line of their own. For the event loop's thread.
class request_log
{
public:
    /// \param vm the VM's name, which stands in every line
    /// \param descriptor where lines go, or -1 to keep none
    explicit request_log(std::string vm, int descriptor = 1);
    ~request_log();

    void write(const log_line &line);
    /// Writes what is buffered, as far as standard output takes it at once. To be called often.
    void flush();
    std::uint64_t dropped() const { return m_dropped; }

private:
    struct event_rate
    {
        time_point windowEnd{};
        int count = 0;
        int suppressed = 0;
    };

    bool admit(const std::string &event, time_point now);
    void append(std::string_view text);

    std::string m_vm;
    int m_descriptor;
    std::string m_buffer;
    std::map<std::string, event_rate, std::less<>> m_rates;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedTold = 0;
};

} // namespace damaskward
