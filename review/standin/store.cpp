#include "store.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdlib>

namespace damaskward::review {
namespace {

using nlohmann::json;

constexpr int idleTimeoutMs = 120000;
constexpr const char *jsonField = "Content-Type: application/json\r\n";

constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U
                | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            const bool isPadding = j > bytes.size() - i;
            text += isPadding ? '=' : digits[group >> (18U - 6U * j) & 63U];
        }
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char c : text) {
        const std::size_t digit = digits.find(c);
        if (digit == std::string_view::npos) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

std::string percentDecoded(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string part =
            target.substr(at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
        const std::size_t equals = part.find('=');
        query[part.substr(0, equals)] =
            equals == std::string::npos ? std::string() : percentDecoded(part.substr(equals + 1));
        at = end;
    }
    return query;
}

} // namespace

store::store(const std::string &ip)
    : m_server(ip, [this](http_stream &stream) { serve(stream); })
{ }

store::~store()
{
    const std::lock_guard lock(m_mutex);
    m_isStopping = true;
    m_changed.notify_all();
}

void store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{table, key}] = {value, ++m_version, false};
    m_changed.notify_all();
}

void store::erase(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_rows.find({table, key});
    if (it != m_rows.end()) {
        it->second = {{}, ++m_version, true};
    }
    m_changed.notify_all();
}

void store::serve(http_stream &stream)
{
    http_message request;
    while (stream.read(request, idleTimeoutMs) && stream.write(answer(request))) { }
}

std::string store::answer(const http_message &request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    const auto query = queryOf(request.target);
    if (request.method == "GET" && path == "/rows-get") {
        return get(query);
    }
    if (request.method == "GET" && path == "/rows-feed") {
        return feed(query);
    }
    if (request.method == "POST" && path == "/rows-tx") {
        return transact(request.body);
    }
    return answerText(404, {}, {});
}

std::string store::rowText(const row_key &key, const row &r)
{
    json value = {{"table", key.first}, {"part", ""}, {"key", key.second}, {"ver", r.version}};
    if (r.isDeleted) {
        value["tombstone"] = true;
    } else {
        value["value"] = toBase64(r.value);
    }
    return value.dump();
}

std::string store::rowsText(const std::string &list, bool hasMore) const
{
    return answerText(200, jsonField,
                      R"({"rows":[)" + list + R"(],"hasMore":)" + (hasMore ? "true" : "false")
                          + R"(,"ver":)" + std::to_string(m_version) + R"(,"nowMs":1})");
}

std::string store::get(const std::map<std::string, std::string> &query)
{
    const auto argument = [&query](const char *name) {
        const auto it = query.find(name);
        return it == query.end() ? std::string() : it->second;
    };
    const std::lock_guard lock(m_mutex);
    std::string list;
    for (const auto &[key, r] : m_rows) {
        const std::string end = argument("target");
        if (key.first == argument("table") && !r.isDeleted && key.second >= argument("from")
            && (end.empty() || key.second < end)) {
            list += (list.empty() ? "" : ",") + rowText(key, r);
        }
    }
    return rowsText(list, false);
}

std::string store::feed(const std::map<std::string, std::string> &query)
{
    const std::uint64_t after = std::strtoull(query.at("after").c_str(), nullptr, 10);
    const auto until = clock_type::now() + milliseconds(std::atoi(query.at("waitMs").c_str()));
    std::unique_lock lock(m_mutex);
    std::string list;
    while (list.empty() && !m_isStopping) {
        for (const auto &[key, r] : m_rows) {
            if (key.first == query.at("table") && r.version > after) {
                list += (list.empty() ? "" : ",") + rowText(key, r);
            }
        }
        if (list.empty() && m_changed.wait_until(lock, until) == std::cv_status::timeout) {
            break;
        }
    }
    return rowsText(list, false);
}

std::string store::transact(const std::string &text)
{
    const json body = json::parse(text);
    const std::lock_guard lock(m_mutex);
    std::string conflicts;
    bool isConflict = false;
    for (const json &check : body["expectedRev"]) {
        const row_key key(check["table"], check["key"]);
        const auto it = m_rows.find(key);
        const bool exists = it != m_rows.end() && !it->second.isDeleted;
        isConflict = isConflict || (exists ? it->second.version : 0) != check["ver"];
        if (exists) {
            conflicts += (conflicts.empty() ? "" : ",") + rowText(key, it->second);
        }
    }
    if (isConflict) {
        return answerText(412, jsonField, R"({"rows":[)" + conflicts + "]}");
    }
    ++m_version;
    for (const json &set : body["setKeys"]) {
        m_rows[{set["table"], set["key"]}] = {fromBase64(set["value"]), m_version, false};
    }
    for (const json &dropped : body["deleteKeys"]) {
        m_rows[{dropped["table"], dropped["key"]}] = {{}, m_version, true};
    }
    m_changed.notify_all();
    return answerText(200, jsonField, R"({"ver":)" + std::to_string(m_version) + R"(,"nowMs":1})");
}

} // namespace damaskward::review
