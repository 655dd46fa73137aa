#include "platform_client.h"

#include "../Core/json.h"
#include "../Transport/headers.h"

#include <cpprest/base_uri.h>

#include <stdexcept>

namespace damaskward {

namespace internal {

constexpr int httpOk = 200;
constexpr int defaultPort = 80;

/// \returns HOST:PORT of \a url.
std::string addressOf(const web::uri &url)
{
    return url.host() + ":" + std::to_string(url.port() > 0 ? url.port() : defaultPort);
}

/// \returns the path of \a url without a slash at its end.
std::string basePathOf(const web::uri &url)
{
    std::string path = url.path();
    while (!path.empty() && path.back() == '/') {
        path.pop_back();
    }
    return path;
}

/// \returns why \a outcome is not an answer with status 200, or an empty text.
std::string problemOf(const http_outcome &outcome)
{
    switch (outcome.failure) {
    case http_failure::None:
        return outcome.status == httpOk ? std::string()
                                        : "HTTP status " + std::to_string(outcome.status);
    case http_failure::Refused:
    case http_failure::Unreachable:
        return "cannot connect";
    case http_failure::TimedOut:
        return "no answer in time";
    case http_failure::Lost:
        break;
    }
    return "no whole and valid answer";
}

} // namespace internal

/// Sends calls, and counts the body bytes that were transferred.
class platform_client::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(const std::string &url, std::string clientName, milliseconds timeout,
               http_channel &channel)
        : m_address(internal::addressOf(web::uri(url)))
        , m_basePath(internal::basePathOf(web::uri(url)))
        , m_clientName(std::move(clientName))
        , m_timeout(timeout)
        , m_channel(channel)
    { }

    /// Receives the body of an answer with status 200, or nothing after any failure.
    using body_callback = std::function<void(const std::optional<std::string> &)>;

    void send(const std::string &method, const std::string &path, const std::string &body,
              body_callback done)
    {
        m_bytes += body.size();
        m_channel.send(makeCall(method, path, body))
            .then([self = shared_from_this(), done = std::move(done)](http_outcome outcome) {
                std::optional<std::string> text;
                if (outcome.hasStatus(internal::httpOk)) {
                    text = std::move(outcome.body);
                    self->m_bytes += text->size();
                }
                done(text);
            });
    }

    /// Blocking form of \ref send(); throws if the call fails or the status is not 200.
    std::string sendBlocking(const std::string &method, const std::string &path,
                             const std::string &body)
    {
        http_outcome outcome = m_channel.send(makeCall(method, path, body)).get();
        const std::string problem = internal::problemOf(outcome);
        if (!problem.empty()) {
            throw std::runtime_error(problem);
        }
        return std::move(outcome.body);
    }

    std::uint64_t bytes() const { return m_bytes; }

private:
    http_call makeCall(const std::string &method, const std::string &path,
                       const std::string &body) const
    {
        http_call call;
        call.address = m_address;
        call.method = method;
        call.path = m_basePath + web::uri(path).to_string();
        call.fields = {{header::vm, m_clientName}};
        if (method != "GET") {
            call.contentType = "application/json";
            call.body = body;
        }
        call.deadline = mono_clock::now() + m_timeout;
        return call;
    }

    const std::string m_address;
    const std::string m_basePath;
    const std::string m_clientName;
    const milliseconds m_timeout;
    http_channel &m_channel;
    std::atomic<std::uint64_t> m_bytes{0};
};

namespace internal {

std::string changesRequest(table_revision since, const std::vector<std::string> &prefixes)
{
    Json::Value value;
    value["since"] = Json::UInt64(since);
    value["prefixes"] = Json::Value(Json::arrayValue);
    for (const std::string &prefix : prefixes) {
        value["prefixes"].append(prefix);
    }
    return writeJson(value);
}

} // namespace internal

platform_client::platform_client(const std::string &url, const std::string &clientName,
                                 milliseconds timeout, http_channel &channel)
    : m_url(url)
    , m_connection(std::make_shared<connection>(url, clientName, timeout, channel))
{ }

platform_client::~platform_client() = default;

void platform_client::commit(const table_transaction &transaction, commit_callback done)
{
    m_connection->send("POST", "/table/commit", encodeTransaction(transaction),
                       [done = std::move(done)](const std::optional<std::string> &text) {
                           const auto answer = text ? decodeCommitAnswer(*text) : std::nullopt;
                           done(answer.value_or(commit_answer{}));
                       });
}

void platform_client::readChanges(table_revision since, const std::vector<std::string> &prefixes,
                                  changes_callback done)
{
    m_connection->send("POST", "/table/changes", internal::changesRequest(since, prefixes),
                       [done = std::move(done)](const std::optional<std::string> &text) {
                           done(text ? decodeChanges(*text) : std::nullopt);
                       });
}

void platform_client::readRows(const std::vector<std::string> &names, changes_callback done)
{
    Json::Value value;
    value["names"] = Json::Value(Json::arrayValue);
    for (const std::string &name : names) {
        value["names"].append(name);
    }
    m_connection->send("POST", "/table/read", writeJson(value),
                       [done = std::move(done)](const std::optional<std::string> &text) {
                           done(text ? decodeChanges(*text) : std::nullopt);
                       });
}

result<commit_answer> platform_client::commitBlocking(const table_transaction &transaction)
{
    try {
        const std::string text =
            m_connection->sendBlocking("POST", "/table/commit", encodeTransaction(transaction));
        return decodeCommitAnswer(text).value_or(commit_answer{});
    } catch (const std::exception &e) {
        return fail("commit to the table", m_url, e.what());
    }
}

result<table_changes> platform_client::readChangesBlocking(table_revision since,
                                                           const std::vector<std::string> &prefixes)
{
    try {
        const std::string text = m_connection->sendBlocking(
            "POST", "/table/changes", internal::changesRequest(since, prefixes));
        const std::optional<table_changes> changes = decodeChanges(text);
        if (changes) {
            return *changes;
        }
        return fail("read the table", m_url, "the answer is malformed");
    } catch (const std::exception &e) {
        return fail("read the table", m_url, e.what());
    }
}

result<std::string> platform_client::getObject(const std::string &name)
{
    try {
        return m_connection->sendBlocking("GET", "/objects/" + name, "");
    } catch (const std::exception &e) {
        return fail("read object " + name, m_url, e.what());
    }
}

result<void> platform_client::putObject(const std::string &name, const std::string &content)
{
    try {
        m_connection->sendBlocking("PUT", "/objects/" + name, content);
        return {};
    } catch (const std::exception &e) {
        return fail("write object " + name, m_url, e.what());
    }
}

std::uint64_t platform_client::bytes() const
{
    return m_connection->bytes();
}

} // namespace damaskward
