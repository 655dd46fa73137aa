// Malformed input never ends a process: seeded mutations of everything that is read. The suite is
// also run under the address and undefined-behaviour sanitizers.

#include "damaskward/Ownership"
#include "damaskward/Platform"
#include "damaskward/Requests"
#include "damaskward/Transport"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace {

using namespace damaskward;

/// Flips, inserts, deletes and doubles bytes.
std::string mutate(std::string text, std::mt19937_64 &random)
{
    const auto pick = [&random](std::size_t below) {
        return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
    };
    const std::size_t edits = 1 + pick(6);
    for (std::size_t i = 0; i < edits && !text.empty(); ++i) {
        const std::size_t at = pick(text.size());
        switch (pick(5)) {
        case 0:
            text[at] = static_cast<char>(pick(256));
            break;
        case 1:
            text.insert(at, 1, static_cast<char>(pick(256)));
            break;
        case 2:
            text.erase(at, 1 + pick(8));
            break;
        case 3:
            text.insert(at, text.substr(pick(text.size()), pick(40)));
            break;
        default:
            text.insert(at, "99999999999999999999");
            break;
        }
    }
    return text;
}

class malformed_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(malformed_test);
    CPPUNIT_TEST(rules);
    CPPUNIT_TEST(settings);
    CPPUNIT_TEST(rows);
    CPPUNIT_TEST(messages);
    CPPUNIT_TEST(remoteCalls);
    CPPUNIT_TEST(paths);
    CPPUNIT_TEST(goodRowsComeBack);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int rounds = 4000;

    template <typename Read>
    static void feed(const std::string &good, std::uint64_t seed, Read read)
    {
        std::mt19937_64 random(seed);
        for (int i = 0; i < rounds; ++i) {
            read(mutate(good, random));
        }
    }

    void rules()
    {
        const std::string good =
            "data-center a share=50 # x\nservice s keyed idempotent shards=4 # x\n"
            "target s/t dc=a address=1.2.3.4:5 slots=2 # x\nteam t # x\n"
            "limit t rate=1 burst=2 # x\nkey t sha256="
            + std::string(64, 'a') + " # x\nobjective s latency_ms=3 success=0.5 # x\n";
        feed(good, 1, [](const std::string &text) { parseRules(text, "f"); });
    }

    void settings()
    {
        feed(R"({"vm":"a","data_center":"d","caller_address":"1.2.3.4:5","timing":{"session_ms":3},
                 "log":{"level":"info"},"limits":{"max_waiting":5}, "secret":"abcdefgh"})",
             2, [](const std::string &text) { parseSettings(text, "f"); });
    }

    void rows()
    {
        session_row session;
        session.voters = {{vm_id("a"), 3}};
        feed(encode(session), 3, [](const std::string &text) { decodeSession(text); });
        feed(encode(role_row{}), 4, [](const std::string &text) { decodeRole(text); });
        feed(encode(shard_row{}), 5, [](const std::string &text) { decodeShard(text); });
        feed(encode(head_row{}), 6, [](const std::string &text) { decodeHead(text); });
        feed(encode(intent_row{}), 7, [](const std::string &text) { decodeIntent(text); });
        feed("shard/service/17", 8, [](const std::string &text) { shardOfName(text); });
    }

    void messages()
    {
        table_changes changes;
        changes.rows.push_back({"session/a", encode(session_row{}), 7, false});
        feed(encodeChanges(changes), 9, [](const std::string &text) {
            const auto read = decodeChanges(text);
            table_mirror mirror;
            if (read) {
                mirror.apply(*read, time_point{});
            }
        });
        table_transaction transaction;
        transaction.replace("a", 1, "b");
        feed(encodeTransaction(transaction), 10,
             [](const std::string &text) { decodeTransaction(text); });
        commit_answer answer;
        answer.conflicts = {"a"};
        feed(encodeCommitAnswer(answer), 11,
             [](const std::string &text) { decodeCommitAnswer(text); });
        grant_request grant;
        grant.shards = {{shard_id{service_id("s"), 3}, 4}};
        feed(writeJson(toJson(grant)), 12, [](const std::string &text) {
            const auto value = readJsonObject(text);
            if (value) {
                readGrantRequest(*value);
                readGrantAnswer(*value);
                readHoldAnswer(*value);
                readVoteRequest(*value);
            }
        });
    }

    void remoteCalls()
    {
        rpc_server server;
        server.add("echo", [](const Json::Value &in) {
            Json::Value out;
            out["said"] = jsonText(in, "say");
            return out;
        });
        const std::string good =
            R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{"say":"hello"}})";
        CPPUNIT_ASSERT(server.answer(good).find("hello") != std::string::npos);
        feed(good, 13, [&server](const std::string &text) { server.answer(text); });
    }

    void paths()
    {
        feed("/lookup/student-17%20b?x=1", 14, [](const std::string &text) {
            try {
                splitPath(web::uri(text));
            } catch (const web::uri_exception &) {
                // cpprest refuses such a request line before the router sees it.
            }
        });
    }

    void goodRowsComeBack()
    {
        session_row row;
        row.dataCenter = data_center_id("d");
        row.term = 7;
        row.counter = 9;
        row.state = session_state::Ended;
        row.controlAddress = "1.2.3.4:5";
        row.rulesVersion = 3;
        row.nonce = UINT64_MAX;
        row.voters = {{vm_id("a"), 1}, {vm_id("b"), 2}};
        const session_row back = decodeSession(encode(row)).value();
        CPPUNIT_ASSERT_EQUAL(encode(row), encode(back));
        CPPUNIT_ASSERT(back.voters == row.voters);
        const shard_id shard{service_id("some/thing"), 12};
        CPPUNIT_ASSERT(shardOfName(shardName(shard)).value() == shard);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(malformed_test, "malformed");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("malformed");

} // namespace
