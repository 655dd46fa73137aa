#include "peer_message.h"

#include "message_fields.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>

namespace damaskward {

// Every message is a MessagePack array: a letter that identifies its type, then its fields in
// order. The fields of each type are listed once, for the encoder and the decoder. A decoder
// ignores further fields.

template <typename Archive>
void describe(Archive &fields, table_position &m)
{
    fields(m.era, m.revision);
}

template <typename Archive>
void describe(Archive &fields, capacity_rating &m)
{
    fields(m.roleClass, m.weight);
}

template <typename Archive>
void describe(Archive &fields, heartbeat &m)
{
    fields(m.name, m.dataCenter, m.ip, m.incarnation, m.configVersion, m.mapVersion,
           m.newestMapVersion, m.coordinatorVersion, m.storeEra, m.isShuttingDown, m.rating,
           m.wantsIntroduction, m.wantsRequests, m.inFlight, m.readsStore, m.registryVersion,
           m.operatorPosition, m.drainedDataCenters, m.registryAgeMillis);
}

template <typename Archive>
void describe(Archive &fields, vm_identity &m)
{
    fields(m.name, m.dataCenter, m.ip, m.incarnation, m.rating, m.isShuttingDown, m.isCoordinator);
}

template <typename Archive>
void describe(Archive &fields, roster_entry &m)
{
    fields(m.id, m.isRemoved, m.identity);
}

template <typename Archive>
void describe(Archive &fields, silent_vm &m)
{
    fields(m.id, m.ageMillis);
}

template <typename Archive>
void describe(Archive &fields, center_state &m)
{
    fields(m.name, m.ageMillis, m.loads);
}

template <typename Archive>
void describe(Archive &fields, relayed_heartbeat &m)
{
    fields(m.beat, m.ageMillis);
}

template <typename Archive>
void describe(Archive &fields, member_update &m)
{
    fields(m.sender, m.isIntroduction, m.rosterBase, m.rosterVersion, m.changed, m.silent,
           m.centers, m.relayed, m.inFlight);
}

template <typename Archive>
void describe(Archive &fields, roster_ack &m)
{
    fields(m.from, m.version);
}

template <typename Archive>
void describe(Archive &fields, target_record &m)
{
    fields(m.name, m.incarnation, m.service, m.dataCenter, m.address, m.slots, m.draining,
           m.heartbeatCounter, m.warmupLeft, m.version);
}

template <typename Archive>
void describe(Archive &fields, removed_target &m)
{
    fields(m.name, m.incarnation, m.heartbeatCounter);
}

template <typename Archive>
void describe(Archive &fields, registry_delta &m)
{
    fields(m.reader, m.base, m.version, m.changed, m.removed, m.ageMillis);
}

template <typename Archive>
void describe(Archive &fields, owner_query &m)
{
    fields(m.from, m.version);
}

template <typename Archive>
void describe(Archive &fields, service_time_sample &m)
{
    fields(m.count, m.millis);
}

template <typename Archive>
void describe(Archive &fields, priority_run &m)
{
    fields(m.priority, m.count);
}

template <typename Archive>
void describe(Archive &fields, key_demand &m)
{
    fields(m.keys, m.serviceTimes, m.queueLengths, m.priorities);
}

template <typename Archive>
void describe(Archive &fields, owner_shares &m)
{
    fields(m.version, m.base, m.shares, m.byPriority);
}

template <typename Archive>
void describe(Archive &fields, token_request &m)
{
    fields(m.sequence, m.wanted, m.held);
}

template <typename Archive>
void describe(Archive &fields, limit_token_request &m)
{
    fields(m.limit, m.request);
}

template <typename Archive>
void describe(Archive &fields, peer_token_request &m)
{
    fields(m.from, m.request);
}

template <typename Archive>
void describe(Archive &fields, token_response &m)
{
    fields(m.granted, m.lifetimeMicros, m.retryMicros, m.open);
}

template <typename Archive>
void describe(Archive &fields, warmup_notice &m)
{
    fields(m.target, m.incarnation, m.left);
}

template <typename Archive>
void describe(Archive &fields, limit_token_response &m)
{
    fields(m.limit, m.sequence, m.answer);
}

/// \returns the value with \a number, of those up to \a last.
/// \throws field_error if there is none
template <typename Value>
Value enumValue(int number, Value last)
{
    if (number < 0 || number > static_cast<int>(last)) {
        throw field_error("number of an enumeration");
    }
    return static_cast<Value>(number);
}

template <typename Archive>
void describe(Archive &fields, capacity_request &m)
{
    fields(m.number, m.priority, m.team, m.left, m.tried);
}

template <typename Archive>
void describe(Archive &fields, capacity_return &m)
{
    int outcome = static_cast<int>(m.outcome);
    fields(m.number, outcome, m.elapsed, m.running);
    m.outcome = enumValue(outcome, capacity_outcome::Unused);
}

template <typename Archive>
void describe(Archive &fields, capacity_use &m)
{
    fields(m.number, m.target, m.left);
}

template <typename Archive>
void describe(Archive &fields, capacity_report &m)
{
    fields(m.group, m.returns, m.uses, m.requests);
}

template <typename Archive>
void describe(Archive &fields, capacity_reports &m)
{
    fields(m.from, m.reports);
}

template <typename Archive>
void describe(Archive &fields, capacity_decision &m)
{
    int verdict = static_cast<int>(m.verdict);
    fields(m.number, verdict, m.target, m.retryAfter);
    m.verdict = enumValue(verdict, capacity_verdict::Refused);
}

template <typename Archive>
void describe(Archive &fields, capacity_decisions &m)
{
    fields(m.group, m.decisions);
}

template <typename Archive>
void describe(Archive &fields, answer_counts &m)
{
    std::vector<std::uint32_t> buckets(m.buckets.begin(), m.buckets.end());
    fields(m.answers, m.failures, m.millis, buckets);
    if (buckets.size() != answer_counts::bucketCount) {
        throw field_error("buckets of answer times");
    }
    std::copy(buckets.begin(), buckets.end(), m.buckets.begin());
}

template <typename Archive>
void describe(Archive &fields, version_counts &m)
{
    fields(m.target, m.others);
}

template <typename Archive>
void describe(Archive &fields, rollout_evidence &m)
{
    fields(m.from, m.service, m.target, m.version, m.routes);
}

template <typename Archive>
void describe(Archive &fields, rollout_request &m)
{
    fields(m.service, m.target, m.duration, m.version);
}

template <typename Archive>
void describe(Archive &fields, rollout_notice &m)
{
    auto state = static_cast<int>(m.state);
    fields(m.request, state, m.age, m.share, m.validFor);
    if (state < 0 || state > static_cast<int>(rollout_state::RolledBack)) {
        throw field_error("state of a roll-out");
    }
    m.state = static_cast<rollout_state>(state);
}

template <typename Archive>
void describe(Archive &fields, rollout_notices &m)
{
    fields(m.version, m.rollouts);
}

namespace {

// A range map is encoded as a list of target names, followed by runs of keys: the last key, the
// index of the target in that list, and the wait. This keeps updates small, since each goes to
// every VM, including those in other data centres. In changes, runs of keys that keep
// their owners have the index unchangedTarget.

struct key_run
{
    shard_key last = 0;
    std::uint32_t target = 0;
    milliseconds wait{0};
};

/// Index of no target: the keys of the run keep their owner.
constexpr std::uint32_t unchangedTarget = 0xffff;

struct packed_map
{
    std::vector<std::string> targets;
    std::vector<key_run> runs;
};

struct packed_owners
{
    std::uint64_t version = 0;
    std::map<service_id, packed_map> rangeMaps;
};

template <typename Archive>
void describe(Archive &fields, key_run &m)
{
    fields(m.last, m.target, m.wait);
}

template <typename Archive>
void describe(Archive &fields, packed_map &m)
{
    fields(m.targets, m.runs);
}

template <typename Archive>
void describe(Archive &fields, packed_owners &m)
{
    fields(m.version, m.rangeMaps);
}

struct packed_changes
{
    std::uint64_t base = 0;
    packed_owners owners;
};

template <typename Archive>
void describe(Archive &fields, packed_changes &m)
{
    fields(m.base, m.owners);
}

struct packed_part
{
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    packed_owners owners;
};

template <typename Archive>
void describe(Archive &fields, packed_part &m)
{
    fields(m.index, m.count, m.owners);
}

/// \param isChange whether the keys between the ranges keep their owners, instead of having none
packed_map pack(const range_map &map, bool isChange)
{
    packed_map packed;
    std::map<std::string_view, std::uint32_t> indices;
    int nextKey = 0;
    const auto addRun = [&](int last, const std::string &name, milliseconds wait) {
        const auto [it, added] = indices.emplace(name, static_cast<std::uint32_t>(indices.size()));
        if (added) {
            packed.targets.push_back(name);
        }
        packed.runs.push_back({static_cast<shard_key>(last), it->second, wait});
    };
    static const std::string noTarget;
    for (const range_owner &o : map.owners) {
        if (nextKey < o.keys.first && isChange) {
            packed.runs.push_back(
                {static_cast<shard_key>(o.keys.first - 1), unchangedTarget, milliseconds(0)});
        } else if (nextKey < o.keys.first) {
            addRun(o.keys.first - 1, noTarget, milliseconds(0));
        }
        addRun(o.keys.last, o.target, o.wait);
        nextKey = o.keys.last + 1;
    }
    return packed;
}

/// \throws field_error if the runs are not in order, or refer to no target
range_map unpack(const packed_map &packed, bool isChange)
{
    range_map map;
    int nextKey = 0;
    for (const key_run &run : packed.runs) {
        if (run.last < nextKey) {
            throw field_error("runs of keys");
        }
        if (isChange && run.target == unchangedTarget) {
            nextKey = run.last + 1;
            continue;
        }
        if (run.target >= packed.targets.size()) {
            throw field_error("runs of keys");
        }
        range_owner o;
        o.keys = {static_cast<shard_key>(nextKey), run.last};
        o.target = packed.targets[run.target];
        o.wait = run.wait;
        nextKey = run.last + 1;
        map.owners.push_back(std::move(o));
    }
    return map;
}

packed_owners pack(std::uint64_t version, const std::map<service_id, range_map> &maps,
                   bool isChange)
{
    packed_owners packed;
    packed.version = version;
    for (const auto &[service, map] : maps) {
        packed.rangeMaps[service] = pack(map, isChange);
    }
    return packed;
}

struct encode_visitor
{
    std::string operator()(const heartbeat &m) const { return encodeFields('b', m); }
    std::string operator()(const member_update &m) const { return encodeFields('u', m); }
    std::string operator()(const roster_ack &m) const { return encodeFields('a', m); }
    std::string operator()(const registry_delta &m) const { return encodeFields('r', m); }
    std::string operator()(const owner_query &m) const { return encodeFields('q', m); }
    std::string operator()(const key_demand &m) const { return encodeFields('y', m); }
    std::string operator()(const owner_shares &m) const { return encodeFields('s', m); }
    std::string operator()(const peer_token_request &m) const { return encodeFields('d', m); }
    std::string operator()(const limit_token_response &m) const { return encodeFields('g', m); }
    std::string operator()(const warmup_notice &m) const { return encodeFields('w', m); }
    std::string operator()(const capacity_reports &m) const { return encodeFields('c', m); }
    std::string operator()(const capacity_decisions &m) const { return encodeFields('e', m); }
    std::string operator()(const rollout_notices &m) const { return encodeFields('v', m); }
    std::string operator()(const rollout_evidence &m) const { return encodeFields('k', m); }
    std::string operator()(const owner_update &m) const
    {
        return encodeFields('m', pack(m.version, m.rangeMaps, false));
    }
    std::string operator()(const owner_part &m) const
    {
        return encodeFields('p', packed_part{m.index, m.count, pack(m.version, m.rangeMaps, true)});
    }
    std::string operator()(const owner_delta &m) const
    {
        return encodeFields('o', packed_changes{m.base, pack(m.version, m.changed, true)});
    }
};

/// \throws field_error as for each map
std::map<service_id, range_map> unpack(const packed_owners &packed, bool isChange)
{
    std::map<service_id, range_map> maps;
    for (const auto &[service, map] : packed.rangeMaps) {
        maps[service] = unpack(map, isChange);
    }
    return maps;
}

std::optional<peer_message> decode(const encoded_fields &message)
{
    switch (message.type()) {
    case 'b':
        return message.as<heartbeat>();
    case 'u':
        return message.as<member_update>();
    case 'a':
        return message.as<roster_ack>();
    case 'r':
        return message.as<registry_delta>();
    case 'q':
        return message.as<owner_query>();
    case 'y':
        return message.as<key_demand>();
    case 's':
        return message.as<owner_shares>();
    case 'd': {
        auto request = message.as<peer_token_request>();
        request.request.request.from = vm_id(request.from);
        return request;
    }
    case 'g':
        return message.as<limit_token_response>();
    case 'w':
        return message.as<warmup_notice>();
    case 'c':
        return message.as<capacity_reports>();
    case 'e':
        return message.as<capacity_decisions>();
    case 'm': {
        const auto packed = message.as<packed_owners>();
        return owner_update{packed.version, unpack(packed, false)};
    }
    case 'p': {
        const auto packed = message.as<packed_part>();
        return owner_part{packed.owners.version, packed.index, packed.count,
                          unpack(packed.owners, true)};
    }
    case 'o': {
        const auto packed = message.as<packed_changes>();
        return owner_delta{packed.base, packed.owners.version, unpack(packed.owners, true)};
    }
    case 'v':
        return message.as<rollout_notices>();
    case 'k':
        return message.as<rollout_evidence>();
    default:
        return std::nullopt;
    }
}

} // namespace

std::string encodeMessage(const peer_message &message)
{
    try {
        return std::visit(encode_visitor{}, message);
    } catch (const field_error &) {
        return {}; // The sender counts and logs it.
    }
}

std::string_view kindOfMessage(std::string_view bytes)
{
    constexpr std::size_t typeIndex = 1; // After the header of the array.
    switch (bytes.size() > typeIndex ? bytes[typeIndex] : '\0') {
    case 'b':
        return "heartbeat";
    case 'u':
        return "member_update";
    case 'a':
        return "roster_ack";
    case 'r':
        return "registry_delta";
    case 'q':
        return "owner_query";
    case 'm':
        return "owner_update";
    case 'o':
        return "owner_delta";
    case 'p':
        return "owner_part";
    case 's':
        return "owner_shares";
    case 'y':
        return "key_demand";
    case 'd':
        return "token_request";
    case 'g':
        return "token_response";
    case 'w':
        return "warmup_notice";
    case 'c':
        return "capacity_reports";
    case 'e':
        return "capacity_decisions";
    case 'v':
        return "rollout_notices";
    case 'k':
        return "rollout_evidence";
    default:
        return "other";
    }
}

std::optional<peer_message> decodeMessage(std::string_view datagram)
{
    try {
        return decode(encoded_fields(datagram));
    } catch (const field_error &) {
        return std::nullopt; // The caller counts and logs it.
    }
}

} // namespace damaskward
