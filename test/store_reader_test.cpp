// The VMs of one data centre in one process: which of them read the registry, and how soon all of
// them know of a draining target.

#include "src/Fleet/registry_age.h"
#include "src/Node/node.h"
#include "support/transport_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace damaskward {
namespace testing {
namespace {

constexpr milliseconds drainTime{2000};

/// A store that answers after a while, and some VMs never.
class scripted_store
{
public:
    scripted_store(asio::io_context &loop, deadline_queue &deadlines)
        : m_loop(loop)
        , m_deadlines(deadlines)
    { }

    /// \returns the calls of the VM named \a vm
    store_port portOf(const std::string &vm)
    {
        store_port port;
        port.read = [this, vm](const std::string &table, const std::string &, row_callback done) {
            if (table == "targets") {
                recordRead(vm);
            }
            answer(vm, latency, {rowsOf(table), 1, 1}, std::move(done));
        };
        port.follow = [this, vm](const std::string &, table_revision, milliseconds wait,
                                 row_callback done) {
            answer(vm, wait, {{}, 1, 1}, std::move(done));
        };
        port.commit = [this](const std::string &, const table_transaction &, commit_callback done) {
            asio::post(m_loop, [done = std::move(done)] {
                done({commit_outcome::Conflict, 0, {}, 1});
            });
        };
        return port;
    }

    /// From now on a target drains, and the store is silent to the first \a count VMs that read.
    void beginDrain(std::size_t count)
    {
        isDraining = true;
        m_cutCount = count;
        readers.clear();
    }

    milliseconds latency{5};
    bool isDraining = false;
    std::set<std::string> cut; ///< VMs that get no answer
    std::set<std::string> readers; ///< VMs that have read the registry since the drain began
    std::string lastReader;
    int readCount = 0;

private:
    void recordRead(const std::string &vm)
    {
        if (cut.size() < m_cutCount) {
            cut.insert(vm);
        }
        readers.insert(vm);
        lastReader = vm;
        ++readCount;
    }

    std::vector<table_row> rowsOf(const std::string &table) const
    {
        if (table != "targets") {
            return {{"config", "text", 1}};
        }
        return {{"staying", "ready", 1}, {"leaving", isDraining ? "draining" : "ready", 1}};
    }

    void answer(const std::string &vm, milliseconds after, row_set rows, row_callback done)
    {
        constexpr milliseconds callTimeout{1200};
        const bool isSilent = cut.count(vm) != 0;
        m_deadlines.add(mono_clock::now() + (isSilent ? callTimeout : after),
                        [isSilent, rows = std::move(rows), done = std::move(done)]() mutable {
                            done(isSilent ? row_result(store_failure::Unreachable)
                                          : row_result(std::move(rows)));
                        });
    }

    asio::io_context &m_loop;
    deadline_queue &m_deadlines;
    std::size_t m_cutCount = 0;
};

/// VMs of one data centre with a service of two targets.
class center_fixture
{
public:
    explicit center_fixture(int vmCount)
        : m_guard([this](std::string_view, std::string_view) { ++m_failures; })
        , m_deadlines(m_loop, m_guard)
        , m_callers(m_loop, m_deadlines, m_guard, "Id")
        , store(m_loop, m_deadlines)
    {
        for (const char *name : {"staying", "leaving"}) {
            m_targetAddresses[name] = "127.0.0.1:" + std::to_string(freePort());
            m_targets.push_back(std::make_unique<http_listener>(
                m_loop, m_deadlines, m_guard, m_targetAddresses[name],
                [] { return caller_limits(); },
                [this, name](const std::shared_ptr<http_exchange> &exchange) {
                    ++arrivals[name];
                    http_answer answer = plainAnswer(200);
                    answer.set("Id", exchange->request()["Id"]);
                    answer.set("Proof", "p");
                    exchange->answer(std::move(answer));
                }));
        }
        for (int i = 0; i < vmCount; ++i) {
            m_ips.push_back(m_network + std::to_string(10 + i));
        }
        for (int i = 0; i < vmCount; ++i) {
            addVm(i);
        }
    }

    void runFor(milliseconds span) { m_loop.run_for(span); }

    /// Runs until a VM has just got an answer to a read of the registry.
    void runUntilRead()
    {
        const int before = store.readCount;
        while (store.readCount == before) {
            m_loop.run_one();
        }
        runFor(store.latency + milliseconds(20));
    }

    /// Sends \a count requests to each VM that the store answers.
    /// \returns the number of answers with status 200
    int callAll(int count)
    {
        int served = 0;
        int waiting = 0;
        for (std::size_t i = 0; i < m_ips.size(); ++i) {
            for (int k = 0; k < count && store.cut.count(nameOf(i)) == 0; ++k) {
                ++waiting;
                send(m_ips[i], [&](call_result &&result) {
                    --waiting;
                    served += result.answer.result_int() == 200 ? 1 : 0;
                });
            }
        }
        while (waiting > 0) {
            m_loop.run_one();
        }
        return served;
    }

    std::size_t vmCount() const { return m_ips.size(); }

private:
    static std::string nameOf(std::size_t i) { return "vm-" + std::to_string(i); }
    static constexpr int callerPort = 18588;
    static constexpr int readyPort = 18589;
    static constexpr std::uint16_t peerPort = 18590;
    static constexpr std::uint16_t metricsPort = 18591;

    void addVm(int i)
    {
        const std::string &ip = m_ips[static_cast<std::size_t>(i)];
        vm_environment environment;
        environment.name = vm_id(nameOf(static_cast<std::size_t>(i)));
        environment.dataCenter = data_center_id("near");
        environment.ip = ip;
        environment.callerAddress = ip + ":" + std::to_string(callerPort);
        environment.readyAddress = ip + ":" + std::to_string(readyPort);
        environment.peerPort = peerPort;
        environment.metricsPort = metricsPort;
        environment.seedIps = m_ips;
        environment.firstStart = true;
        environment.bounds.drainTime = drainTime;
        const std::string name = environment.name.str();
        m_vms.push_back(std::make_unique<node>(m_loop, environment, "Id",
                                               [&](outgoing_pool &) { return makePort(name); }));
    }

    platform_port makePort(const std::string &vm)
    {
        platform_port port;
        port.store = store.portOf(vm);
        port.headers = {"Id",      "Left",   "Api-Key", "Team",     "Expected",    "Proof", "Load",
                        "Not-Run", "Warmup", "Key",     "Draining", "Retry-After", {}};
        port.headers.decodeLoad = [](std::string_view) { return std::optional<load_report>(); };
        port.operatorTable = "operators";
        port.targetTable = "targets";
        port.ownTable = "own";
        port.decodeOperatorRow = [](const table_row &) {
            auto config = std::make_shared<deployment>();
            config->version = 1;
            route r;
            r.name = "plain";
            r.host = "a";
            r.prefix = "/";
            r.timeout = seconds(2);
            r.maxAttempts = 1;
            r.services = {{service_id("plain"), 1}};
            config->routes.push_back(r);
            config->services[service_id("plain")];
            config->indexRoutes();
            return operator_update{config, {}, {}};
        };
        port.decodeTarget = [this](const table_row &row) {
            target_record record;
            record.name = row.name;
            record.incarnation = 1;
            record.service = service_id("plain");
            record.dataCenter = data_center_id("near");
            record.address = m_targetAddresses[row.name];
            record.slots = 4;
            record.draining = row.value == "draining";
            record.heartbeatCounter = 10;
            return std::optional<target_record>(record);
        };
        port.decodeWarmup = [](const call_result &, std::string_view) {
            return std::optional<milliseconds>();
        };
        return port;
    }

    void send(const std::string &ip, outgoing_pool::callback done)
    {
        outgoing_call call;
        call.connectionKey = ip;
        call.address = ip + ":" + std::to_string(callerPort);
        call.head = "GET / HTTP/1.1\r\nHost: a\r\nId: " + std::to_string(++m_lastId) + "\r\n\r\n";
        call.deadline = mono_clock::now() + seconds(3);
        m_callers.send(std::move(call), std::move(done));
    }

    const std::string m_network = "127." + std::to_string(1 + ::getpid() % 250) + "."
        + std::to_string(::getpid() / 250 % 250) + ".";
    asio::io_context m_loop;
    int m_failures = 0; ///< handlers that ended with an exception
    handler_guard m_guard;
    deadline_queue m_deadlines;
    outgoing_pool m_callers;
    std::map<std::string, std::string> m_targetAddresses;
    std::vector<std::unique_ptr<http_listener>> m_targets;
    std::vector<std::string> m_ips;
    int m_lastId = 0;

public:
    scripted_store store;
    std::map<std::string, int> arrivals; ///< by target

private:
    std::vector<std::unique_ptr<node>> m_vms;
};

class store_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_reader_test);
    CPPUNIT_TEST(drainIsKnownInTimeWhileReadersAreCutOff);
    CPPUNIT_TEST(drainIsKnownInTimeFromASlowStore);
    CPPUNIT_TEST(oneVmReadsForAll);
    CPPUNIT_TEST(outdatedVmsReadOneAfterTheOther);
    CPPUNIT_TEST(lateDrainShortensTheGracePeriod);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int vmCount = 6;
    static constexpr int requestsPerVm = 12;
    /// In this time all VMs have found each other and follow one store reader.
    static constexpr milliseconds startTime{4000};

    /// Cuts the store reader off just after a read, and those that take over, as a target begins to
    /// drain. Checks that the other VMs send it nothing once the operators' bound has passed.
    static void checkDrain(std::size_t cutCount, milliseconds latency)
    {
        center_fixture f(vmCount);
        f.store.latency = latency;
        f.runFor(startTime);
        CPPUNIT_ASSERT_EQUAL(vmCount * requestsPerVm, f.callAll(requestsPerVm));
        CPPUNIT_ASSERT(f.arrivals["leaving"] > 0);
        f.runUntilRead();
        f.store.beginDrain(cutCount);
        f.runFor(drainTime);
        f.arrivals.clear();
        const int callers = (vmCount - static_cast<int>(cutCount)) * requestsPerVm;
        CPPUNIT_ASSERT_EQUAL(callers, f.callAll(requestsPerVm));
        CPPUNIT_ASSERT_EQUAL(cutCount, f.store.cut.size());
        CPPUNIT_ASSERT_EQUAL(0, f.arrivals["leaving"]);
    }

    // Guards against VMs that follow a store reader which cannot read, and wait too long for those
    // that should take over from it.
    void drainIsKnownInTimeWhileReadersAreCutOff()
    {
        for (const std::size_t cutCount : {1U, 2U, 3U}) {
            checkDrain(cutCount, milliseconds(5));
        }
    }

    // Guards against a bound that holds only with a fast store.
    void drainIsKnownInTimeFromASlowStore() { checkDrain(2, milliseconds(300)); }

    // Guards against further VMs that read a store which answers all of them, each read being
    // billed, also after a VM has taken over for a while.
    void oneVmReadsForAll()
    {
        center_fixture f(vmCount);
        f.runFor(startTime);
        f.runUntilRead();
        const std::string usual = f.store.lastReader;
        f.store.beginDrain(0);
        f.runFor(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.store.readers.size());
        f.store.beginDrain(1);
        f.runFor(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.store.cut.count(usual));
        CPPUNIT_ASSERT(f.store.readers.size() <= vmCount / 2 + 1);
        f.store.beginDrain(0);
        f.store.cut.clear();
        f.runFor(seconds(3)); // The last of its reads without an answer ends.
        f.store.readers.clear();
        f.runFor(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.store.readers.size());
    }

    // Guards against a data centre of many VMs that all read when their reader is cut off, and
    // against VMs that begin too late when many are.
    void outdatedVmsReadOneAfterTheOther()
    {
        const time_point start = mono_clock::now();
        for (const milliseconds bound : {milliseconds(2000), milliseconds(3000)}) {
            registry_age age(bound);
            CPPUNIT_ASSERT(age.readsItselfAt(0) == time_point::max());
            age.recordRead(start);
            age.recordRead(start - seconds(1)); // A late heartbeat.
            std::map<time_point, int> begun;
            constexpr int largeCenter = 100;
            for (int rank = 0; rank < largeCenter; ++rank) {
                ++begun[age.readsItselfAt(rank)];
            }
            CPPUNIT_ASSERT(begun.begin()->first == start + bound / 2);
            CPPUNIT_ASSERT(begun.rbegin()->first <= start + bound * 9 / 10);
            int before = 0;
            for (const auto &[at, count] : begun) {
                CPPUNIT_ASSERT(count <= before + 1);
                before += count;
            }
            CPPUNIT_ASSERT(age.readsItselfAt(1000) == begun.rbegin()->first);
        }
    }

    // Guards against an owner that gets requests for its keys too long after it began to drain,
    // because this VM learned of it late and counted the grace period from then.
    void lateDrainShortensTheGracePeriod()
    {
        const time_point start = mono_clock::now();
        for (const milliseconds late : {milliseconds(400), milliseconds(1500)}) {
            target_pool targets(data_center_id("near"), drainTime);
            target_record record;
            record.name = "t";
            record.heartbeatCounter = 1;
            targets.applyRegistry({record}, start);
            targets.setRegistryReadAt(start);
            record.draining = true;
            targets.applyRegistry({record}, start + late);
            const time_point until = targets.find("t")->ownedWorkUntil;
            CPPUNIT_ASSERT(until < start + drainTime);
            CPPUNIT_ASSERT(until > start + late);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(store_reader_test, "store_reader");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("store_reader");

} // namespace
} // namespace testing
} // namespace damaskward
