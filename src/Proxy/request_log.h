/// \file
/// \brief Structured log output, bounded and non-blocking. Source: spdlog's formatting library.

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
/// \brief One log line: an event and its fields in JSON.
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
/// \brief Buffers log lines and writes them to a file descriptor without blocking.
///
/// Lines that exceed the rate limit of their event or do not fit into the buffer are dropped and
/// counted; the counts are logged. Event loop thread only.
class request_log
{
public:
    /// \param vm this VM's name, part of every line
    /// \param descriptor file descriptor to write to, or -1 to discard all lines
    explicit request_log(std::string vm, int descriptor = 1);
    ~request_log();

    void write(const log_line &line);
    /// Writes as much of the buffer as possible without blocking. Must be called periodically.
    void flush();
    std::uint64_t droppedCount() const { return m_dropped; }

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
    std::uint64_t m_droppedReported = 0;
};

} // namespace damaskward
