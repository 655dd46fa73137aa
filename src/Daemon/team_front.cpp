#include "team_front.h"

#include "../Core/json.h"

namespace damaskward {
namespace internal {

/// How long a request waits for tokens while the team has no bank; a bank's VM may just have been
/// lost.
constexpr milliseconds bankPatience{1800};
/// How long a request waits for a token that its team has not earned yet. Arrivals within the rate
/// come in clumps; refusing at the first empty moment would refuse teams that keep to their rate.
constexpr milliseconds limitPatience{50};

} // namespace internal

team_front::team_front(const vm_id &self, peer_directory &peers,
                       const snapshot<control_view> &views)
    : m_self(self)
    , m_peers(peers)
    , m_views(views)
{ }

std::shared_ptr<team_front::account> team_front::accountOf(const team_id &team)
{
    const std::lock_guard lock(m_accountsMutex);
    std::shared_ptr<account> &known = m_accounts[team];
    if (known == nullptr) {
        known = std::make_shared<account>();
    }
    return known;
}

void team_front::admit(const control_view &view, const team_id &team, time_point deadline,
                       const admit_callback &done)
{
    if (view.banks.count(team) == 0) {
        done({}); // No rule limits this team.
        return;
    }
    const std::shared_ptr<account> a = accountOf(team);
    const time_point now = mono_clock::now();
    bool spent = false;
    {
        const std::lock_guard lock(a->mutex);
        spent = a->queue.empty() && a->tokens.trySpend(now);
        if (!spent) {
            a->queue.push_back(
                {std::min(deadline, now + internal::bankPatience), time_point{}, done});
        }
    }
    if (spent) {
        done({});
    }
    drawFor(team, a); // For this request, or ahead of the next ones.
}

void team_front::drawFor(const team_id &team, const std::shared_ptr<account> &a)
{
    std::optional<draw_request> request;
    {
        const std::lock_guard lock(a->mutex);
        request = a->tokens.nextDraw(m_self, static_cast<int>(a->queue.size()), mono_clock::now());
    }
    if (!request) {
        return;
    }
    const std::shared_ptr<const control_view> view = m_views.get();
    const auto bank = view->banks.find(team);
    if (bank == view->banks.end() || bank->second.holder.empty()) {
        finishDraw(a, std::nullopt);
    } else if (bank->second.holder == m_self) {
        finishDraw(a, draw(team, *request));
    } else {
        m_peers.call(bank->second.holder, "draw", toJson(team, *request),
                     [this, team, a](const Json::Value *result) {
                         const bool answered = result != nullptr && jsonBool(*result, "bank");
                         finishDraw(
                             a, answered ? std::optional(readDrawAnswer(*result)) : std::nullopt);
                         if (answered) {
                             drawFor(team, a); // For those that came in the meantime.
                         }
                     });
    }
}

std::vector<team_front::admit_callback> team_front::takeOverLimit(std::deque<waiting> &queue,
                                                                  time_point now)
{
    std::vector<admit_callback> over;
    for (waiting &request : queue) {
        if (request.limitedSince == time_point{}) {
            request.limitedSince = now;
        }
    }
    while (!queue.empty() && now >= queue.front().limitedSince + internal::limitPatience) {
        over.push_back(std::move(queue.front().done));
        queue.pop_front();
    }
    return over;
}

void team_front::finishDraw(const std::shared_ptr<account> &a,
                            const std::optional<draw_answer> &answer)
{
    std::vector<admit_callback> admitted;
    std::vector<admit_callback> refused;
    {
        const std::lock_guard lock(a->mutex);
        const time_point now = mono_clock::now();
        const std::size_t asked = a->queue.size();
        a->tokens.finishDraw(answer, now);
        while (!a->queue.empty() && a->tokens.trySpend(now)) {
            admitted.push_back(std::move(a->queue.front().done));
            a->queue.pop_front();
        }
        // The bank answered and has no more: what has waited long since it first said so is over
        // the team's limit. A bank that is not open yet says so with a lifetime of zero; waiting
        // for a new bank does not count.
        const bool spent = answer && answer->lifetimeMicros > 0 && admitted.size() < asked;
        if (spent) {
            refused = takeOverLimit(a->queue, now);
        }
    }
    for (const admit_callback &done : admitted) {
        done({});
    }
    for (const admit_callback &done : refused) {
        done(refusal::limit);
    }
}

draw_answer team_front::draw(const team_id &team, const draw_request &request)
{
    const std::shared_ptr<const control_view> view = m_views.get();
    const auto info = view->banks.find(team);
    if (info == view->banks.end() || !info->second.mine) {
        return {};
    }
    const bank_info &held = info->second;
    const time_point now = mono_clock::now();
    const std::lock_guard lock(m_banksMutex);
    auto bank = m_banks.find(team);
    if (bank == m_banks.end() || bank->second.term != held.term) {
        const time_point opensAt = held.fromLapsed ? now : now + tokenLifetime;
        const bool first = held.term == 1;
        m_banks.erase(team);
        bank = m_banks
                   .emplace(team,
                            open_bank{held.term,
                                      {held.rate, held.burst, first ? now : opensAt,
                                       first ? held.burst : 0.0}})
                   .first;
    }
    bank->second.bank.setLimit(held.rate, held.burst, now);
    return bank->second.bank.draw(request, held.authority, now);
}

void team_front::expire(time_point now)
{
    std::map<team_id, std::shared_ptr<account>> accounts;
    {
        const std::lock_guard lock(m_accountsMutex);
        accounts = m_accounts;
    }
    for (const auto &[team, a] : accounts) {
        std::vector<admit_callback> late;
        {
            const std::lock_guard lock(a->mutex);
            while (!a->queue.empty() && a->queue.front().until <= now) {
                late.push_back(std::move(a->queue.front().done));
                a->queue.pop_front();
            }
        }
        for (const admit_callback &done : late) {
            done(refusal::noBank);
        }
        drawFor(team, a);
    }
}

Json::Value toJson(const team_id &team, const draw_request &request)
{
    Json::Value value;
    value["team"] = team.str();
    value["from"] = request.from.str();
    value["sequence"] = Json::UInt64(request.sequence);
    value["wanted"] = request.wanted;
    value["held"] = request.held;
    return value;
}

Json::Value toJson(const draw_answer &answer)
{
    Json::Value value;
    value["bank"] = answer.lifetimeMicros > 0;
    value["granted"] = answer.granted;
    value["lifetime"] = Json::Int64(answer.lifetimeMicros);
    value["retry"] = Json::Int64(answer.retryMicros);
    return value;
}

draw_request readDrawRequest(const Json::Value &value)
{
    return {vm_id(jsonText(value, "from")), jsonUnsigned(value, "sequence"),
            static_cast<int>(jsonSigned(value, "wanted")),
            static_cast<int>(jsonSigned(value, "held"))};
}

draw_answer readDrawAnswer(const Json::Value &value)
{
    return {static_cast<int>(jsonSigned(value, "granted")), jsonSigned(value, "lifetime"),
            jsonSigned(value, "retry")};
}

} // namespace damaskward
