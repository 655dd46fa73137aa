// Tests the burn report against results computed by hand, edits of rules, and metrics.

#include "damaskward/Operator"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

namespace {

using namespace damaskward;

rule_set rulesWithObjective()
{
    return parseRules("service lookup keyed idempotent shards=1 # t\n"
                      "objective lookup latency_ms=10 success=0.99 # t\n",
                      "t")
        .value;
}

class operator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(operator_test);
    CPPUNIT_TEST(burnRatesMatchManualResults);
    CPPUNIT_TEST(alertsRequireBothWindows);
    CPPUNIT_TEST(burnReportUsesCountsOfMetrics);
    CPPUNIT_TEST(reportHasThreeFormats);
    CPPUNIT_TEST(addsAndRemovesRules);
    CPPUNIT_TEST(quantilesMatchSortedLatencies);
    CPPUNIT_TEST_SUITE_END();

    void burnRatesMatchManualResults()
    {
        constexpr std::int64_t now = 100000;
        burn_series one{service_id("lookup"), team_id("dojo"), {}};
        one.minutes = {{now, 90, 10},        {now - 4, 100, 0}, {now - 5, 50, 50},
                       {now - 59, 1000, 0},  {now - 60, 0, 7},  {now - 400, 5000, 0},
                       {now - 4320, 0, 1000}};
        burn_series two = one; // The same series from another VM, for one minute only.
        two.minutes = {{now, 10, 0}};
        const auto rows = makeBurnReport({one, two}, rulesWithObjective(), now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows.size());
        const auto &w = rows[0].windows;
        // 5 minutes: 90 + 100 + 10 good, 10 bad of 210; the error budget is 1 in 100.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, w[0].good);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, w[0].bad);
        CPPUNIT_ASSERT(std::abs(w[0].rate - 10.0 / 210.0 / 0.01) < 1e-9);
        // 1 hour: 60 bad of 1310.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{60}, w[1].bad);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1250}, w[1].good);
        // 6 hours: 67 bad of 1317. 3 days: 5000 more good; the oldest minute is just outside.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{67}, w[2].bad);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6250}, w[3].good);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{67}, w[3].bad);
    }

    static std::string alertFor(std::vector<minute_count> minutes)
    {
        const burn_series s{service_id("lookup"), team_id("t"), std::move(minutes)};
        return makeBurnReport({s}, rulesWithObjective(), 100000).at(0).alert;
    }

    void alertsRequireBothWindows()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), alertFor({{100000, 1000, 0}}));
        CPPUNIT_ASSERT_EQUAL(std::string("page"), alertFor({{100000, 80, 20}}));
        // Errors half an hour ago, but none now: a ticket instead of a page.
        CPPUNIT_ASSERT_EQUAL(std::string("ticket"),
                             alertFor({{100000, 1000, 0}, {100000 - 30, 500, 500}}));
        CPPUNIT_ASSERT_EQUAL(std::string("ticket"),
                             alertFor({{100000, 93, 7}, {100000 - 100, 93, 7}}));
        CPPUNIT_ASSERT_EQUAL(std::string("ticket"),
                             alertFor({{100000 - 100, 98, 2}, {100000 - 3000, 98, 2}}));
    }

    void burnReportUsesCountsOfMetrics()
    {
        metrics counts;
        request_outcome outcome;
        outcome.service = service_id("lookup");
        outcome.team = team_id("dojo");
        outcome.state = run_state::Run;
        outcome.latency = milliseconds(3);
        outcome.counts = true;
        for (int i = 0; i < 5; ++i) {
            outcome.good = i != 0;
            counts.add(outcome, 100000);
        }
        outcome.counts = false; // For example a refusal above the rate limit of the team.
        counts.add(outcome, 100000);
        const auto rows =
            makeBurnReport(readBurnSeries(counts.burnJson()), rulesWithObjective(), 100000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, rows.at(0).windows[0].good);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, rows.at(0).windows[0].bad);
        const std::string text = counts.prometheus();
        CPPUNIT_ASSERT(
            text.find("damask_requests_total{service=\"lookup\",team=\"dojo\",state=\"run\"} 6")
            != std::string::npos);
        CPPUNIT_ASSERT(text.find("le=\"0.005\"} 6") != std::string::npos);
    }

    void reportHasThreeFormats()
    {
        const burn_series s{service_id("lookup"), team_id("dojo"), {{100000, 80, 20}}};
        const auto rows = makeBurnReport({s}, rulesWithObjective(), 100000);
        CPPUNIT_ASSERT(burnTable(rows).find("20.00 (20/100)") != std::string::npos);
        CPPUNIT_ASSERT(readJsonObject(burnJson(rows)).has_value());
        CPPUNIT_ASSERT(burnSvg(rows).find("lookup / dojo") != std::string::npos);
        CPPUNIT_ASSERT(readBurnSeries("not json").empty());
    }

    void addsAndRemovesRules()
    {
        const std::string text = "team a # x\nout  b   # y\n";
        CPPUNIT_ASSERT(hasRule(text, "out b"));
        CPPUNIT_ASSERT_EQUAL(text, withRule(text, "out b", "me"));
        CPPUNIT_ASSERT_EQUAL(std::string("team a # x\n"), withoutRule(text, "out b"));
        CPPUNIT_ASSERT_EQUAL(text + "drain s/t  # asked by me\n",
                             withRule(text, "drain s/t", "me"));
    }

    void quantilesMatchSortedLatencies()
    {
        latency_histogram h;
        std::vector<duration> all;
        for (int i = 1; i <= 1000; ++i) {
            all.push_back(microseconds(20 * i));
            h.add(all.back());
        }
        for (const double q : {0.5, 0.9, 0.99}) {
            const duration exact = all[static_cast<std::size_t>(q * 1000) - 1];
            const duration found = h.quantile(q);
            CPPUNIT_ASSERT(found >= exact);
            CPPUNIT_ASSERT(found <= exact + exact / 7); // A bin is 12 % wide (20 bins per decade).
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, h.countUpTo(seconds(10)));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(operator_test, "operator");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("operator");

} // namespace
