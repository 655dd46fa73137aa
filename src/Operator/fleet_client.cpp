#include "fleet_client.h"

#include "../Transport/headers.h"

namespace damaskward {
namespace internal {

constexpr milliseconds queryTimeout{1000};
constexpr int httpOk = 200;

} // namespace internal

fleet_client::fleet_client(platform_client &platform, std::string secret, http_channel &channel)
    : m_platform(platform)
    , m_secret(std::move(secret))
    , m_channel(channel)
{ }

std::optional<std::string> fleet_client::queryVm(const std::string &address,
                                                 const std::string &path) const
{
    http_call call;
    call.address = address;
    call.method = "GET";
    call.path = path;
    call.fields = {{header::secret, m_secret}};
    call.deadline = mono_clock::now() + internal::queryTimeout;
    http_outcome outcome = m_channel.send(std::move(call)).get();
    if (!outcome.hasStatus(internal::httpOk)) {
        return std::nullopt;
    }
    return std::move(outcome.body);
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
