/// \file
/// \brief The platform's store in memory, over HTTP, as damaskward-node calls it.

#pragma once

#include "transport_fixture.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace damaskward {
namespace testing {

/// \class store_standin
/// \brief Keeps rows and serves reads, change feeds and transactions. Thread-safe.
class store_standin
{
public:
    store_standin();
    ~store_standin();

    void put(const std::string &table, const std::string &key, const std::string &value);

    const std::string address;

private:
    using json = nlohmann::json;
    using row_key = std::pair<std::string, std::string>; ///< table and key

    struct row
    {
        std::string value; ///< in base64, as on the wire
        std::uint64_t version = 0;
        bool isDeleted = false;
    };

    void serve(const std::shared_ptr<http_exchange> &exchange);
    void serveFeed(const std::shared_ptr<http_exchange> &exchange, const std::string &table,
                   std::uint64_t after, time_point until);
    void answerRows(http_exchange &exchange, json rows) const;
    json rowsOf(const std::string &table, const std::string &from, const std::string &end) const;
    json rowsAfter(const std::string &table, std::uint64_t after) const;
    http_answer transact(const std::string &text);

    mutable std::mutex m_mutex; ///< guards the rows and the version
    std::map<row_key, row> m_rows;
    std::uint64_t m_version = 0;
    loop_thread m_loop;
    std::unique_ptr<http_listener> m_listener;
};

} // namespace testing
} // namespace damaskward
