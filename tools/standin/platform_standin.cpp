// A stand-in for the platform: table, object store and a delayed list of VMs. POST /admin/behave
// makes it unavailable or slow, or makes it answer commits 504 after applying them.

#include "damaskward/Platform"
#include "damaskward/Transport"
#include "memory_table.h"
#include "tools/common/process.h"
#include "with_body.h"

#include <gflags/gflags.h>

#include <deque>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <thread>

DEFINE_string(address, "127.0.0.1:7000", "IP:PORT to listen on");
DEFINE_int32(threads, 8, "threads that serve the network");
DEFINE_uint64(seed, 1, "seed for choosing the commits that are answered 504");
DEFINE_int32(list_lag_ms, 5000, "delay in ms before readers see a change of the list of VMs");

namespace damaskward {
namespace standin {

using web::http::http_request;
using web::http::http_response;
using web::http::methods;
using web::http::status_codes;

/// The faults that the stand-in injects.
struct platform_faults
{
    bool down = false;
    std::int64_t slowMillis = 0;
    std::int64_t slowAnswerMillis = 0; ///< delay from applying a commit to its response
    double loseAnswers = 0.0; ///< probability that a commit is answered 504 after it was applied
    std::set<std::string> cutVms; ///< VMs whose requests are refused
};

/// A change of the list of VMs, visible to readers from visibleAt on.
struct vm_list_change
{
    time_point visibleAt;
    std::string vm;
    std::string state;
};

/// \class platform
/// \brief Serves the protocol of the platform.
class platform
{
public:
    explicit platform(std::uint64_t seed)
        : m_random(seed)
    { }

    void handle(const http_request &request)
    {
        withBody(request,
                 [this](const http_request &r, const std::string &body) { dispatch(r, body); });
    }

private:
    void dispatch(const http_request &request, const std::string &body)
    {
        const std::string path = request.relative_uri().path();
        if (path == "/admin/behave") {
            setFaults(request, body);
            return;
        }
        if (path == "/admin/counts") {
            sendReply(request, makeJson(status_codes::OK, counts()));
            return;
        }
        std::int64_t slowMillis = 0;
        std::int64_t slowAnswerMillis = 0;
        {
            const std::lock_guard lock(m_mutex);
            const std::string vm = headerText(request.headers(), header::vm);
            if (m_faults.down || m_faults.cutVms.count(vm) != 0) {
                sendReply(request, makeJson(status_codes::ServiceUnavailable, "down"));
                return;
            }
            slowMillis = m_faults.slowMillis;
            slowAnswerMillis = path == "/table/commit" ? m_faults.slowAnswerMillis : 0;
        }
        if (slowMillis > 0) {
            std::this_thread::sleep_for(milliseconds(slowMillis));
        }
        const http_response response = answer(request, path, body);
        if (slowAnswerMillis > 0) {
            std::this_thread::sleep_for(milliseconds(slowAnswerMillis));
        }
        sendReply(request, response);
    }

    http_response answer(const http_request &request, const std::string &path,
                         const std::string &body)
    {
        const std::lock_guard lock(m_mutex);
        if (path == "/table/commit") {
            return commit(body);
        }
        if (path == "/table/changes") {
            return changes(body);
        }
        if (path == "/table/read") {
            return read(body);
        }
        if (path.rfind("/objects/", 0) == 0) {
            return object(request, path.substr(std::string("/objects/").size()), body);
        }
        if (path == "/vms") {
            return vms(request, body);
        }
        return http_response(status_codes::NotFound);
    }

    http_response commit(const std::string &body)
    {
        ++m_commits;
        const std::optional<table_transaction> transaction = decodeTransaction(body);
        if (!transaction) {
            return http_response(status_codes::BadRequest);
        }
        const commit_answer answer = m_table.commit(*transaction);
        const bool answerIsLost = std::bernoulli_distribution(m_faults.loseAnswers)(m_random);
        if (answerIsLost) {
            return http_response(status_codes::GatewayTimeout);
        }
        return makeJson(status_codes::OK, encodeCommitAnswer(answer));
    }

    http_response changes(const std::string &body)
    {
        ++m_reads;
        const std::optional<Json::Value> value = readJsonObject(body);
        if (!value) {
            return http_response(status_codes::BadRequest);
        }
        std::vector<std::string> prefixes;
        for (const Json::Value &prefix : (*value)["prefixes"]) {
            prefixes.push_back(prefix.asString());
        }
        const table_changes found = m_table.changes(jsonUnsigned(*value, "since"), prefixes);
        return makeJson(status_codes::OK, encodeChanges(found));
    }

    http_response read(const std::string &body)
    {
        ++m_reads;
        const std::optional<Json::Value> value = readJsonObject(body);
        if (!value) {
            return http_response(status_codes::BadRequest);
        }
        std::vector<std::string> names;
        for (const Json::Value &name : (*value)["names"]) {
            names.push_back(name.asString());
        }
        return makeJson(status_codes::OK, encodeChanges(m_table.read(names)));
    }

    http_response object(const http_request &request, const std::string &name,
                         const std::string &body)
    {
        if (request.method() == methods::PUT) {
            m_objects[name] = body;
            return http_response(status_codes::OK);
        }
        const auto found = m_objects.find(name);
        if (found == m_objects.end()) {
            return http_response(status_codes::NotFound);
        }
        http_response response(status_codes::OK);
        response.set_body(found->second, "application/octet-stream");
        return response;
    }

    http_response vms(const http_request &request, const std::string &body)
    {
        const time_point now = mono_clock::now();
        if (request.method() == methods::POST) {
            const std::optional<Json::Value> value = readJsonObject(body);
            if (!value) {
                return http_response(status_codes::BadRequest);
            }
            m_vmListChanges.push_back({now + milliseconds(FLAGS_list_lag_ms),
                                       jsonText(*value, "vm"), jsonText(*value, "state")});
            return http_response(status_codes::OK);
        }
        Json::Value list(Json::objectValue);
        for (const vm_list_change &entry : m_vmListChanges) {
            if (entry.visibleAt <= now) {
                list[entry.vm] = entry.state;
            }
        }
        return makeJson(status_codes::OK, writeJson(list));
    }

    void setFaults(const http_request &request, const std::string &body)
    {
        const std::optional<Json::Value> value = readJsonObject(body);
        if (!value) {
            sendReply(request, http_response(status_codes::BadRequest));
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_faults.down = jsonBool(*value, "down");
            m_faults.slowMillis = jsonSigned(*value, "slow_ms");
            m_faults.slowAnswerMillis = jsonSigned(*value, "slow_answer_ms");
            m_faults.loseAnswers = jsonNumber(*value, "lose_answers");
            m_faults.cutVms.clear();
            for (const Json::Value &vm : (*value)["cut"]) {
                m_faults.cutVms.insert(vm.asString());
            }
        }
        sendReply(request, makeJson(status_codes::OK, "{}"));
    }

    std::string counts()
    {
        const std::lock_guard lock(m_mutex);
        Json::Value value;
        value["commits"] = Json::UInt64(m_commits);
        value["reads"] = Json::UInt64(m_reads);
        value["rows"] = Json::UInt64(m_table.rows().size());
        value["intents"] = Json::UInt64(countIntents());
        return writeJson(value);
    }

    std::size_t countIntents() const
    {
        std::size_t count = 0;
        for (const auto &[name, row] : m_table.rows()) {
            count += name.rfind("intent/", 0) == 0 && !row.deleted ? 1 : 0;
        }
        return count;
    }

    std::mutex m_mutex;
    platform_faults m_faults;
    memory_table m_table;
    std::map<std::string, std::string> m_objects;
    std::deque<vm_list_change> m_vmListChanges;
    std::mt19937_64 m_random;
    std::uint64_t m_commits = 0;
    std::uint64_t m_reads = 0;
};

result<int> serve()
{
    platform store(FLAGS_seed);
    http_server server(FLAGS_address,
                       [&store](const http_request &request) { store.handle(request); });
    BOOST_LEAF_CHECK(server.open());
    std::cout << "platform stand-in listens on " << FLAGS_address << std::endl;
    waitForStopSignal();
    return ExitOk;
}

} // namespace standin
} // namespace damaskward

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("a stand-in for the platform's table and object store");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    damaskward::blockStopSignals();
    damaskward::setNetworkThreads(FLAGS_threads);
    return damaskward::runMain("damaskward-platform-standin", damaskward::standin::serve);
}
