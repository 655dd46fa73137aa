/// \file
/// \brief The record of one run: what was sent, answered and run.

#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace damaskward::review {

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;
using std::chrono::milliseconds;

/// Writes lines with the milliseconds since the start of the run. Thread-safe.
class run_record
{
public:
    explicit run_record(const std::string &path)
        : m_file(path)
        , m_startedAt(clock_type::now())
    { }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << millisAt(clock_type::now()) << " ms  " << text << std::endl;
    }

    long millisAt(time_point at) const
    {
        return std::chrono::duration_cast<milliseconds>(at - m_startedAt).count();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    time_point m_startedAt;
};

} // namespace damaskward::review
