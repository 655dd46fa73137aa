#include "rules_keeper.h"

#include "../Rules/rule_parser.h"

namespace damaskward {
namespace internal {

constexpr std::size_t maxOffers = 64;
constexpr milliseconds retryTime{200};

} // namespace internal

rules_keeper::rules_keeper(platform_client &platform, peer_directory &peers, adopt_callback adopt)
    : m_platform(platform)
    , m_peers(peers)
    , m_adopt(std::move(adopt))
    , m_offers(internal::maxOffers)
    , m_thread([this] { run(); })
{ }

rules_keeper::~rules_keeper()
{
    m_stopping = true;
    m_offers.close();
    m_thread.join();
}

void rules_keeper::want(const head_row &head)
{
    {
        const std::lock_guard lock(m_wantedMutex);
        if (head.version <= m_wanted.version) {
            return; // The control thread asks again and again; only the first time is news.
        }
        m_wanted = head;
    }
    m_offers.tryPush({head, {}});
}

head_row rules_keeper::wanted()
{
    const std::lock_guard lock(m_wantedMutex);
    return m_wanted;
}

void rules_keeper::take(std::uint64_t version, const std::string &text)
{
    if (version > m_version && !text.empty()) {
        m_offers.tryPush({head_row{version, "from a peer"}, text});
    }
}

void rules_keeper::run()
{
    while (!m_stopping) {
        std::optional<offer> next = m_offers.popUntil(mono_clock::now() + internal::retryTime);
        if (!next) {
            next = offer{wanted(), {}};
        }
        if (next->head.version > m_version) {
            consider(std::move(*next));
        }
    }
}

void rules_keeper::consider(offer next)
{
    if (!next.text.empty()) {
        adopt(next.head, next.text);
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(text, m_platform.getObject(next.head.object));
            adopt(next.head, text);
            return {};
        },
        [this](const error &e) { m_log.warn("Cannot fetch: {}.", toString(e)); },
        [this](const boost::leaf::error_info & /*info*/) { m_log.warn("Cannot fetch."); });
}

void rules_keeper::adopt(const head_row &head, const std::string &text)
{
    const parsed<rule_set> rules = parseRules(text, head.object);
    if (!rules.ok()) {
        // 'damaskctl apply' checks first; this is a version written by other means.
        m_log.error("Version {} has mistakes, such as {}. The last good one stays.", head.version,
                    toString(rules.mistakes.front()));
        return;
    }
    m_version = head.version;
    m_log.info("Version {} is in force.", head.version);
    m_adopt(head.version, std::make_shared<const rule_set>(rules.value));
    Json::Value parameters;
    parameters["version"] = Json::UInt64(head.version);
    parameters["text"] = text;
    m_peers.notifyAll("rules", parameters);
}

} // namespace damaskward
