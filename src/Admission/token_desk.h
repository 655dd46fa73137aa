/// \file
/// \brief Limits of the whole fleet at one VM: draws tokens from banks and is the bank of some.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "team_account.h"
#include "team_bank.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// A limit of the whole fleet.
struct fleet_limit
{
    double rate = 0.0; ///< tokens a second
    double burst = 0.0; ///< tokens at the most
};

/// A draw on its way to the VM that keeps the bank.
struct token_draw
{
    std::string limit; ///< the name of the limit
    draw_request request;
};

/// The bank's answer.
struct token_grant
{
    std::string limit;
    std::uint64_t sequence = 0;
    draw_answer answer;
};

/// \class token_desk
/// \brief Spends tokens of named limits. The bank of a limit is one VM, the same for all that are
/// in contact; a part of the fleet that is cut off gets its part of the limit.
///
/// Without I/O; not thread-safe.
///
/// \code
/// if (!desk.trySpend("team/dojo", now))
///     desk.waitFor("team/dojo", [] { tryAgain(); });
/// for (const token_draw &draw : desk.draws(now))
///     sendToBank(draw);
/// \endcode
/// \sa team_bank
class token_desk
{
public:
    /// \returns the limit of that name, or nothing when this VM does not know it.
    using limit_source = std::function<std::optional<fleet_limit>(std::string_view)>;
    /// \returns the part of a limit that the reachable part of the fleet may spend.
    using share_source = std::function<double()>;

    token_desk(std::string self, limit_source limits, share_source share)
        : m_self(std::move(self))
        , m_limits(std::move(limits))
        , m_share(std::move(share))
    { }

    /// Spends a token of \a limit. \returns false when none is held.
    bool trySpend(const std::string &limit, time_point now)
    {
        return m_accounts[limit].account.trySpend(now);
    }

    /// Calls \a retry when the bank has answered; whoever finds no token then is over the limit.
    void waitFor(const std::string &limit, std::function<void()> retry)
    {
        m_accounts[limit].waiting.push_back(std::move(retry));
    }

    /// \returns the draws to send now.
    std::vector<token_draw> draws(time_point now)
    {
        std::vector<token_draw> result;
        for (auto &[limit, entry] : m_accounts) {
            const int waiting = static_cast<int>(entry.waiting.size());
            if (auto request = entry.account.nextDraw(vm_id(m_self), waiting, now)) {
                entry.sequence = request->sequence;
                result.push_back({limit, *request});
            }
        }
        return result;
    }

    /// Takes in a bank's answer and lets the waiting try again.
    void granted(const token_grant &grant, time_point now)
    {
        const auto it = m_accounts.find(grant.limit);
        if (it == m_accounts.end() || it->second.sequence != grant.sequence) {
            return; // An answer to a draw that was given up.
        }
        it->second.account.finishDraw(grant.answer, now);
        wake(it->second);
    }

    /// Answers a draw as the bank. \returns nothing for a limit that is not known here.
    std::optional<token_grant> serve(const token_draw &draw, time_point now)
    {
        const auto limit = m_limits(draw.limit);
        if (!limit) {
            return std::nullopt;
        }
        const double share = m_share();
        auto it = m_banks.find(draw.limit);
        if (it == m_banks.end()) {
            // Tokens of an earlier bank lapse within their lifetime.
            it = m_banks
                     .emplace(
                         draw.limit,
                         team_bank(limit->rate * share, limit->burst * share, now + tokenLifetime))
                     .first;
        }
        it->second.setLimit(limit->rate * share, std::max(1.0, limit->burst * share), now);
        return token_grant{draw.limit, draw.request.sequence,
                           it->second.draw(draw.request, now + tokenLifetime, now)};
    }

    /// Drops the banks that this VM no longer keeps.
    /// \param keeps tells whether this VM is the bank of a limit
    void dropBanks(const std::function<bool(const std::string &)> &keeps)
    {
        for (auto it = m_banks.begin(); it != m_banks.end();) {
            it = keeps(it->first) ? std::next(it) : m_banks.erase(it);
        }
    }

    /// Opens the bank of \a limit ahead of the first draw, if it is not open.
    void open(const std::string &limit, time_point now)
    {
        const auto known = m_limits(limit);
        if (known && m_banks.count(limit) == 0) {
            m_banks.emplace(
                limit,
                team_bank(known->rate * m_share(), known->burst * m_share(), now + tokenLifetime));
        }
    }

private:
    struct desk_entry
    {
        team_account account{0};
        std::uint64_t sequence = 0; ///< of the draw under way
        std::vector<std::function<void()>> waiting;
    };

    static void wake(desk_entry &e)
    {
        const auto waiting = std::move(e.waiting);
        e.waiting.clear();
        for (const auto &retry : waiting) {
            retry();
        }
    }

    std::string m_self;
    limit_source m_limits;
    share_source m_share;
    std::map<std::string, desk_entry> m_accounts;
    std::map<std::string, team_bank> m_banks;
};

} // namespace damaskward
