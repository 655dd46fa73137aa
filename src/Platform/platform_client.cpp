#include "platform_client.h"

#include "../Core/json.h"
#include "../Transport/headers.h"

#include <cpprest/http_client.h>

namespace damaskward {

using web::http::http_request;
using web::http::http_response;
using web::http::method;
using web::http::methods;
using web::http::status_codes;

/// An HTTP client and a count of the body bytes that it transferred.
class platform_client::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(const std::string &url, std::string clientName, milliseconds timeout)
        : m_clientName(std::move(clientName))
        , m_client(web::uri(url), makeConfig(timeout))
    { }

    /// Receives the body of an answer with status 200, or nothing after any failure.
    using body_callback = std::function<void(const std::optional<std::string> &)>;

    void send(const method &verb, const std::string &path, const std::string &body,
              body_callback done)
    {
        m_bytes += body.size();
        sendRequest(verb, path, body)
            .then([](const http_response &response) {
                if (response.status_code() != status_codes::OK) {
                    throw std::runtime_error("HTTP status "
                                             + std::to_string(response.status_code()));
                }
                return response.extract_utf8string(true);
            })
            .then([self = shared_from_this(),
                   done = std::move(done)](const pplx::task<std::string> &answer) {
                std::optional<std::string> text;
                try {
                    text = answer.get();
                    self->m_bytes += text->size();
                } catch (const std::exception &) {
                    text.reset();
                }
                done(text);
            });
    }

    /// Blocking form of \ref send(); throws if the call fails or the status is not 200.
    std::string sendBlocking(const method &verb, const std::string &path, const std::string &body)
    {
        const http_response response = sendRequest(verb, path, body).get();
        std::string text = response.extract_utf8string(true).get();
        if (response.status_code() != status_codes::OK) {
            throw std::runtime_error("HTTP status " + std::to_string(response.status_code()));
        }
        return text;
    }

    std::uint64_t bytes() const { return m_bytes; }

private:
    static web::http::client::http_client_config makeConfig(milliseconds timeout)
    {
        web::http::client::http_client_config config;
        config.set_timeout(timeout);
        return config;
    }

    pplx::task<http_response> sendRequest(const method &verb, const std::string &path,
                                          const std::string &body)
    {
        http_request request(verb);
        request.set_request_uri(path);
        request.headers().add(header::vm, m_clientName);
        if (verb != methods::GET) {
            request.set_body(body, "application/json");
        }
        return m_client.request(request);
    }

    std::string m_clientName;
    web::http::client::http_client m_client;
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
                                 milliseconds timeout)
    : m_url(url)
    , m_connection(std::make_shared<connection>(url, clientName, timeout))
{ }

platform_client::~platform_client() = default;

void platform_client::commit(const table_transaction &transaction, commit_callback done)
{
    m_connection->send(methods::POST, "/table/commit", encodeTransaction(transaction),
                       [done = std::move(done)](const std::optional<std::string> &text) {
                           const auto answer = text ? decodeCommitAnswer(*text) : std::nullopt;
                           done(answer.value_or(commit_answer{}));
                       });
}

void platform_client::readChanges(table_revision since, const std::vector<std::string> &prefixes,
                                  changes_callback done)
{
    m_connection->send(methods::POST, "/table/changes", internal::changesRequest(since, prefixes),
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
    m_connection->send(methods::POST, "/table/read", writeJson(value),
                       [done = std::move(done)](const std::optional<std::string> &text) {
                           done(text ? decodeChanges(*text) : std::nullopt);
                       });
}

result<commit_answer> platform_client::commitBlocking(const table_transaction &transaction)
{
    try {
        const std::string text = m_connection->sendBlocking(methods::POST, "/table/commit",
                                                            encodeTransaction(transaction));
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
            methods::POST, "/table/changes", internal::changesRequest(since, prefixes));
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
        return m_connection->sendBlocking(methods::GET, "/objects/" + name, "");
    } catch (const std::exception &e) {
        return fail("read object " + name, m_url, e.what());
    }
}

result<void> platform_client::putObject(const std::string &name, const std::string &content)
{
    try {
        m_connection->sendBlocking(methods::PUT, "/objects/" + name, content);
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
