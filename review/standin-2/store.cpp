#include "store.h"

#include <array>
#include <cstdlib>
#include <sstream>

namespace review {
namespace {

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
/// Time of a transaction.
constexpr milliseconds transactionTime{5};
constexpr int good = 200;
constexpr int conflict = 412;
constexpr int unknownPath = 404;

std::string toBase64(const std::string &bytes)
{
    std::string text;
    unsigned bits = 0;
    int count = 0;
    for (const char c : bytes) {
        bits = (bits << 8U) | static_cast<unsigned char>(c);
        for (count += 8; count >= 6; count -= 6) {
            text += alphabet[(bits >> static_cast<unsigned>(count - 6)) & 63U];
        }
    }
    if (count > 0) {
        text += alphabet[(bits << static_cast<unsigned>(6 - count)) & 63U];
    }
    text.append((4 - text.size() % 4) % 4, '=');
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes;
    unsigned bits = 0;
    int count = 0;
    for (const char c : text) {
        const std::size_t value = alphabet.find(c);
        if (value == std::string_view::npos) {
            break;
        }
        bits = (bits << 6U) | static_cast<unsigned>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
        }
    }
    return bytes;
}

std::string decodePercent(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            constexpr int hexadecimal = 16;
            result +=
                static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, hexadecimal));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    std::istringstream parts(mark == std::string::npos ? std::string() : target.substr(mark + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        const std::size_t equals = part.find('=');
        query[part.substr(0, equals)] = decodePercent(part.substr(equals + 1));
    }
    return query;
}

} // namespace

store::store(const std::vector<std::string> &addresses)
{
    for (std::size_t vm = 0; vm < addresses.size(); ++vm) {
        m_servers.emplace_back(addresses[vm],
                               [this, vm](const http_message &request, connection &caller) {
                                   serve(vm, request, caller);
                               });
    }
}

store::~store()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
        m_cut.clear();
    }
    m_changed.notify_all();
    for (http_server &server : m_servers) {
        server.stop();
    }
}

void store::cut(std::size_t vm)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_cut.insert(vm);
}

void store::heal(std::size_t vm)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_cut.erase(vm);
    m_changed.notify_all();
}

bool store::isCut(std::size_t vm)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_cut.count(vm) != 0;
}

std::size_t store::lastReader()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_lastReader;
}

int store::readCount()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_readCount;
}

void store::put(const std::string &table, const std::string &key, const json &value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_rows[{table, key}] = {toBase64(value.dump()), ++m_version, false};
    m_changed.notify_all();
}

void store::drop(const std::string &table, const std::string &key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_rows[{table, key}] = {{}, ++m_version, true};
    m_changed.notify_all();
}

std::string store::get(const std::string &table, const std::string &key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_rows.find({table, key});
    return it == m_rows.end() ? std::string() : fromBase64(it->second.value);
}

void store::serve(std::size_t vm, const http_message &request, connection &caller)
{
    std::string text;
    if (!isCut(vm)) {
        text = answerTo(request);
    }
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_cut.count(vm) != 0 || text.empty()) {
        m_changed.wait(lock, [this, vm] { return m_cut.count(vm) == 0; });
        caller.reset();
        return;
    }
    if (request.word(1).find("/rows-get?table=servers&") == 0) {
        m_lastReader = vm;
        ++m_readCount;
    }
    lock.unlock();
    caller.write(text);
}

std::string store::answerTo(const http_message &request)
{
    const std::string target = request.word(1);
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/rows-get") {
        return readRows(parseQuery(target));
    }
    if (path == "/rows-feed") {
        return feed(parseQuery(target));
    }
    if (path == "/rows-tx") {
        std::this_thread::sleep_for(transactionTime);
        return transact(request.body);
    }
    return answerText(unknownPath, "", "");
}

nlohmann::json store::rowJson(const row_key &key, const row &r) const
{
    json result = {{"table", key.first}, {"part", ""}, {"key", key.second}, {"ver", r.version}};
    if (r.isDeleted) {
        result["tombstone"] = true;
    } else {
        result["value"] = r.value;
    }
    return result;
}

std::string store::rowsAnswer(json rows) const
{
    const auto age = std::chrono::duration_cast<milliseconds>(steady::now() - m_startedAt);
    const json body = {
        {"rows", std::move(rows)}, {"hasMore", false}, {"ver", m_version}, {"nowMs", age.count()}};
    return answerText(good, "Content-Type: application/json\r\n", body.dump());
}

std::string store::readRows(const std::map<std::string, std::string> &query)
{
    const auto valueOf = [&query](const char *name) {
        const auto it = query.find(name);
        return it == query.end() ? std::string() : it->second;
    };
    const std::string from = valueOf("from");
    const std::string end = valueOf("target");
    json rows = json::array();
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto &[key, r] : m_rows) {
        if (key.first == valueOf("table") && !r.isDeleted && key.second >= from
            && (end.empty() || key.second < end)) {
            rows.push_back(rowJson(key, r));
        }
    }
    return rowsAnswer(std::move(rows));
}

std::string store::feed(const std::map<std::string, std::string> &query)
{
    const std::string table = query.at("table");
    const std::uint64_t after = std::stoull(query.at("after"));
    const time_point until = steady::now() + milliseconds(std::stoi(query.at("waitMs")));
    std::unique_lock<std::mutex> lock(m_mutex);
    for (;;) {
        std::multimap<std::uint64_t, json> changed; // In the order of their versions.
        for (const auto &[key, r] : m_rows) {
            if (key.first == table && r.version > after) {
                changed.emplace(r.version, rowJson(key, r));
            }
        }
        if (!changed.empty() || m_isStopping || steady::now() >= until) {
            json rows = json::array();
            for (auto &[version, entry] : changed) {
                rows.push_back(std::move(entry));
            }
            return rowsAnswer(std::move(rows));
        }
        m_changed.wait_until(lock, until);
    }
}

std::string store::transact(const std::string &text)
{
    const json body = json::parse(text);
    const auto keyOf = [](const json &item) { return row_key(item.at("table"), item.at("key")); };
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const json &check : body.at("expectedRev")) {
        const auto it = m_rows.find(keyOf(check));
        const bool isPresent = it != m_rows.end() && !it->second.isDeleted;
        if ((isPresent ? it->second.version : 0) != check.at("ver").get<std::uint64_t>()) {
            json rows = json::array();
            if (isPresent) {
                rows.push_back(rowJson(it->first, it->second));
            }
            return answerText(conflict, "", json{{"rows", rows}}.dump());
        }
    }
    ++m_version;
    for (const json &put : body.at("setKeys")) {
        m_rows[keyOf(put)] = {put.at("value"), m_version, false};
    }
    for (const json &erased : body.at("deleteKeys")) {
        m_rows[keyOf(erased)] = {{}, m_version, true};
    }
    m_changed.notify_all();
    return answerText(good, "", json{{"ver", m_version}, {"nowMs", 0}}.dump());
}

} // namespace review
