/// \file
/// \brief Client of the platform's table and object store over HTTP.

#pragma once

#include "../Core/error.h"
#include "../Core/time.h"
#include "../Table/table.h"
#include "../Transport/http_channel.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// \class platform_client
/// \brief Calls to the platform: asynchronous, and blocking for operators' commands.
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
    /// \param clientName sent to the platform with each request to identify this client
    /// \param timeout limit for one call
    /// \param channel sends the calls
    platform_client(const std::string &url, const std::string &clientName, milliseconds timeout,
                    http_channel &channel = http_channel::shared());
    ~platform_client();

    /// Commits a transaction; without an answer the outcome is \ref commit_outcome::Unknown.
    void commit(const table_transaction &transaction, commit_callback done);
    /// Reads the rows whose names start with one of \a prefixes and that changed after \a since.
    void readChanges(table_revision since, const std::vector<std::string> &prefixes,
                     changes_callback done);
    /// Reads rows by name; rows that do not exist are omitted.
    void readRows(const std::vector<std::string> &names, changes_callback done);

    /// Blocking calls; must not be made on cpprest's threads.
    result<commit_answer> commitBlocking(const table_transaction &transaction);
    result<table_changes> readChangesBlocking(table_revision since,
                                              const std::vector<std::string> &prefixes);
    result<std::string> getObject(const std::string &name);
    result<void> putObject(const std::string &name, const std::string &content);

    /// \returns the number of body bytes sent and received so far by the asynchronous calls.
    std::uint64_t bytes() const;

private:
    class connection;

    std::string m_url;
    /// Shared with calls in flight, which may outlive this object.
    std::shared_ptr<connection> m_connection;
};

/// JSON encoding of the table's messages, for clients and for servers of the table.
std::string encodeTransaction(const table_transaction &transaction);
std::optional<table_transaction> decodeTransaction(std::string_view text);
std::string encodeCommitAnswer(const commit_answer &answer);
std::optional<commit_answer> decodeCommitAnswer(std::string_view text);
std::string encodeChanges(const table_changes &changes);
std::optional<table_changes> decodeChanges(std::string_view text);

} // namespace damaskward
