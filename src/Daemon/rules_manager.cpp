#include "rules_manager.h"

#include "../Rules/rule_parser.h"

namespace damaskward {
namespace internal {

constexpr std::size_t maxCandidates = 64;
constexpr milliseconds retryPeriod{200};

} // namespace internal

rules_manager::rules_manager(platform_client &platform, peer_directory &peers, adopt_callback adopt)
    : m_platform(platform)
    , m_peers(peers)
    , m_adopt(std::move(adopt))
    , m_candidates(internal::maxCandidates)
    , m_thread([this] { run(); })
{ }

rules_manager::~rules_manager()
{
    m_stopping = true;
    m_candidates.close();
    m_thread.join();
}

void rules_manager::requestVersion(const head_row &head)
{
    {
        const std::lock_guard lock(m_wantedMutex);
        if (head.version <= m_wanted.version) {
            return; // The control thread repeats its request after each event.
        }
        m_wanted = head;
    }
    m_candidates.tryPush({head, {}});
}

head_row rules_manager::wanted()
{
    const std::lock_guard lock(m_wantedMutex);
    return m_wanted;
}

void rules_manager::receiveFromPeer(std::uint64_t version, const std::string &text)
{
    if (version > m_version && !text.empty()) {
        m_candidates.tryPush({head_row{version, "from a peer"}, text});
    }
}

void rules_manager::run()
{
    while (!m_stopping) {
        std::optional<candidate> next =
            m_candidates.popUntil(mono_clock::now() + internal::retryPeriod);
        if (!next) {
            next = candidate{wanted(), {}};
        }
        if (next->head.version > m_version) {
            processCandidate(std::move(*next));
        }
    }
}

void rules_manager::processCandidate(candidate next)
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
        [this](const error &e) {
            m_log.warn(
                "Cannot fetch the rules: {}. The version in force stays; the fetch is repeated.",
                toString(e));
        },
        [this](const boost::leaf::error_info & /*info*/) {
            m_log.warn("Cannot fetch the rules: unknown error. The version in force stays; the "
                       "fetch is repeated.");
        });
}

void rules_manager::adopt(const head_row &head, const std::string &text)
{
    const parsed<rule_set> rules = parseRules(text, head.object);
    if (!rules.ok()) {
        // 'damaskctl apply' checks the rules first, so this version was written by other means.
        m_log.error("Rules version {} is invalid, first mistake: {}. The version in force stays.",
                    head.version, toString(rules.mistakes.front()));
        return;
    }
    m_version = head.version;
    m_log.info("Rules version {} is in force at this VM; peers are notified.", head.version);
    m_adopt(head.version, std::make_shared<const rule_set>(rules.value));
    Json::Value parameters;
    parameters["version"] = Json::UInt64(head.version);
    parameters["text"] = text;
    m_peers.notifyAll("rules", parameters);
}

} // namespace damaskward
