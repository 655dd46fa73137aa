// Tests the rules parser: which rules it accepts, and the line and field of each diagnostic.

#include "damaskward/Rules"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace damaskward;

const std::string hashText(64, 'a');

std::string validRules()
{
    return "data-center a share=50 # by ops\n"
           "data-center b share=50 # by ops\n"
           "service lookup keyed idempotent shards=8 # by office\n"
           "service promotion unkeyed non-idempotent # by office\n"
           "target lookup/l1 dc=a address=127.0.0.1:9000 slots=2 connections=130 cold=1 "
           "warm_ms=500 # by office\n"
           "team dojo # by office\n"
           "limit dojo rate=10 burst=5 # by office\n"
           "allow * lookup # by office\n"
           "allow dojo promotion # by office\n"
           "key dojo sha256="
        + hashText
        + " # by office\n"
          "objective lookup latency_ms=10 success=0.99 # by office\n";
}

class rules_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rules_test);
    CPPUNIT_TEST(acceptsEveryKindOfRule);
    CPPUNIT_TEST(reportsEachErrorWithItsLine);
    CPPUNIT_TEST(reportsAllErrorsAtOnce);
    CPPUNIT_TEST(keepsWithdrawnKeys);
    CPPUNIT_TEST(marksDrainedDataCentersAndTargets);
    CPPUNIT_TEST_SUITE_END();

    struct invalid_line
    {
        const char *text;
        const char *field;
    };

    void acceptsEveryKindOfRule()
    {
        const parsed<rule_set> rules = parseRules(validRules(), "r");
        CPPUNIT_ASSERT_MESSAGE(rules.ok() ? "" : toString(rules.mistakes.front()), rules.ok());
        const rule_set &set = rules.value;
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, set.service(service_id("lookup"))->shards);
        CPPUNIT_ASSERT(!set.service(service_id("promotion"))->idempotent);
        const target_rule *target = set.target({service_id("lookup"), "l1"});
        CPPUNIT_ASSERT_EQUAL(2, target->slots);
        CPPUNIT_ASSERT(milliseconds(500) == target->warmAfter);
        CPPUNIT_ASSERT(set.mayCall(team_id("dojo"), service_id("promotion")));
        CPPUNIT_ASSERT(set.mayCall(team_id("other"), service_id("lookup")));
        CPPUNIT_ASSERT(!set.mayCall(team_id("other"), service_id("promotion")));
        CPPUNIT_ASSERT_EQUAL(10.0, set.team(team_id("dojo"))->rate);
    }

    void reportsEachErrorWithItsLine()
    {
        static const invalid_line cases[] = {
            {"team desk", "comment"},
            {"steam desk # x", "rule"},
            {"team # x", "rule"},
            {"team d@sk # x", "team"},
            {"service s keyed idempotent # x", "shards"},
            {"service s keyed idempotent shards=0 # x", "shards"},
            {"service s keyed idempotent shards=1.5 # x", "shards"},
            {"service s unkeyed idempotent shards=4 # x", "shards"},
            {"service s maybe idempotent # x", "keyed"},
            {"service s unkeyed perhaps # x", "idempotent"},
            {"service lookup unkeyed idempotent # x", "service"},
            {"data-center c share=200 # x", "share"},
            {"data-center c # x", "share"},
            {"data-center a share=0 # x", "data-center"},
            {"target l9 dc=a address=1.2.3.4:5 # x", "target"},
            {"target lookup/l9 dc=a address=nowhere # x", "address"},
            {"target lookup/l9 dc=z address=1.2.3.4:5 # x", "data-center"},
            {"target none/l9 dc=a address=1.2.3.4:5 # x", "service"},
            {"target lookup/l1 dc=a address=1.2.3.4:5 # x", "target"},
            {"target lookup/l9 dc=a address=1.2.3.4:5 slots=0 # x", "slots"},
            {"target lookup/l9 dc=a address=1.2.3.4:5 slotz=2 # x", "slotz"},
            {"limit dojo rate=1 burst=1 # x", "limit"},
            {"limit nobody rate=1 burst=1 # x", "team"},
            {"limit dojo burst=1 # x", "rate"},
            {"limit dojo rate=fast burst=1 # x", "rate"},
            {"allow nobody lookup # x", "team"},
            {"allow dojo none # x", "service"},
            {"key dojo sha256=short # x", "sha256"},
            {"key nobody sha256="
             "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
             " # x",
             "team"},
            {"withdraw sha256="
             "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
             " # x",
             "key"},
            {"out z # x", "data-center"},
            {"drain lookup/none # x", "target"},
            {"objective none latency_ms=1 success=0.9 # x", "service"},
            {"objective lookup latency_ms=1 success=0.9 # x", "objective"},
            {"objective promotion latency_ms=1 success=1.5 # x", "success"},
        };
        constexpr int invalidLineNumber = 12;
        for (const invalid_line &invalid : cases) {
            const parsed<rule_set> rules = parseRules(validRules() + invalid.text, "r");
            CPPUNIT_ASSERT_MESSAGE(invalid.text, !rules.ok());
            bool found = false;
            for (const diagnostic &entry : rules.mistakes) {
                found = found || (entry.line == invalidLineNumber && entry.field == invalid.field);
            }
            CPPUNIT_ASSERT_MESSAGE(std::string(invalid.text) + " -> " + toString(rules.mistakes[0]),
                                   found);
        }
    }

    void reportsAllErrorsAtOnce()
    {
        const parsed<rule_set> rules =
            parseRules("team a\nfoo # x\nlimit b rate=0 burst=0 # x\n", "r");
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, rules.mistakes.size());
        CPPUNIT_ASSERT_EQUAL(1, rules.mistakes.front().line);
        CPPUNIT_ASSERT_EQUAL(3, rules.mistakes.back().line);
    }

    void keepsWithdrawnKeys()
    {
        const auto rules =
            parseRules(validRules() + "withdraw sha256=" + hashText + " # by ops\n", "r");
        CPPUNIT_ASSERT(rules.ok());
        CPPUNIT_ASSERT(rules.value.keys.at(0).withdrawn);
    }

    void marksDrainedDataCentersAndTargets()
    {
        const auto rules =
            parseRules(validRules() + "out b # by ops\ndrain lookup/l1 # by ops\n", "r");
        CPPUNIT_ASSERT(rules.ok());
        CPPUNIT_ASSERT(rules.value.isOut(data_center_id("b")));
        CPPUNIT_ASSERT(!rules.value.isOut(data_center_id("a")));
        CPPUNIT_ASSERT(rules.value.target({service_id("lookup"), "l1"})->draining);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(rules_test, "rules");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("rules");

} // namespace
