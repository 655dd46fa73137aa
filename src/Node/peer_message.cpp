#include "peer_message.h"

#include "../Core/json_depth.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace damaskward {
namespace {

using json = nlohmann::json;

// Every message is a CBOR array: a letter that identifies its type, then its fields in order.

// A range map is encoded as a list of target names, followed by three numbers for each run of keys:
// its last key, the index of its target in that list, and the wait. This keeps updates small, since
// each goes to every VM, including those in other data centres.

json encodeMap(const range_map &map)
{
    json names = json::array();
    json runs = json::array();
    std::map<std::string_view, std::size_t> indices;
    int nextKey = 0;
    const auto indexOf = [&](const std::string &name) {
        const auto [it, added] = indices.emplace(name, indices.size());
        if (added) {
            names.push_back(name);
        }
        return it->second;
    };
    const auto addRun = [&](int last, const std::string &name, milliseconds wait) {
        runs.insert(runs.end(), {last, indexOf(name), wait.count()});
    };
    static const std::string noTarget;
    for (const range_owner &o : map.owners) {
        if (nextKey < o.keys.first) {
            addRun(o.keys.first - 1, noTarget, milliseconds(0));
        }
        addRun(o.keys.last, o.target, o.wait);
        nextKey = o.keys.last + 1;
    }
    return {std::move(names), std::move(runs)};
}

range_map decodeMap(const json &a)
{
    const auto names = a.at(0).get<std::vector<std::string>>();
    const json &runs = a.at(1);
    range_map map;
    int nextKey = 0;
    constexpr std::size_t fieldsPerRun = 3;
    for (std::size_t i = 0; i + fieldsPerRun <= runs.size(); i += fieldsPerRun) {
        range_owner o;
        o.keys = {static_cast<shard_key>(nextKey), runs.at(i).get<shard_key>()};
        o.target = names.at(runs.at(i + 1).get<std::size_t>());
        o.wait = milliseconds(runs.at(i + 2).get<std::int64_t>());
        nextKey = o.keys.last + 1;
        map.owners.push_back(std::move(o));
    }
    return map;
}

struct encode_visitor
{
    json operator()(const heartbeat &m) const
    {
        return {"b",
                m.name,
                m.dataCenter,
                m.ip,
                m.incarnation,
                m.configVersion,
                m.mapVersion,
                m.coordinatorVersion,
                m.isShuttingDown,
                m.inFlight,
                m.readsStore,
                m.registryVersion,
                m.operatorPosition.revision,
                m.drainedDataCenters,
                m.hasSpareCpu,
                m.knowsNoPeer,
                m.storeEra,
                m.operatorPosition.era};
    }
    json operator()(const membership_digest &m) const
    {
        json vms = json::array();
        for (const digest_entry &vm : m.vms) {
            vms.push_back({vm.name, vm.dataCenter, vm.ip, vm.incarnation, vm.hasSpareCpu,
                           vm.isShuttingDown, vm.isCoordinator, vm.ageMillis});
        }
        return {"c",          m.dataCenter,   m.ip,    m.configVersion,
                m.mapVersion, std::move(vms), m.loads, m.storeEra};
    }
    json operator()(const registry_delta &m) const
    {
        json changed = json::array();
        for (const target_record &r : m.changed) {
            changed.push_back({r.name, r.incarnation, r.service.str(), r.dataCenter.str(),
                               r.address, r.slots, r.draining, r.heartbeatCounter,
                               r.warmupLeft.count()});
        }
        json removed = json::array();
        for (const removed_target &t : m.removed) {
            removed.push_back({t.name, t.incarnation, t.heartbeatCounter});
        }
        return {"r", m.reader, m.base, m.version, std::move(changed), std::move(removed)};
    }
    json operator()(const owner_update &m) const
    {
        json services = json::object();
        for (const auto &[service, map] : m.rangeMaps) {
            services[service.str()] = encodeMap(map);
        }
        return {"m", m.version, std::move(services)};
    }
    json operator()(const owner_query &m) const { return {"q", m.from}; }
    json operator()(const key_demand &m) const
    {
        json services = json::object();
        for (const auto &[service, keys] : m.keys) {
            services[service.str()] = keys;
        }
        json work = json::object();
        for (const auto &[target, sample] : m.serviceTimes) {
            work[target] = {sample.count, sample.millis};
        }
        return {"y", std::move(services), std::move(work), m.queueLengths};
    }
    json operator()(const owner_shares &m) const { return {"s", m.version, m.shares}; }
    json operator()(const peer_token_request &m) const
    {
        return {"d",
                m.from,
                m.request.limit,
                m.request.request.sequence,
                m.request.request.wanted,
                m.request.request.held};
    }
    json operator()(const limit_token_response &m) const
    {
        return {"g",
                m.limit,
                m.sequence,
                m.answer.granted,
                m.answer.lifetimeMicros,
                m.answer.retryMicros,
                m.answer.open};
    }
};

heartbeat decodeBeat(const json &a)
{
    heartbeat m;
    m.name = a.at(1);
    m.dataCenter = a.at(2);
    m.ip = a.at(3);
    m.incarnation = a.at(4);
    m.configVersion = a.at(5);
    m.mapVersion = a.at(6);
    m.coordinatorVersion = a.at(7);
    m.isShuttingDown = a.at(8);
    m.inFlight = a.at(9).get<std::map<std::string, int>>();
    m.readsStore = a.at(10);
    m.registryVersion = a.at(11);
    m.drainedDataCenters = a.at(13).get<std::vector<std::string>>();
    m.hasSpareCpu = a.at(14);
    m.knowsNoPeer = a.at(15);
    m.storeEra = a.at(16);
    m.operatorPosition = {a.at(17), a.at(12)};
    return m;
}

membership_digest decodeDigest(const json &a)
{
    membership_digest m;
    m.dataCenter = a.at(1);
    m.ip = a.at(2);
    m.configVersion = a.at(3);
    m.mapVersion = a.at(4);
    for (const json &item : a.at(5)) {
        digest_entry vm;
        vm.name = item.at(0);
        vm.dataCenter = item.at(1);
        vm.ip = item.at(2);
        vm.incarnation = item.at(3);
        vm.hasSpareCpu = item.at(4);
        vm.isShuttingDown = item.at(5);
        vm.isCoordinator = item.at(6);
        vm.ageMillis = std::max<std::int64_t>(0, item.at(7).get<std::int64_t>());
        m.vms.push_back(std::move(vm));
    }
    m.loads = a.at(6).get<std::map<std::string, double>>();
    m.storeEra = a.at(7);
    return m;
}

registry_delta decodeRegistry(const json &a)
{
    registry_delta m;
    m.reader = a.at(1);
    m.base = a.at(2);
    m.version = a.at(3);
    for (const json &item : a.at(4)) {
        target_record r;
        r.name = item.at(0);
        r.incarnation = item.at(1);
        r.service = service_id(item.at(2).get<std::string>());
        r.dataCenter = data_center_id(item.at(3).get<std::string>());
        r.address = item.at(4);
        r.slots = item.at(5);
        r.draining = item.at(6);
        r.heartbeatCounter = item.at(7);
        r.warmupLeft = milliseconds(item.at(8).get<std::int64_t>());
        m.changed.push_back(std::move(r));
    }
    for (const json &item : a.at(5)) {
        m.removed.push_back({item.at(0), item.at(1), item.at(2)});
    }
    return m;
}

owner_update decodeOwners(const json &a)
{
    owner_update m;
    m.version = a.at(1);
    for (const auto &[service, map] : a.at(2).items()) {
        m.rangeMaps[service_id(service)] = decodeMap(map);
    }
    return m;
}

key_demand decodeDemand(const json &a)
{
    key_demand m;
    for (const auto &[service, keys] : a.at(1).items()) {
        m.keys[service_id(service)] = keys.get<std::vector<shard_key>>();
    }
    for (const auto &[target, sample] : a.at(2).items()) {
        m.serviceTimes[target] = {sample.at(0), sample.at(1)};
    }
    m.queueLengths = a.at(3).get<std::map<std::string, int>>();
    return m;
}

peer_token_request decodeDraw(const json &a)
{
    return {a.at(1), {a.at(2), {vm_id(a.at(1).get<std::string>()), a.at(3), a.at(4), a.at(5)}}};
}

limit_token_response decodeGrant(const json &a)
{
    return {a.at(1), a.at(2), {a.at(3), a.at(4), a.at(5), a.at(6)}};
}

std::optional<peer_message> decodeArray(const json &a)
{
    const std::string type = a.at(0);
    if (type == "b") {
        return decodeBeat(a);
    }
    if (type == "m") {
        return decodeOwners(a);
    }
    if (type == "q") {
        return owner_query{a.at(1)};
    }
    if (type == "y") {
        return decodeDemand(a);
    }
    if (type == "d") {
        return decodeDraw(a);
    }
    if (type == "s") {
        return owner_shares{a.at(1), a.at(2).get<std::map<std::string, double>>()};
    }
    if (type == "c") {
        return decodeDigest(a);
    }
    if (type == "r") {
        return decodeRegistry(a);
    }
    if (type == "g") {
        return decodeGrant(a);
    }
    return std::nullopt;
}

} // namespace

std::string encodeMessage(const peer_message &message)
{
    std::string bytes;
    json::to_cbor(std::visit(encode_visitor{}, message), bytes);
    return bytes;
}

std::optional<peer_message> decodeMessage(std::string_view datagram)
{
    if (!isShallowJson(datagram, json::input_format_t::cbor)) {
        return std::nullopt;
    }
    try {
        const json value = json::from_cbor(datagram, true, false);
        if (!value.is_array()) {
            return std::nullopt;
        }
        return decodeArray(value);
    } catch (const json::exception &) {
        return std::nullopt; // The parser also throws, on impossible sizes.
    }
}

} // namespace damaskward
