// Malformed input must not terminate a process: feeds seeded mutations of valid input to every
// parser. The suite is also run under the address and undefined-behaviour sanitizers.

#include "damaskward/Ownership"
#include "damaskward/Platform"
#include "damaskward/Requests"
#include "damaskward/Transport"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace {

using namespace damaskward;

/// Applies one to six random edits: replaces, inserts, deletes or duplicates bytes, or inserts a
/// number that overflows 64 bits.
std::string mutate(std::string text, std::mt19937_64 &random)
{
    const auto pickBelow = [&random](std::size_t below) {
        return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
    };
    const std::size_t editCount = 1 + pickBelow(6);
    for (std::size_t i = 0; i < editCount && !text.empty(); ++i) {
        const std::size_t at = pickBelow(text.size());
        switch (pickBelow(5)) {
        case 0:
            text[at] = static_cast<char>(pickBelow(256));
            break;
        case 1:
            text.insert(at, 1, static_cast<char>(pickBelow(256)));
            break;
        case 2:
            text.erase(at, 1 + pickBelow(8));
            break;
        case 3:
            text.insert(at, text.substr(pickBelow(text.size()), pickBelow(40)));
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
    CPPUNIT_TEST(validRowsRoundTrip);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int rounds = 4000;

    template <typename Read>
    static void parseMutations(const std::string &valid, std::uint64_t seed, Read parse)
    {
        std::mt19937_64 random(seed);
        for (int i = 0; i < rounds; ++i) {
            parse(mutate(valid, random));
        }
    }

    void rules()
    {
        const std::string valid =
            "data-center a share=50 # x\nservice s keyed idempotent shards=4 # x\n"
            "target s/t dc=a address=1.2.3.4:5 slots=2 # x\nteam t # x\n"
            "limit t rate=1 burst=2 # x\nkey t sha256="
            + std::string(64, 'a') + " # x\nobjective s latency_ms=3 success=0.5 # x\n";
        parseMutations(valid, 1, [](const std::string &text) { parseRules(text, "f"); });
    }

    void settings()
    {
        parseMutations(
            R"({"vm":"a","data_center":"d","caller_address":"1.2.3.4:5","timing":{"session_ms":3},
                 "log":{"level":"info"},"limits":{"max_waiting":5}, "secret":"abcdefgh"})",
            2, [](const std::string &text) { parseSettings(text, "f"); });
    }

    void rows()
    {
        session_row session;
        session.voters = {{vm_id("a"), 3}};
        parseMutations(encode(session), 3, [](const std::string &text) { decodeSession(text); });
        parseMutations(encode(role_row{}), 4, [](const std::string &text) { decodeRole(text); });
        parseMutations(encode(shard_row{}), 5, [](const std::string &text) { decodeShard(text); });
        parseMutations(encode(head_row{}), 6, [](const std::string &text) { decodeHead(text); });
        parseMutations(encode(intent_row{}), 7,
                       [](const std::string &text) { decodeIntent(text); });
        parseMutations("shard/service/17", 8, [](const std::string &text) { shardOfName(text); });
    }

    void messages()
    {
        table_changes changes;
        changes.rows.push_back({"session/a", encode(session_row{}), 7, false});
        parseMutations(encodeChanges(changes), 9, [](const std::string &text) {
            const auto decoded = decodeChanges(text);
            table_replica replica;
            if (decoded) {
                replica.apply(*decoded, time_point{});
            }
        });
        table_transaction transaction;
        transaction.replace("a", 1, "b");
        parseMutations(encodeTransaction(transaction), 10,
                       [](const std::string &text) { decodeTransaction(text); });
        commit_answer answer;
        answer.conflicts = {"a"};
        parseMutations(encodeCommitAnswer(answer), 11,
                       [](const std::string &text) { decodeCommitAnswer(text); });
        grant_request grant;
        grant.shards = {{shard_id{service_id("s"), 3}, 4}};
        parseMutations(writeJson(toJson(grant)), 12, [](const std::string &text) {
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
        const std::string valid =
            R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{"say":"hello"}})";
        CPPUNIT_ASSERT(server.answer(valid).find("hello") != std::string::npos);
        parseMutations(valid, 13, [&server](const std::string &text) { server.answer(text); });
    }

    void paths()
    {
        parseMutations("/lookup/student-17%20b?x=1", 14, [](const std::string &text) {
            try {
                splitPath(web::uri(text));
            } catch (const web::uri_exception &) {
                // cpprest rejects such a request line before it reaches the router.
            }
        });
    }

    void validRowsRoundTrip()
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
        const session_row decoded = decodeSession(encode(row)).value();
        CPPUNIT_ASSERT_EQUAL(encode(row), encode(decoded));
        CPPUNIT_ASSERT(decoded.voters == row.voters);
        const shard_id shard{service_id("some/thing"), 12};
        CPPUNIT_ASSERT(shardOfName(shardName(shard)).value() == shard);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(malformed_test, "malformed");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("malformed");

} // namespace
