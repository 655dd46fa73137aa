/// \file
/// \brief The teams' limits at one VM: accounts for its own requests, banks for everybody's.

#pragma once

#include "../Admission/team_account.h"
#include "../Admission/team_bank.h"
#include "../Core/snapshot.h"
#include "control_view.h"
#include "forwarding.h"
#include "peer_directory.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace damaskward {

/// \class team_front
/// \brief Admits requests against their team's limit. Thread-safe.
///
/// \code
/// teams.admit(*view, team, deadline, [](std::string_view refusal) { ... });
/// \endcode
/// \sa team_account, team_bank
class team_front
{
public:
    /// Gets an empty text when the request is admitted, else the reason of its refusal.
    using admit_callback = std::function<void(std::string_view refusal)>;

    /// \param views where the present banks are found
    team_front(const vm_id &self, peer_directory &peers, const snapshot<control_view> &views);

    /// Spends one token of \a team, now or when tokens have been drawn.
    /// \param view the picture that the request is served by
    void admit(const control_view &view, const team_id &team, time_point deadline,
               const admit_callback &done);
    /// Hands out tokens as the team's bank in this data centre.
    draw_answer draw(const team_id &team, const draw_request &request);
    /// Refuses what has waited too long and draws again for the rest.
    void expire(time_point now);

private:
    struct waiting
    {
        time_point until;
        time_point limitedSince; ///< when the bank first had no token for it
        admit_callback done;
    };
    struct account
    {
        std::mutex mutex;
        team_account tokens;
        std::deque<waiting> queue;
    };
    struct open_bank
    {
        std::uint64_t term = 0;
        team_bank bank;
    };

    std::shared_ptr<account> accountOf(const team_id &team);
    void drawFor(const team_id &team, const std::shared_ptr<account> &a);
    static std::vector<admit_callback> takeOverLimit(std::deque<waiting> &queue, time_point now);
    void finishDraw(const std::shared_ptr<account> &a, const std::optional<draw_answer> &answer);

    const vm_id m_self;
    peer_directory &m_peers;
    const snapshot<control_view> &m_views;
    std::mutex m_accountsMutex;
    std::map<team_id, std::shared_ptr<account>> m_accounts;
    std::mutex m_banksMutex;
    std::map<team_id, open_bank> m_banks;
};

/// The JSON forms of a draw.
Json::Value toJson(const team_id &team, const draw_request &request);
Json::Value toJson(const draw_answer &answer);
draw_request readDrawRequest(const Json::Value &value);
draw_answer readDrawAnswer(const Json::Value &value);

} // namespace damaskward
