#include "fleet_client.h"

#include "../Transport/headers.h"

#include <cpprest/http_client.h>

namespace damaskward {
namespace internal {

constexpr milliseconds queryTimeout{1000};

} // namespace internal

fleet_client::fleet_client(platform_client &platform, std::string secret)
    : m_platform(platform)
    , m_secret(std::move(secret))
{ }

std::optional<std::string> fleet_client::queryVm(const std::string &address,
                                                 const std::string &path) const
{
    web::http::client::http_client_config config;
    config.set_timeout(internal::queryTimeout);
    web::http::http_request request(web::http::methods::GET);
    request.set_request_uri(path);
    request.headers().add(header::secret, m_secret);
    try {
        web::http::client::http_client client(web::uri("http://" + address), config);
        const web::http::http_response response = client.request(request).get();
        if (response.status_code() != web::http::status_codes::OK) {
            return std::nullopt;
        }
        return response.extract_utf8string(true).get();
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

result<std::vector<vm_answer>> fleet_client::queryLiveVms(const std::string &path)
{
    BOOST_LEAF_AUTO(changes, m_platform.readChangesBlocking(0, {std::string(sessionPrefix)}));
    std::vector<vm_answer> answers;
    for (const table_row &row : changes.rows) {
        const std::optional<session_row> session = decodeSession(row.value);
        if (session && session->state == session_state::Live) {
            answers.push_back(
                {vmOfSession(row.name), *session, queryVm(session->adminAddress, path)});
        }
    }
    return answers;
}

} // namespace damaskward
