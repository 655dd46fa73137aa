#include "peer_directory.h"

namespace damaskward {

peer_directory::peer_directory(const vm_id &self, const data_center_id &dc, std::string secret,
                               milliseconds timeout)
    : m_self(self)
    , m_dataCenter(dc)
    , m_secret(std::move(secret))
    , m_timeout(timeout)
{ }

void peer_directory::update(const table_replica &replica)
{
    // Destroyed after the lock is released, because destroying a link joins its thread.
    std::vector<std::shared_ptr<peer_link>> closed;
    const std::lock_guard lock(m_mutex);
    for (const auto &[vm, seen] : replica.sessions()) {
        const bool wanted = !m_closed && vm != m_self && seen.row.dataCenter == m_dataCenter
            && seen.row.state == session_state::Live;
        const auto known = m_links.find(vm);
        const bool same =
            known != m_links.end() && known->second.address == seen.row.controlAddress;
        if (known != m_links.end() && (!wanted || !same)) {
            closed.push_back(known->second.link);
            m_links.erase(known);
        }
        if (wanted && !same) {
            const std::string &address = seen.row.controlAddress;
            m_links[vm] = {address, std::make_shared<peer_link>(address, m_secret, m_timeout)};
        }
    }
}

void peer_directory::call(const vm_id &vm, const std::string &method, const Json::Value &parameters,
                          peer_link::callback done)
{
    std::shared_ptr<peer_link> link;
    {
        const std::lock_guard lock(m_mutex);
        const auto known = m_links.find(vm);
        link = known == m_links.end() ? nullptr : known->second.link;
    }
    if (link == nullptr) {
        done(nullptr);
        return;
    }
    link->call(method, parameters, std::move(done));
}

void peer_directory::notifyAll(const std::string &method, const Json::Value &parameters)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[vm, known] : m_links) {
        known.link->call(method, parameters, [](const Json::Value * /*result*/) {});
    }
}

std::uint64_t peer_directory::bytes() const
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t total = 0;
    for (const auto &[vm, known] : m_links) {
        total += known.link->bytes();
    }
    return total;
}

void peer_directory::close()
{
    std::map<vm_id, entry> links;
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        links.swap(m_links);
    }
}

} // namespace damaskward
