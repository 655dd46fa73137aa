#include "rules_applier.h"

#include "../Rules/rule_parser.h"

#include <set>
#include <thread>

namespace damaskward {
namespace internal {

constexpr milliseconds pollInterval{50};
constexpr int maxHeadAttempts = 5;

} // namespace internal

rules_applier::rules_applier(platform_client &platform, std::uint64_t nonce)
    : m_platform(platform)
    , m_nonce(nonce)
{ }

result<current_rules> rules_applier::current()
{
    BOOST_LEAF_AUTO(changes, m_platform.readChangesBlocking(0, {std::string(headName)}));
    current_rules found;
    for (const table_row &row : changes.rows) {
        const std::optional<head_row> head = decodeHead(row.value);
        if (row.name == headName && head) {
            found.head = *head;
            found.rowVersion = row.version;
        }
    }
    if (found.head.version != 0) {
        BOOST_LEAF_AUTO(text, m_platform.getObject(found.head.object));
        found.text = text;
    }
    return found;
}

result<bool> rules_applier::replaceHead(const current_rules &base, const head_row &next)
{
    table_transaction transaction;
    transaction.replace(std::string(headName), base.rowVersion, encode(next));
    for (int attempt = 0; attempt < internal::maxHeadAttempts; ++attempt) {
        const commit_answer answer = boost::leaf::try_handle_all(
            [&]() -> result<commit_answer> { return m_platform.commitBlocking(transaction); },
            [](const boost::leaf::error_info & /*info*/) { return commit_answer{}; });
        if (answer.outcome == commit_outcome::Applied) {
            return true;
        }
        // The answer was lost or the commit rejected: the head row shows which version is in force.
        BOOST_LEAF_AUTO(changes, m_platform.readChangesBlocking(0, {std::string(headName)}));
        for (const table_row &row : changes.rows) {
            const std::optional<head_row> head = decodeHead(row.value);
            if (head && row.version > base.rowVersion) {
                return head->object == next.object;
            }
        }
    }
    return fail("activate the rules", "platform", "the new version was not confirmed; try again");
}

result<std::vector<vm_id>> rules_applier::vmsBehind(std::uint64_t version)
{
    BOOST_LEAF_AUTO(changes, m_platform.readChangesBlocking(0, {std::string(sessionPrefix)}));
    std::vector<vm_id> behind;
    for (const table_row &row : changes.rows) {
        const std::optional<session_row> session = decodeSession(row.value);
        const bool live = session && session->state == session_state::Live;
        if (live && session->rulesVersion < version) {
            behind.push_back(vmOfSession(row.name));
        }
    }
    return behind;
}

result<std::vector<diagnostic>> rules_applier::diagnoseRemovedOwners(const current_rules &base,
                                                                     const std::string &text,
                                                                     const std::string &file)
{
    std::vector<diagnostic> mistakes;
    const rule_set next = parseRules(text, file).value;
    const rule_set before = parseRules(base.text, "the rules in force").value;
    BOOST_LEAF_AUTO(changes, m_platform.readChangesBlocking(0, {std::string(shardPrefix)}));
    std::set<target_id> owners;
    for (const table_row &row : changes.rows) {
        const std::optional<shard_row> shard = decodeShard(row.value);
        if (shard) {
            owners.insert(shard->target);
        }
    }
    for (const target_id &owner : owners) {
        if (before.target(owner) != nullptr && next.target(owner) == nullptr) {
            mistakes.push_back(
                {file, 1, "target",
                 "'" + owner.str() + "' still owns keys and cannot be removed; drain it first"});
        }
    }
    return mistakes;
}

result<apply_outcome> rules_applier::apply(const current_rules &base, const std::string &text,
                                           const std::string &file, time_point deadline)
{
    apply_outcome outcome;
    outcome.mistakes = parseRules(text, file).mistakes;
    if (outcome.mistakes.empty()) {
        BOOST_LEAF_ASSIGN(outcome.mistakes, diagnoseRemovedOwners(base, text, file));
    }
    if (!outcome.mistakes.empty()) {
        return outcome;
    }
    const std::uint64_t version = base.head.version + 1;
    const head_row next{version,
                        "rules-" + std::to_string(version) + "-" + std::to_string(m_nonce)};
    BOOST_LEAF_CHECK(m_platform.putObject(next.object, text));
    BOOST_LEAF_AUTO(isReplaced, replaceHead(base, next));
    if (!isReplaced) {
        outcome.what = apply_outcome::kind::Overtaken;
        return outcome;
    }
    outcome.version = version;
    do {
        BOOST_LEAF_ASSIGN(outcome.unacknowledgedVms, vmsBehind(version));
        if (outcome.unacknowledgedVms.empty()) {
            outcome.what = apply_outcome::kind::Accepted;
            return outcome;
        }
        std::this_thread::sleep_for(internal::pollInterval);
    } while (mono_clock::now() < deadline);
    outcome.what = apply_outcome::kind::Partly;
    return outcome;
}

} // namespace damaskward
