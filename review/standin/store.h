/// \file
/// \brief A stand-in for the platform's store: rows, transactions and the feed of changes.

#pragma once

#include "http.h"
#include "run_record.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace damaskward::review {

/// Keeps the rows of all tables in memory, each in the part without a name.
class store
{
public:
    explicit store(const std::string &ip);
    ~store();
    store(const store &) = delete;
    store &operator=(const store &) = delete;

    std::string address() const { return m_server.address(); }

    /// Writes a row for the operator or for a backend.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void erase(const std::string &table, const std::string &key);

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };
    using row_key = std::pair<std::string, std::string>; // Table and key.

    void serve(http_stream &stream);
    std::string answer(const http_message &request);
    std::string get(const std::map<std::string, std::string> &query);
    std::string feed(const std::map<std::string, std::string> &query);
    std::string transact(const std::string &text);
    std::string rowsText(const std::string &list, bool hasMore) const;
    static std::string rowText(const row_key &key, const row &r);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<row_key, row> m_rows;
    std::uint64_t m_version = 1;
    bool m_isStopping = false;
    http_server m_server;
};

} // namespace damaskward::review
