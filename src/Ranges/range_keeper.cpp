#include "range_keeper.h"

#include <algorithm>
#include <utility>

namespace damaskward {
namespace {

/// Targets' clocks that measure holds may run this many percent slow (the platform's page).
constexpr int slowClockPercent = 2;
/// Pause between two plans: about the time in which a hot run of keys shows.
constexpr milliseconds planPause{250};
/// Moves under way at once, so that most keys are always being served.
constexpr std::size_t mostMoves = 12;

} // namespace

keeper_timing timingFor(std::int64_t targets, milliseconds longestHold)
{
    // About two runs of keys a target, and 300 renewals a second, a tenth of a small VM's core.
    constexpr milliseconds renewalPause{7};
    keeper_timing timing;
    // What the next keeper has to take over in before owners lose their keys.
    const milliseconds takeover = timing.hold - timing.renewAfter;
    timing.longHold = std::min(timing.longHold, longestHold);
    const milliseconds wanted = std::max(timing.hold, targets * renewalPause + takeover);
    timing.hold = std::min(wanted, timing.longHold);
    timing.renewAfter = std::max(timing.hold - takeover, timing.hold / 4);
    return timing;
}

range_keeper::range_keeper(keeper_timing timing, const std::vector<range_owner> &recorded,
                           bool unsettled, time_point now)
    : m_timing(timing)
    , m_load(now)
    , m_planAt(now + planPause)
{
    for (const range_owner &owner : recorded) {
        piece p;
        p.owner = owner;
        p.state = phase::Held;
        p.dueAt = now;
        p.heldUntil = unsettled ? now + upperBound(timing.longHold) : now;
        p.doubtUntil = unsettled ? p.heldUntil : time_point{};
        m_pieces.push_back(std::move(p));
    }
    if (!m_pieces.empty()) {
        fillGaps(now);
    }
}

void range_keeper::fillGaps(time_point now)
{
    std::vector<piece> all;
    int next = 0;
    const auto addFree = [&](int end) {
        if (next < end) {
            piece p;
            p.owner.keys = {static_cast<shard_key>(next), static_cast<shard_key>(end - 1)};
            p.state = phase::Free;
            p.heldUntil = now;
            all.push_back(std::move(p));
        }
    };
    for (piece &p : m_pieces) {
        addFree(p.owner.keys.first);
        next = p.owner.keys.last + 1;
        all.push_back(std::move(p));
    }
    addFree(keyCount);
    m_pieces = std::move(all);
}

milliseconds range_keeper::upperBound(milliseconds hold) const
{
    return hold + hold * slowClockPercent / 100 + m_timing.travel;
}

std::string_view range_keeper::ownerOf(shard_key key) const
{
    const auto it =
        std::upper_bound(m_pieces.begin(), m_pieces.end(), key,
                         [](shard_key k, const piece &p) { return k < p.owner.keys.first; });
    if (it == m_pieces.begin() || !std::prev(it)->owner.keys.contains(key)
        || std::prev(it)->state != phase::Held) {
        return {};
    }
    return std::prev(it)->owner.target;
}

std::vector<range_order> range_keeper::step(const owner_views &views, time_point leaseEnd,
                                            time_point now)
{
    std::vector<range_order> orders;
    if (m_pieces.empty()) {
        std::vector<owner_candidate> candidates;
        for (const auto &[name, view] : views) {
            if (eligible(name, view, now) && !view.cold) {
                candidates.push_back({name, view.incarnation, view.capacity});
            }
        }
        for (const range_owner &owner : evenSplit(candidates)) {
            piece p;
            p.owner.keys = owner.keys;
            p.next = owner.target;
            p.state = phase::Free;
            m_pieces.push_back(std::move(p));
        }
    }
    for (piece &p : m_pieces) {
        check(p, views, now);
    }
    if (now >= m_planAt) {
        m_planAt = now + planPause;
        plan(views, now);
        mergeNeighbours();
    }
    chooseOwners(views, now);
    for (piece &p : m_pieces) {
        if (p.order != 0 || now < p.dueAt) {
            continue;
        }
        if (p.state == phase::Releasing) {
            release(p, now, orders);
        } else if ((p.state == phase::Held || p.state == phase::Granting) && now < leaseEnd) {
            grant(p, now, orders);
        }
    }
    return orders;
}

void range_keeper::check(piece &p, const owner_views &views, time_point now)
{
    if (p.state == phase::Free || p.state == phase::Recording) {
        return;
    }
    const auto it = views.find(p.owner.target);
    const bool reborn =
        it != views.end() && (it->second.ended || it->second.incarnation > p.owner.incarnation);
    const bool leaving = p.state == phase::Releasing;
    if (reborn || (leaving && now >= p.heldUntil)) {
        if (reborn) {
            p.owner.handover.clear();
        }
        setFree(p); // The former life is gone, or its last grant has run out.
        return;
    }
    if (leaving) {
        return;
    }
    const bool silent =
        p.silentSince != time_point{} && now >= p.silentSince + m_timing.hold - m_timing.renewAfter;
    const bool mayOwn = it != views.end() && it->second.reachable && it->second.mayOwn;
    if (silent) {
        abandonOrder(p);
        startRelease(p, {}, now);
    } else if (!mayOwn && p.state == phase::Held && p.order == 0) {
        leave(p, {}, now);
    }
}

/// Takes the keys from their owner, which answers, and which may first need a new fence: it would
/// still carry out an earlier grant that it has not answered.
void range_keeper::leave(piece &p, const std::string &to, time_point now)
{
    if (now < std::max(p.doubtUntil, p.formerDoubtUntil)) {
        p.refencing = true;
        p.afterRefence = to;
        p.next = p.owner.target;
        p.state = phase::Free;
        changed();
    } else {
        startRelease(p, to, now);
    }
}

void range_keeper::startRelease(piece &p, const std::string &to, time_point now)
{
    p.state = phase::Releasing;
    p.owner.handover.clear();
    p.next = to;
    p.dueAt = now;
    changed();
}

void range_keeper::abandonOrder(piece &p)
{
    if (p.order != 0) {
        p.doubtUntil = std::max(p.doubtUntil, p.heldUntil);
        p.order = 0;
    }
}

void range_keeper::setFree(piece &p)
{
    p.state = phase::Free;
    p.order = 0;
    p.doubtUntil = time_point{};
    p.formerDoubtUntil = time_point{};
    p.refencing = false;
    changed();
}

void range_keeper::plan(const owner_views &views, time_point now)
{
    std::vector<owner_candidate> candidates;
    for (const auto &[name, view] : views) {
        if (eligible(name, view, now) && !view.cold) {
            candidates.push_back({name, view.incarnation, view.capacity});
        }
    }
    std::vector<range_owner> owners;
    std::size_t moving = 0;
    for (const piece &p : m_pieces) {
        range_owner owner = p.owner;
        if (p.state != phase::Held) {
            ++moving;
            owner.target = p.next; // Counts as load where it goes, and is not moved again.
        }
        owners.push_back(owner);
    }
    if (moving >= mostMoves) {
        return;
    }
    for (const planned_move &move :
         planMoves(owners, m_load, candidates, mostMoves - moving, now)) {
        startMove(move.keys, move.to, now);
    }
}

void range_keeper::startMove(key_range keys, const std::string &to, time_point now)
{
    for (std::size_t i = 0; i < m_pieces.size(); ++i) {
        const key_range whole = m_pieces[i].owner.keys;
        if (!whole.contains(keys.first) || !whole.contains(keys.last)
            || m_pieces[i].state != phase::Held || m_pieces[i].order != 0
            || m_pieces[i].silentSince != time_point{}) {
            continue;
        }
        piece rest = m_pieces[i];
        piece &moved = m_pieces[i];
        moved.owner.keys = keys;
        leave(moved, to, now);
        std::vector<piece> others;
        if (whole.first < keys.first) {
            rest.owner.keys = {whole.first, static_cast<shard_key>(keys.first - 1)};
            others.push_back(rest);
        }
        if (keys.last < whole.last) {
            rest.owner.keys = {static_cast<shard_key>(keys.last + 1), whole.last};
            others.push_back(rest);
        }
        m_pieces.insert(m_pieces.end(), others.begin(), others.end());
        std::sort(m_pieces.begin(), m_pieces.end(), [](const piece &a, const piece &b) {
            return a.owner.keys.first < b.owner.keys.first;
        });
        changed();
        return;
    }
}

void range_keeper::chooseOwners(const owner_views &views, time_point now)
{
    std::map<std::string, double, std::less<>> loads;
    for (const auto &[name, view] : views) {
        if (eligible(name, view, now)) {
            loads[name] = 0.0;
        }
    }
    if (loads.empty()) {
        return;
    }
    bool anyFree = false;
    for (const piece &p : m_pieces) {
        anyFree = anyFree || p.state == phase::Free;
    }
    if (!anyFree) {
        return;
    }
    const auto weightOf = [&](const piece &p) {
        return m_load.of(p.owner.keys, now) + static_cast<double>(p.owner.keys.size()) / keyCount;
    };
    for (const piece &p : m_pieces) {
        const auto it = loads.find(p.state == phase::Free ? p.next : p.owner.target);
        if (it != loads.end()) {
            it->second += weightOf(p) / views.find(it->first)->second.capacity;
        }
    }
    constexpr double coldPenalty = 1e6; // A cold target owns keys only if there is no other.
    for (piece &p : m_pieces) {
        if (p.state != phase::Free || p.refencing || loads.count(p.next) != 0) {
            continue;
        }
        const std::string *best = nullptr;
        double bestLoad = 0.0;
        for (const auto &[name, load] : loads) {
            const double total = load + (views.find(name)->second.cold ? coldPenalty : 0.0);
            if (!best || total < bestLoad) {
                best = &name;
                bestLoad = total;
            }
        }
        p.next = *best;
        loads[*best] += weightOf(p) / views.find(*best)->second.capacity;
    }
    for (piece &p : m_pieces) {
        if (p.state == phase::Free && !p.refencing) {
            p.owner.incarnation = views.find(p.next)->second.incarnation;
        }
    }
}

void range_keeper::grant(piece &p, time_point now, std::vector<range_order> &orders)
{
    milliseconds hold = p.longHold ? m_timing.longHold : m_timing.hold;
    if (p.silentSince != time_point{} && !p.longHold) {
        // A repeat must not put off the end of the first unanswered renewal.
        const auto left =
            std::chrono::duration_cast<milliseconds>(p.silentSince + m_timing.hold - now);
        hold = std::max(left, m_timing.retryAfter);
    }
    p.order = ++m_lastOrder;
    p.orderSentAt = now;
    p.heldUntil = std::max(p.heldUntil, now + upperBound(hold));
    orders.push_back(grant_order{p.order, p.owner.target, p.owner.incarnation, p.owner.keys,
                                 p.owner.fence, hold, p.owner.handover});
}

void range_keeper::release(piece &p, time_point now, std::vector<range_order> &orders)
{
    p.order = ++m_lastOrder;
    p.orderSentAt = now;
    orders.push_back(
        release_order{p.order, p.owner.target, p.owner.incarnation, p.owner.keys, p.owner.fence});
}

void range_keeper::ended(order_number number, order_outcome outcome, std::string_view handover,
                         time_point now)
{
    const auto it = std::find_if(m_pieces.begin(), m_pieces.end(),
                                 [number](const piece &p) { return p.order == number; });
    if (number == 0 || it == m_pieces.end()) {
        return; // The piece has moved on.
    }
    piece &p = *it;
    p.order = 0;
    noteAnswer(p.owner.target, outcome != order_outcome::Unanswered, now);
    if (p.state == phase::Releasing) {
        if (outcome == order_outcome::Unanswered) {
            p.dueAt = now + m_timing.retryAfter;
            p.releaseLost = true;
            changed();
            return;
        }
        p.owner.handover = handover;
        if (now < std::max(p.doubtUntil, p.formerDoubtUntil)) {
            // A grant without an answer may still be carried out, until its hold has passed.
            p.dueAt = p.heldUntil;
            p.releaseLost = true;
            changed();
        } else {
            setFree(p);
        }
        return;
    }
    if (p.state != phase::Held && p.state != phase::Granting) {
        return;
    }
    switch (outcome) {
    case order_outcome::Done:
        p.dueAt = p.orderSentAt + m_timing.renewAfter;
        p.silentSince = time_point{};
        p.longHold = false;
        p.owner.handover.clear();
        if (p.state == phase::Granting) {
            granted(p, now);
        }
        break;
    case order_outcome::Outdated:
        // Recorded for this target alone, so it only needs a higher fence.
        p.refencing = true;
        p.afterRefence.clear();
        p.next = p.owner.target;
        p.state = phase::Free;
        changed();
        break;
    case order_outcome::Unanswered:
        p.doubtUntil = std::max(p.doubtUntil, p.heldUntil);
        if (p.silentSince == time_point{}) {
            p.silentSince = p.orderSentAt;
        }
        p.dueAt = now + m_timing.retryAfter;
        break;
    }
}

/// The owner has taken the new fence, so it refuses all grants with earlier ones.
void range_keeper::granted(piece &p, time_point now)
{
    p.state = phase::Held;
    p.formerDoubtUntil = time_point{};
    changed();
    const std::string to = std::exchange(p.afterRefence, {});
    if (std::exchange(p.refencing, false) && !to.empty()) {
        leave(p, to, now);
    }
}

void range_keeper::holdOver(time_point now)
{
    for (piece &p : m_pieces) {
        if (p.state == phase::Held || p.state == phase::Granting) {
            abandonOrder(p);
            p.longHold = true;
            p.dueAt = now;
        }
    }
}

void range_keeper::noteAnswer(const std::string &target, bool answered, time_point now)
{
    if (answered) {
        m_silentSince.erase(target);
    } else {
        m_silentSince.emplace(target, now);
    }
}

/// \returns whether \a target may get more keys. One that has left orders unanswered for longer
/// than a repeat takes is passed over, until it answers or has been left alone for a while.
bool range_keeper::eligible(const std::string &target, const owner_view &view, time_point now) const
{
    constexpr milliseconds passedOver{10000};
    const auto silent = m_silentSince.find(target);
    const bool answers = silent == m_silentSince.end() || now < silent->second + m_timing.retryAfter
        || now >= silent->second + passedOver;
    return view.reachable && view.mayOwn && answers;
}

bool range_keeper::wantsRecord() const
{
    return std::any_of(m_pieces.begin(), m_pieces.end(),
                       [](const piece &p) { return p.state == phase::Free && !p.next.empty(); });
}

std::vector<range_owner> range_keeper::record(std::uint64_t &nextFence)
{
    std::vector<range_owner> result;
    for (piece &p : m_pieces) {
        if (p.state == phase::Free && !p.next.empty()) {
            p.state = phase::Recording;
            p.owner.target = p.next;
            p.owner.fence = nextFence++;
        }
        if (p.owner.fence != 0) {
            result.push_back(p.owner);
        }
    }
    return result;
}

void range_keeper::recorded(time_point now)
{
    for (piece &p : m_pieces) {
        if (p.state == phase::Recording) {
            p.state = phase::Granting;
            p.next.clear();
            p.dueAt = now;
            p.order = 0;
            p.silentSince = time_point{};
            p.longHold = false;
            p.releaseLost = false;
            p.formerDoubtUntil = std::max(p.formerDoubtUntil, p.doubtUntil);
            p.doubtUntil = time_point{};
        }
    }
}

void range_keeper::mergeNeighbours()
{
    const auto joins = [](const piece &a, const piece &b) {
        return a.state == phase::Held && b.state == phase::Held && a.order == 0 && b.order == 0
            && a.owner.target == b.owner.target && a.owner.fence == b.owner.fence
            && a.owner.incarnation == b.owner.incarnation
            && a.owner.keys.last + 1 == b.owner.keys.first && a.silentSince == time_point{}
        && b.silentSince == time_point{};
    };
    for (std::size_t i = 0; i + 1 < m_pieces.size();) {
        if (!joins(m_pieces[i], m_pieces[i + 1])) {
            ++i;
            continue;
        }
        m_pieces[i].owner.keys.last = m_pieces[i + 1].owner.keys.last;
        m_pieces[i].heldUntil = std::max(m_pieces[i].heldUntil, m_pieces[i + 1].heldUntil);
        m_pieces[i].doubtUntil = std::max(m_pieces[i].doubtUntil, m_pieces[i + 1].doubtUntil);
        m_pieces[i].formerDoubtUntil =
            std::max(m_pieces[i].formerDoubtUntil, m_pieces[i + 1].formerDoubtUntil);
        m_pieces[i].dueAt = std::min(m_pieces[i].dueAt, m_pieces[i + 1].dueAt);
        m_pieces.erase(m_pieces.begin() + static_cast<std::ptrdiff_t>(i) + 1);
        changed();
    }
}

range_map range_keeper::published(time_point now) const
{
    constexpr milliseconds usualMove{150}; // The work that runs, and two trips.
    range_map map;
    for (const piece &p : m_pieces) {
        range_owner owner = p.owner;
        if (p.state != phase::Held) {
            owner.target.clear();
            owner.wait = usualMove;
            if (p.state == phase::Releasing && p.releaseLost) {
                owner.wait += std::chrono::duration_cast<milliseconds>(
                    std::max<duration>(p.heldUntil - now, milliseconds(0)));
            }
        }
        map.owners.push_back(std::move(owner));
    }
    return map;
}

} // namespace damaskward
