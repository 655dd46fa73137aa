/// \file
/// \brief Limits of the whole fleet at one VM: draws tokens from banks and is the bank of some.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "team_account.h"
#include "team_bank.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <iterator>
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
    double start = 0.0; ///< tokens that a new bank begins with, though the former one's are unknown
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

/// What a request that waits for a token is told.
enum class token_reply {
    Granted, ///< trySpend() succeeds now
    Denied ///< the bank has no token for it
};

/// \class token_desk
/// \brief Spends tokens of named limits. The bank of a limit is one VM, the same for all that are
/// in contact; a part of the fleet that is cut off gets its part of the limit.
///
/// A request that begins to wait while a draw is under way is covered by the next draw, and a bank
/// that has just taken over makes all wait until it opens: neither is a denial.
///
/// Without I/O; not thread-safe.
///
/// \code
/// if (!desk.trySpend("team/dojo", now))
///     desk.waitFor("team/dojo", [](token_reply reply) { tryAgain(reply); });
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

    /// Called once, when the bank has answered.
    using token_callback = std::function<void(token_reply)>;

    /// Calls \a replied when the bank has decided on a draw that covers it.
    void waitFor(const std::string &limit, token_callback replied)
    {
        m_accounts[limit].waiting.push_back(std::move(replied));
    }

    /// \returns the draws to send now, also those that have not been answered for a while.
    std::vector<token_draw> draws(time_point now)
    {
        std::vector<token_draw> result;
        for (auto &[limit, entry] : m_accounts) {
            const int waiting = static_cast<int>(entry.waiting.size());
            if (auto request = entry.account.nextDraw(vm_id(m_self), waiting, now)) {
                entry.sequence = request->sequence;
                entry.covered = entry.waiting.size();
                result.push_back({limit, *request});
            } else if (const auto again = entry.account.repeatedDraw(now)) {
                result.push_back({limit, *again});
            }
        }
        return result;
    }

    /// Takes in a bank's answer and tells those that the draw covered.
    /// \returns whether requests still wait, so that another draw is due
    bool granted(const token_grant &grant, time_point now)
    {
        const auto it = m_accounts.find(grant.limit);
        if (it == m_accounts.end() || it->second.sequence != grant.sequence) {
            return false; // An answer to a draw that was given up.
        }
        desk_entry &entry = it->second;
        entry.account.finishDraw(grant.answer, now);
        if (grant.answer.open) {
            tellCovered(entry, grant.answer.granted);
        }
        return !entry.waiting.empty();
    }

    /// Answers a draw as the bank. \returns nothing for a limit that is not known here.
    std::optional<token_grant> serve(const token_draw &draw, time_point now)
    {
        const auto limit = m_limits(draw.limit);
        if (!limit) {
            return std::nullopt;
        }
        const double share = m_share();
        const auto it = openBank(draw.limit, *limit, share, now);
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
        if (known) {
            openBank(limit, *known, m_share(), now);
        }
    }

private:
    /// A draw that has been sent again several times and is still unanswered is given up after
    /// this.
    static constexpr milliseconds drawTimeout{200};

    struct desk_entry
    {
        team_account account{0, drawTimeout};
        std::uint64_t sequence = 0; ///< of the draw under way
        std::size_t covered = 0; ///< how many of the waiting, from the first, that draw is for
        std::vector<token_callback> waiting;
    };

    static void tellCovered(desk_entry &e, int tokens)
    {
        const auto first = e.waiting.begin();
        const auto end = first + static_cast<std::ptrdiff_t>(std::min(e.covered, e.waiting.size()));
        const std::vector<token_callback> covered(std::make_move_iterator(first),
                                                  std::make_move_iterator(end));
        e.waiting.erase(first, end);
        e.covered = 0;
        for (const token_callback &replied : covered) {
            replied(tokens-- > 0 ? token_reply::Granted : token_reply::Denied);
        }
    }

    /// \returns the bank of \a limit, opened if it was not: tokens of an earlier one lapse within
    /// their lifetime.
    std::map<std::string, team_bank>::iterator
    openBank(const std::string &name, const fleet_limit &limit, double share, time_point now)
    {
        const double burst = std::max(1.0, limit.burst * share);
        return m_banks
            .try_emplace(name, limit.rate * share, burst, now + tokenLifetime,
                         std::min(burst, limit.start * share))
            .first;
    }

    std::string m_self;
    limit_source m_limits;
    share_source m_share;
    std::map<std::string, desk_entry> m_accounts;
    std::map<std::string, team_bank> m_banks;
};

} // namespace damaskward
