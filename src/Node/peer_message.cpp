#include "peer_message.h"

#include <nlohmann/json.hpp>

namespace damaskward {
namespace {

using json = nlohmann::json;

// Every message is a CBOR array: a letter for its type, then its fields in order.

struct encode_visitor
{
    json operator()(const peer_beat &m) const
    {
        return {"b",          m.name,   m.dataCenter, m.ip,      m.incarnation, m.configVersion,
                m.mapVersion, m.keeper, m.leaving,    m.inFlight};
    }
    json operator()(const owner_update &m) const
    {
        json services = json::object();
        for (const auto &[service, map] : m.maps) {
            json owners = json::array();
            for (const range_owner &o : map.owners) {
                owners.push_back(
                    {o.keys.first, o.keys.last, o.target, o.incarnation, o.fence, o.wait.count()});
            }
            services[service.str()] = std::move(owners);
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
        for (const auto &[target, sample] : m.work) {
            work[target] = {sample.count, sample.millis};
        }
        return {"y", std::move(services), std::move(work)};
    }
    json operator()(const peer_draw &m) const
    {
        return {"d",
                m.from,
                m.draw.limit,
                m.draw.request.sequence,
                m.draw.request.wanted,
                m.draw.request.held};
    }
    json operator()(const token_grant &m) const
    {
        return {"g",
                m.limit,
                m.sequence,
                m.answer.granted,
                m.answer.lifetimeMicros,
                m.answer.retryMicros};
    }
};

peer_beat decodeBeat(const json &a)
{
    peer_beat m;
    m.name = a.at(1);
    m.dataCenter = a.at(2);
    m.ip = a.at(3);
    m.incarnation = a.at(4);
    m.configVersion = a.at(5);
    m.mapVersion = a.at(6);
    m.keeper = a.at(7);
    m.leaving = a.at(8);
    m.inFlight = a.at(9).get<std::map<std::string, int>>();
    return m;
}

owner_update decodeOwners(const json &a)
{
    owner_update m;
    m.version = a.at(1);
    for (const auto &[service, owners] : a.at(2).items()) {
        range_map map;
        for (const json &item : owners) {
            range_owner o;
            o.keys = {item.at(0).get<shard_key>(), item.at(1).get<shard_key>()};
            o.target = item.at(2);
            o.incarnation = item.at(3);
            o.fence = item.at(4);
            o.wait = milliseconds(item.at(5).get<std::int64_t>());
            map.owners.push_back(std::move(o));
        }
        m.maps[service_id(service)] = std::move(map);
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
        m.work[target] = {sample.at(0), sample.at(1)};
    }
    return m;
}

peer_draw decodeDraw(const json &a)
{
    return {a.at(1), {a.at(2), {vm_id(a.at(1).get<std::string>()), a.at(3), a.at(4), a.at(5)}}};
}

token_grant decodeGrant(const json &a)
{
    return {a.at(1), a.at(2), {a.at(3), a.at(4), a.at(5)}};
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
    const json value = json::from_cbor(datagram, true, false);
    if (!value.is_array()) {
        return std::nullopt;
    }
    try {
        return decodeArray(value);
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace damaskward
