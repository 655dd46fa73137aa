#include "request_log.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <chrono>

namespace damaskward {
namespace {

constexpr std::size_t maxBufferedBytes = 262144;
/// A buffer of at least this size is written immediately; a smaller one waits for flush().
constexpr std::size_t flushBytes = 32768;
/// Rate limit for each event: above the request rate of one VM, below that of an error storm.
constexpr int maxLinesPerSecond = 300;

std::int64_t wallMillis()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

log_line &log_line::add(std::string_view name, std::string_view value)
{
    fmt::format_to(std::back_inserter(m_text), R"(,"{}":")", name);
    constexpr std::size_t maxValueBytes = 300;
    for (const char c : value.substr(0, maxValueBytes)) {
        const auto byte = static_cast<unsigned char>(c);
        constexpr unsigned char firstPrintable = 0x20;
        constexpr unsigned char lastPrintable = 0x7e;
        if (c == '"' || c == '\\') {
            m_text += '\\';
            m_text += c;
        } else if (byte < firstPrintable || byte > lastPrintable) {
            fmt::format_to(std::back_inserter(m_text), "\\u{:04x}", byte);
        } else {
            m_text += c;
        }
    }
    m_text += '"';
    return *this;
}

request_log::request_log(std::string vm, int descriptor)
    : m_vm(std::move(vm))
    , m_descriptor(descriptor)
{ }

request_log::~request_log()
{
    flush();
}

bool request_log::admit(const std::string &event, time_point now)
{
    event_rate &rate = m_rates[event];
    if (now >= rate.windowEnd) {
        const int suppressed = rate.suppressed;
        rate = {now + seconds(1), 0, 0};
        if (suppressed > 0) {
            append(fmt::format(R"("event":"suppressed","of":"{}","lines":{})", event, suppressed));
        }
    }
    if (++rate.count > maxLinesPerSecond) {
        ++rate.suppressed;
        ++m_dropped;
        return false;
    }
    return true;
}

void request_log::write(const log_line &line)
{
    if (m_descriptor < 0 || !admit(line.event(), mono_clock::now())) {
        return;
    }
    append(line.text());
    if (m_buffer.size() >= flushBytes) {
        flush();
    }
}

void request_log::append(std::string_view text)
{
    if (m_buffer.size() + text.size() > maxBufferedBytes) {
        ++m_dropped;
        return;
    }
    fmt::format_to(std::back_inserter(m_buffer), "{{\"t\":{},\"vm\":\"{}\",{}}}\n", wallMillis(),
                   m_vm, text);
}

void request_log::flush()
{
    while (!m_buffer.empty()) {
        pollfd out{m_descriptor, POLLOUT, 0};
        if (::poll(&out, 1, 0) <= 0 || (out.revents & POLLOUT) == 0) {
            return;
        }
        // A pipe that poll() reports as writable accepts at least this many bytes without blocking.
        constexpr std::size_t pipeBytes = 4096;
        const auto written =
            ::write(m_descriptor, m_buffer.data(), std::min(m_buffer.size(), pipeBytes));
        if (written <= 0) {
            return;
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
        if (m_dropped != m_droppedReported && m_buffer.empty()) {
            m_droppedReported = m_dropped;
            append(fmt::format(R"("event":"log dropped","lines":{})", m_dropped));
        }
    }
}

} // namespace damaskward
