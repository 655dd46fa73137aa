/// \file
/// \brief The record of a run: what was sent, answered and run.

#pragma once

#include "wire.h"

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// \class recorder
/// \brief Writes lines with the time since the start of the run. Thread-safe.
class recorder
{
public:
    explicit recorder(const std::string &path)
        : m_file(path)
    { }

    void write(const std::string &line)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::chrono::duration<double> age = steady::now() - m_startedAt;
        m_file << std::fixed << age.count() << ' ' << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    time_point m_startedAt = steady::now();
};

} // namespace review
