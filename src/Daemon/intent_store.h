/// \file
/// \brief Writes the intent rows that make non-idempotent requests run at most once.

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

/// The outcome of recording an intent.
struct intent_outcome
{
    enum class kind {
        Recorded, ///< the request may be sent, once
        Exists, ///< another attempt recorded its intent first, see \ref existing
        Failed ///< unknown whether it was recorded; the request must not be sent
    };
    kind what = kind::Failed;
    row_version version = 0; ///< of the recorded row
    intent_row existing; ///< the other attempt's row, for \ref kind::Exists
};

/// \class intent_store
/// \brief Inserts, completes and withdraws intent rows, many in one transaction. Thread-safe.
///
/// If an insert is not known to be applied, for example because the answer was lost, the row is
/// read back: its token tells whether this attempt wrote it.
///
/// \code
/// intents.record(name, row, [](const intent_outcome &outcome) { ... });
/// \endcode
class intent_store : public std::enable_shared_from_this<intent_store>
{
public:
    using record_callback = std::function<void(const intent_outcome &)>;

    explicit intent_store(platform_client &platform)
        : m_platform(platform)
    { }

    /// Inserts a row. The request may be sent only if the outcome is \ref
    /// intent_outcome::kind::Recorded.
    void record(const std::string &name, const intent_row &row, record_callback done);
    /// Replaces a row with its final form; \a done is called whether or not that succeeds.
    void complete(const std::string &name, row_version version, const intent_row &row,
                  std::function<void()> done);
    /// Deletes the row of a request that is known not to have run; \a done is called whether or not
    /// that succeeds.
    void withdraw(const std::string &name, row_version version, std::function<void()> done);

private:
    using write_callback = std::function<void(const finished_write &)>;

    void write(const std::string &name, row_version expected, const std::string &value,
               write_callback done);
    void sendNext();
    void onCommitAnswer(const commit_answer &answer);
    void readBack(const std::string &name, const intent_row &row, const record_callback &done);

    platform_client &m_platform;
    std::mutex m_mutex;
    group_committer m_committer;
    std::map<std::uint64_t, write_callback> m_callbacks;
    std::uint64_t m_nextTicket = 0;
};

} // namespace damaskward
