/// \file
/// \brief The platform's store in memory.

#pragma once

#include "wire.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// \class store
/// \brief Keeps rows and serves reads, feeds and transactions as the platform's pages describe.
///
/// Each VM has an address of its own, so that single VMs can be cut off.
class store
{
public:
    explicit store(const std::vector<std::string> &addresses);
    ~store();

    /// Cuts the VM with address number \a vm off: its calls are neither performed nor answered.
    void cut(std::size_t vm);
    /// Ends a cut. The connections that were open meanwhile are reset.
    void heal(std::size_t vm);
    /// \returns which VM has read the entries of the servers last.
    std::size_t lastReader();
    /// \returns how often the entries of the servers have been read.
    int readCount();

    void put(const std::string &table, const std::string &key, const nlohmann::json &value);
    void drop(const std::string &table, const std::string &key);
    /// \returns the value of a row as text, empty if there is none.
    std::string get(const std::string &table, const std::string &key);

private:
    using json = nlohmann::json;
    using row_key = std::pair<std::string, std::string>; ///< table and key

    struct row
    {
        std::string value; ///< in base64
        std::uint64_t version = 0;
        bool isDeleted = false;
    };

    void serve(std::size_t vm, const http_message &request, connection &caller);
    std::string answerTo(const http_message &request);
    bool isCut(std::size_t vm);
    std::string readRows(const std::map<std::string, std::string> &query);
    std::string feed(const std::map<std::string, std::string> &query);
    std::string transact(const std::string &text);
    json rowJson(const row_key &key, const row &r) const;
    std::string rowsAnswer(json rows) const;

    std::mutex m_mutex; ///< guards the rows
    std::condition_variable m_changed;
    std::map<row_key, row> m_rows;
    std::uint64_t m_version = 0;
    time_point m_startedAt = steady::now();
    bool m_isStopping = false;
    std::set<std::size_t> m_cut;
    std::size_t m_lastReader = 0;
    int m_readCount = 0;
    std::list<http_server> m_servers; ///< last, since their threads use the rows
};

} // namespace review
