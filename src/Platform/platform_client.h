/// \file
/// \brief The platform's table and object store over HTTP.

#pragma once

#include "../Core/error.h"
#include "../Core/time.h"
#include "../Table/table.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// \class platform_client
/// \brief Asynchronous calls to the platform, and blocking ones for operators' commands.
///
/// Callbacks run on cpprest's threads and must not block. Thread-safe.
///
/// \code
/// platform_client platform("http://127.0.0.1:7000", "vm-1", milliseconds(400));
/// platform.commit(transaction, [](const commit_answer &answer) { ... });
/// \endcode
class platform_client
{
public:
    using commit_callback = std::function<void(const commit_answer &)>;
    using changes_callback = std::function<void(const std::optional<table_changes> &)>;

    /// \param url http://IP:PORT
    /// \param who names the asker to the platform
    /// \param timeout how long one call may take
    platform_client(const std::string &url, const std::string &who, milliseconds timeout);
    ~platform_client();

    /// Applies a transaction.
    void commit(const table_transaction &transaction, commit_callback done);
    /// Reads the rows below \a prefixes that changed after \a since.
    void readChanges(table_revision since, const std::vector<std::string> &prefixes,
                     changes_callback done);
    /// Reads rows by name; a row that does not exist is left out.
    void readRows(const std::vector<std::string> &names, changes_callback done);

    /// Blocking forms; not for cpprest's threads.
    result<commit_answer> commitNow(const table_transaction &transaction);
    result<table_changes> readChangesNow(table_revision since,
                                         const std::vector<std::string> &prefixes);
    result<std::string> getObject(const std::string &name);
    result<void> putObject(const std::string &name, const std::string &content);

    /// \returns the bytes of bodies sent and received so far.
    std::uint64_t bytes() const;

private:
    class connection;

    std::string m_url;
    std::shared_ptr<connection> m_connection; ///< shared with the answers still to come
};

/// The JSON forms of the table's messages, shared with whoever answers them.
std::string encodeTransaction(const table_transaction &transaction);
std::optional<table_transaction> decodeTransaction(std::string_view text);
std::string encodeCommitAnswer(const commit_answer &answer);
std::optional<commit_answer> decodeCommitAnswer(std::string_view text);
std::string encodeChanges(const table_changes &changes);
std::optional<table_changes> decodeChanges(std::string_view text);

} // namespace damaskward
