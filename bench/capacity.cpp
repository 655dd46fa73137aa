// Time, memory and message sizes of each role at several fleet sizes, from which docs/CAPACITY.md
// derives its growth rates.

#include "damaskward/Admission"
#include "damaskward/Platform"
#include "damaskward/Requests"
#include "damaskward/Routing"

#include <cstdlib>
#include <functional>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <new>

namespace {

std::size_t allocatedBytes = 0;
std::size_t allocations = 0;

} // namespace

void *operator new(std::size_t size)
{
    void *block = std::malloc(size);
    if (block == nullptr) {
        throw std::bad_alloc();
    }
    ++allocations;
    allocatedBytes += malloc_usable_size(block);
    return block;
}

void operator delete(void *block) noexcept
{
    allocatedBytes -= block == nullptr ? 0 : malloc_usable_size(block);
    std::free(block);
}

void operator delete(void *block, std::size_t /*size*/) noexcept
{
    operator delete(block);
}

namespace {

using namespace damaskward;

double meanMicros(const std::function<void()> &operation, int repetitions)
{
    const time_point startedAt = mono_clock::now();
    for (int i = 0; i < repetitions; ++i) {
        operation();
    }
    return std::chrono::duration<double, std::micro>(mono_clock::now() - startedAt).count()
        / repetitions;
}

/// Generates the rules and table rows of a fleet of a given size.
struct sized_fleet
{
    int vms = 12;
    int targets = 20;
    int shards = 64;
    int teams = 8;
    int dataCenters = 3;

    std::string rules() const
    {
        std::string text = "service s keyed idempotent shards=" + std::to_string(shards) + " # b\n";
        for (int i = 0; i < dataCenters; ++i) {
            text += "data-center d" + std::to_string(i) + " share=1 # b\n";
        }
        for (int i = 0; i < targets; ++i) {
            text += "target s/t" + std::to_string(i) + " dc=d" + std::to_string(i % dataCenters)
                + " address=10.0.0.1:9000 slots=2 connections=130 # b\n";
        }
        for (int i = 0; i < teams; ++i) {
            text += "team m" + std::to_string(i) + " # b\nlimit m" + std::to_string(i)
                + " rate=10 burst=5 # b\n";
        }
        return text;
    }

    session_row session(int vm) const
    {
        session_row row;
        row.dataCenter = data_center_id("d" + std::to_string(vm % dataCenters));
        row.term = 1;
        row.counter = 1000;
        row.controlAddress = "10.0.0.1:8081";
        row.adminAddress = "10.0.0.1:8082";
        row.nonce = 1234567890123456789ULL;
        for (int i = vm % dataCenters; i < vms; i += dataCenters) {
            row.voters.push_back({vm_id("vm" + std::to_string(i)), 1});
        }
        return row;
    }

    table_changes rows() const
    {
        table_changes changes;
        changes.revision = 1;
        for (int i = 0; i < vms; ++i) {
            changes.rows.push_back(
                {sessionName(vm_id("vm" + std::to_string(i))), encode(session(i)), 1, false});
        }
        for (int i = 0; i < targets; ++i) {
            const target_id target{service_id("s"), "t" + std::to_string(i)};
            const data_center_id dc("d" + std::to_string(i % dataCenters));
            role_row row;
            row.vm = vm_id("vm" + std::to_string(i % vms));
            row.sessionTerm = 1;
            row.term = 1;
            row.status = target_status::Up;
            changes.rows.push_back({roleName(dc, gateRole(target)), encode(row), 1, false});
        }
        for (int i = 0; i < shards; ++i) {
            shard_row row{{service_id("s"), "t" + std::to_string(i % targets)}, 1};
            const shard_id shard{service_id("s"), static_cast<std::uint32_t>(i)};
            changes.rows.push_back({shardName(shard), encode(row), 1, false});
        }
        return changes;
    }
};

void measureFleet(const char *label, int size, const sized_fleet &fleet)
{
    const std::string text = fleet.rules();
    const table_changes rows = fleet.rows();
    std::size_t before = allocatedBytes;
    const auto rules = std::make_shared<const rule_set>(parseRules(text, "b").value);
    const std::size_t rulesBytes = allocatedBytes - before;
    before = allocatedBytes;
    table_replica replica;
    replica.apply(rows, mono_clock::now());
    const std::size_t replicaBytes = allocatedBytes - before;
    before = allocatedBytes;
    const routing_view view(*rules, 1, replica);
    const std::size_t viewBytes = allocatedBytes - before;
    const double planMicros = meanMicros([&] { const shard_plan plan(*rules, replica); }, 1);
    const double viewMicros =
        meanMicros([&] { const routing_view repeatedView(*rules, 1, replica); }, 1);
    const double parseMicros = meanMicros([&] { parseRules(text, "b"); }, 1);
    const std::size_t renewal = encode(fleet.session(0)).size();

    ownership_config config;
    config.self = vm_id("vm0");
    config.dataCenter = data_center_id("d0");
    ownership instance(config);
    action_list actions;
    const time_point now = mono_clock::now();
    instance.handle(rules_adopted{1, rules}, now, actions);
    instance.handle(read_done{1, rows}, now, actions);
    actions.clear();
    const double tickMicros = meanMicros(
        [&] {
            actions.clear();
            instance.handle(tick{}, now + milliseconds(1), actions);
        },
        20);
    std::cout << std::setw(8) << label << std::setw(8) << size << std::fixed << std::setprecision(0)
              << std::setw(12) << rulesBytes / 1024 << std::setw(12) << replicaBytes / 1024
              << std::setw(12) << viewBytes / 1024 << std::setw(12) << parseMicros << std::setw(12)
              << planMicros << std::setw(12) << viewMicros << std::setw(12) << tickMicros
              << std::setw(12) << renewal << '\n';
}

void measureFleets()
{
    std::cout << "     of    size   rules KiB replica KiB    view KiB    parse us     plan us"
                 "     view us     tick us   renewal B\n";
    for (const int vms : {12, 46, 138, 550}) {
        sized_fleet fleet;
        fleet.vms = vms;
        measureFleet("vms", vms, fleet);
    }
    for (const int targets : {20, 100, 500, 2000}) {
        sized_fleet fleet;
        fleet.targets = targets;
        fleet.shards = 4096;
        measureFleet("targets", targets, fleet);
    }
    for (const int shards : {1024, 4096, 16384, 65536}) {
        sized_fleet fleet;
        fleet.targets = 100;
        fleet.shards = shards;
        measureFleet("shards", shards, fleet);
    }
    for (const int teams : {8, 100, 1000}) {
        sized_fleet fleet;
        fleet.teams = teams;
        measureFleet("teams", teams, fleet);
    }
    sized_fleet goalFleet;
    goalFleet.vms = 550;
    goalFleet.targets = 2000;
    goalFleet.shards = 65536;
    goalFleet.teams = 100;
    goalFleet.dataCenters = 12;
    measureFleet("goal", 550, goalFleet);
}

void measureDecision()
{
    sized_fleet fleet;
    fleet.targets = 100;
    fleet.shards = 4096;
    const rule_set rules = parseRules(fleet.rules(), "b").value;
    table_replica replica;
    replica.apply(fleet.rows(), mono_clock::now());
    const routing_view view(rules, 1, replica);
    std::uint64_t checksum = 0;
    const std::string key = "student-1234567";
    const std::size_t before = allocations;
    constexpr int repetitions = 1000000;
    const double micros = meanMicros(
        [&] {
            const routed_service *service = view.service("s");
            checksum += view.routeKey(*service, key).shard;
        },
        repetitions);
    std::cout << std::setprecision(4) << "routing decision: " << micros << " us, allocations "
              << allocations - before << " in " << repetitions << " (check " << checksum % 7
              << ")\n";
}

void measureMessages()
{
    grant_request renewal;
    renewal.target = {service_id("lookup"), "l1"};
    renewal.boot = 1733300000000000ULL;
    renewal.gateTerm = 12;
    renewal.sequence = 100000;
    renewal.setNumber = 7;
    renewal.deadline.micros = 1000000000;
    std::cout << "grant renewal " << writeJson(toJson(renewal)).size() << " B";
    for (const int shards : {8, 32, 128}) {
        renewal.shards.emplace();
        for (int i = 0; i < shards; ++i) {
            renewal.shards->push_back(
                {shard_id{service_id("lookup"), static_cast<std::uint32_t>(i)}, 3});
        }
        std::cout << ", with " << shards << " shards " << writeJson(toJson(renewal)).size() << " B";
    }
    std::cout << "\ngrant answer " << writeJson(toJson(grant_answer{})).size() << " B, hold "
              << writeJson(toJson(hold_request{})).size() << " B, vote "
              << writeJson(toJson(vote_request{})).size() << " B, intent row "
              << encode(intent_row{}).size() << " B\n";
    const time_point now = mono_clock::now();
    token_bucket bucket(1e9, 1e9, now, 1e9);
    std::uint64_t sequence = 0;
    std::cout << "a token request at the bucket: "
              << meanMicros(
                     [&] {
                         bucket.draw({vm_id("e"), ++sequence, 5, 0}, now + seconds(60),
                                     mono_clock::now());
                     },
                     100000)
              << " us\n";
    gate_queue queue({2, 2, milliseconds(0)});
    queue.setOpen(true);
    request_number number = 0;
    std::cout << "a request through a gate's queue: "
              << meanMicros(
                     [&] {
                         const time_point at = mono_clock::now();
                         queue.enqueue({++number, team_id("t"), at + seconds(9)}, at);
                         queue.dispatch(at);
                         queue.finish(number, true, at);
                     },
                     100000)
              << " us\n";
}

} // namespace

int main()
{
    measureFleets();
    measureDecision();
    measureMessages();
    return 0;
}
