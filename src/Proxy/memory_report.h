/// \file
/// \brief What a VM says about the memory that it holds.

#pragma once

#include "../Admission/memory_account.h"
#include "../Metrics/metrics.h"
#include "request_log.h"

#include <string>

namespace damaskward {

/// \class memory_report
/// \brief Writes the state of a memory_account to the metrics and to the log. Event loop thread
/// only.
class memory_report
{
public:
    memory_report(const memory_account &account, metrics &gauges, request_log &log)
        : m_account(account)
        , m_metrics(gauges)
        , m_log(log)
    { }

    void updateGauges()
    {
        for (std::size_t i = 0; i < heldKindCount; ++i) {
            const auto kind = static_cast<held_kind>(i);
            m_metrics.gauge(std::string("held_bytes_") + toString(kind),
                            static_cast<double>(m_account.heldBytes(kind)));
        }
        m_metrics.gauge("memory_refusals", static_cast<double>(m_account.refusalCount()));
    }
    /// Logs the refusals since the last call, if there were any. Must be called periodically.
    void writeLog()
    {
        const std::uint64_t refusals = m_account.refusalCount();
        if (refusals == m_loggedRefusals) {
            return;
        }
        m_log.write(log_line("memory short")
                        .add("refused", refusals - m_loggedRefusals)
                        .add("held", m_account.heldBytes())
                        .add("peak", m_account.peakBytes()));
        m_loggedRefusals = refusals;
    }

private:
    const memory_account &m_account;
    metrics &m_metrics;
    request_log &m_log;
    std::uint64_t m_loggedRefusals = 0;
};

} // namespace damaskward
