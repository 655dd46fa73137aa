#include "scenario.h"

#include <nlohmann/json.hpp>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <unistd.h>

namespace damaskward::review {
namespace {

using nlohmann::json;

constexpr const char *host = "desk.example";
constexpr const char *zone = "gl-erie";

std::string makeFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    return path;
}

/// \returns loopback address number \a number of this process.
std::string loopbackIp(int number)
{
    constexpr int addressesPerByte = 250;
    const int process = static_cast<int>(::getpid());
    return "127." + std::to_string(1 + process / addressesPerByte % addressesPerByte) + "."
        + std::to_string(1 + process % addressesPerByte) + "." + std::to_string(number);
}

json routeOf(const char *prefix, const char *kind, const char *service)
{
    return {{"host", host},       {"prefix", prefix}, {"kind", kind},
            {"timeoutMs", 3000},  {"priority", 1},    {"targetLatencyMs", 500},
            {"service", service}, {"maxAttempts", 2}, {"public", true}};
}

json serviceOf(bool sharded)
{
    json service = {{"healthPath", "/health"}, {"maxConnections", 130},
                    {"protocol", "h1"},        {"tls", false},
                    {"warmupS", 3.0},          {"warmupPerS", 3.5}};
    if (sharded) {
        service["sharded"] = true;
        service["warmS"] = 2.0;
        service["grants"] = "direct";
    }
    return service;
}

} // namespace

std::string textOf(const call_outcome &outcome)
{
    if (outcome.isAnswered) {
        return std::to_string(outcome.status);
    }
    return outcome.isClosed ? "connection closed, no answer"
                            : "no connection, or no answer in time";
}

call_outcome caller::call(const std::string &method, const std::string &path, const std::string &id,
                          const std::string &fields, int budgetMs)
{
    call_outcome outcome;
    if (!m_stream) {
        const int descriptor = http_stream::connectTo(m_node.ip, m_node.callerPort);
        if (descriptor < 0) {
            return outcome;
        }
        m_stream = std::make_unique<http_stream>(descriptor);
    }
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(budgetMs) + "\r\n" + fields;
    if (method == "POST") {
        text += "Content-Length: 0\r\n";
    }
    m_record.line("request " + id + " " + method + " " + path + " is sent to " + m_node.name);
    http_message answer;
    outcome.isAnswered = m_stream->write(text + "\r\n") && m_stream->read(answer, budgetMs);
    outcome.isClosed = !outcome.isAnswered && !m_stream->isTimedOut();
    outcome.status = answer.status;
    m_record.line("request " + id + ": " + textOf(outcome));
    if (!outcome.isAnswered || answer.field("connection") == "close") {
        m_stream.reset();
    }
    return outcome;
}

scenario::scenario(const std::string &recordPath, int nodeCount)
    : m_folder(makeFolder())
    , m_record(recordPath)
    , m_backendIp(loopbackIp(2))
    , m_store(std::make_unique<store>(loopbackIp(1)))
{
    std::vector<node_place> places;
    places.reserve(static_cast<std::size_t>(nodeCount));
    for (int i = 0; i < nodeCount; ++i) {
        places.push_back(
            findPlace("front-gl-erie-" + std::to_string(i + 1), zone, loopbackIp(10 + i)));
    }
    for (const node_place &place : places) {
        m_nodes.push_back(
            std::make_unique<node_process>(m_record, place, m_folder, m_store->address(), places));
    }
    m_record.line(hasTrouble() ? "with the disruption" : "without the disruption");
}

scenario::~scenario()
{
    stop();
    std::error_code ignored; // A folder that stays is of no further consequence.
    std::filesystem::remove_all(m_folder, ignored);
}

backend &scenario::addBackend(const std::string &id, const std::string &service, bool sharded,
                              int slots)
{
    backend_options options;
    options.id = id;
    options.service = service;
    options.zone = zone;
    options.ip = m_backendIp;
    options.sharded = sharded;
    options.slots = slots;
    m_backends.push_back(std::make_unique<backend>(*m_store, m_record, options));
    return *m_backends.back();
}

void scenario::writeConfig()
{
    const json config = {
        {"version", "r7"},
        {"routes",
         {{"r-ledger", routeOf(ledgerRoute, "unsafe", "ledger")},
          {"r-archive", routeOf(archiveRoute, "safe", "archive")},
          {"r-ranks", routeOf(ranksRoute, "safe", "ranks")}}},
        {"services",
         {{"ledger", serviceOf(false)}, {"archive", serviceOf(false)}, {"ranks", serviceOf(true)}}},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 67108864},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}}};
    m_store->put("op", "config", config.dump());
}

bool scenario::startNodes()
{
    constexpr milliseconds startTimeout{20000};
    for (const auto &node : m_nodes) {
        node->start();
    }
    for (const auto &node : m_nodes) {
        if (!node->waitUntilReady(startTimeout)) {
            m_record.line("node " + node->place().name + " does not become ready");
            return false;
        }
    }
    return true;
}

void scenario::stop()
{
    m_nodes.clear();
    m_backends.clear();
    m_store.reset();
}

bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace damaskward::review
