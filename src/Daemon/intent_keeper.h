/// \file
/// \brief Writes the records that make non-idempotent requests run at most once.

#pragma once

#include "../Platform/platform_client.h"
#include "../Requests/group_committer.h"
#include "../Requests/intent_row.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace damaskward {

/// How the attempt to record an intent ended.
struct intent_outcome
{
    enum class kind {
        Recorded, ///< the request may be sent, once
        Exists, ///< another attempt came first; \ref existing says how far it got
        Failed ///< it cannot be told; the request must not be sent
    };
    kind what = kind::Failed;
    row_version version = 0; ///< of the row when it was recorded
    intent_row existing;
};

/// \class intent_keeper
/// \brief Inserts, completes and withdraws intent rows, many in one transaction. Thread-safe.
///
/// When the answer to an insert is lost the row is read back and its token compared.
///
/// \code
/// intents.record(name, row, [](const intent_outcome &outcome) { ... });
/// \endcode
class intent_keeper : public std::enable_shared_from_this<intent_keeper>
{
public:
    using record_callback = std::function<void(const intent_outcome &)>;

    explicit intent_keeper(platform_client &platform)
        : m_platform(platform)
    { }

    /// Inserts a row.
    void record(const std::string &name, const intent_row &row, record_callback done);
    /// Replaces a row with its final form; \a done follows whether or not that worked.
    void complete(const std::string &name, row_version version, const intent_row &row,
                  std::function<void()> done);
    /// Deletes the row of a request that has surely not run; \a done follows in any case.
    void withdraw(const std::string &name, row_version version, std::function<void()> done);

private:
    using write_callback = std::function<void(const finished_write &)>;

    void write(const std::string &name, row_version expected, const std::string &value,
               write_callback done);
    void pump();
    void finish(const commit_answer &answer);
    void readBack(const std::string &name, const intent_row &row, const record_callback &done);

    platform_client &m_platform;
    std::mutex m_mutex;
    group_committer m_committer;
    std::map<std::uint64_t, write_callback> m_callbacks;
    std::uint64_t m_nextTicket = 0;
};

} // namespace damaskward
