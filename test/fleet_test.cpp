// What a VM knows of targets and of other VMs, and what VMs tell each other.

#include "src/Admission/token_desk.h"
#include "src/Fleet/part_picker.h"
#include "src/Fleet/peer_book.h"
#include "src/Fleet/registry_relay.h"
#include "src/Node/peer_message.h"
#include "src/Ranges/keeper_lease.h"
#include "src/Ranges/work_times.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <set>

namespace damaskward {
namespace testing {
namespace {

const time_point start{seconds(100)};

target_record record(const std::string &name, std::int64_t heartbeat = 10)
{
    target_record r;
    r.name = name;
    r.incarnation = 1;
    r.service = service_id("ledger");
    r.dataCenter = data_center_id("near");
    r.address = "10.0.0.1:1";
    r.slots = 2;
    r.heartbeat = heartbeat;
    return r;
}

class fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_test);
    CPPUNIT_TEST(partsGetTheirWeights);
    CPPUNIT_TEST(freeTargetBeforeBusyOne);
    CPPUNIT_TEST(nearTargetUnlessItIsBusy);
    CPPUNIT_TEST(nothingGoesFarWhenAllAreBusy);
    CPPUNIT_TEST(silentDataCenterIsProbedOnly);
    CPPUNIT_TEST(newestLifeAtAnAddressIsKnown);
    CPPUNIT_TEST(leavingAndLostTargetsGetNothing);
    CPPUNIT_TEST(refusedTargetComesBackCold);
    CPPUNIT_TEST(targetsOfADataCenterTakenBackAreCold);
    CPPUNIT_TEST(newLifeStartsAnew);
    CPPUNIT_TEST(relayPassesOnlyChanges);
    CPPUNIT_TEST(relayAsksAfterAGap);
    CPPUNIT_TEST(newReaderSendsAWholeVersion);
    CPPUNIT_TEST(dutiesMoveWithTheLiving);
    CPPUNIT_TEST(strongVmsComeFirst);
    CPPUNIT_TEST(cutPartsShareALimit);
    CPPUNIT_TEST(digestsKeepFarVmsAlive);
    CPPUNIT_TEST(olderDigestTakesNothingBack);
    CPPUNIT_TEST(lostListenerLosesEverySecondDigest);
    CPPUNIT_TEST(requestsBehindADrawAreNotDenied);
    CPPUNIT_TEST(closedBankDeniesNobody);
    CPPUNIT_TEST(movedBankStaysInsideTheTolerance);
    CPPUNIT_TEST(overtakenBeatIsIgnored);
    CPPUNIT_TEST(leaseIsClaimedAfterItsLapse);
    CPPUNIT_TEST(rankHoldsAfterAnOutage);
    CPPUNIT_TEST(heartbeatVersionSavesASecondWait);
    CPPUNIT_TEST(slowTargetsShow);
    CPPUNIT_TEST(messagesSurviveTheWire);
    CPPUNIT_TEST(malformedMessagesAreNothing);
    CPPUNIT_TEST_SUITE_END();

    void partsGetTheirWeights()
    {
        route r;
        r.name = "r";
        r.parts = {{service_id("a"), 70}, {service_id("b"), 20}, {service_id("c"), 10}};
        part_picker picker;
        std::map<std::string, int> counts;
        for (int i = 0; i < 100; ++i) {
            ++counts[picker.pick(r).str()];
        }
        CPPUNIT_ASSERT_EQUAL(70, counts["a"]);
        CPPUNIT_ASSERT_EQUAL(20, counts["b"]);
        CPPUNIT_ASSERT_EQUAL(10, counts["c"]);
    }

    void freeTargetBeforeBusyOne()
    {
        target_book book(data_center_id("near"));
        book.applyRegistry({record("a"), record("b")}, start);
        target_book::reported(*book.find("a"), {2, 5, 2}, start);
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT_EQUAL(
                std::string("b"),
                book.choose(service_id("ledger"), {}, false, false, start)->record.name);
        }
        // The report grows old, and what this VM has sent itself counts.
        const time_point later = start + seconds(1);
        target_book::started(*book.find("b"));
        target_book::started(*book.find("b"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("a"),
            book.choose(service_id("ledger"), {}, false, false, later)->record.name);
    }

    void nearTargetUnlessItIsBusy()
    {
        target_book book(data_center_id("near"));
        target_record far = record("far");
        far.dataCenter = data_center_id("other");
        book.applyRegistry({record("near"), far}, start);
        CPPUNIT_ASSERT_EQUAL(
            std::string("near"),
            book.choose(service_id("ledger"), {}, false, false, start)->record.name);
        target_book::reported(*book.find("near"), {2, 2, 2}, start);
        CPPUNIT_ASSERT_EQUAL(
            std::string("far"),
            book.choose(service_id("ledger"), {}, false, false, start)->record.name);
        // A download crosses data centres only to keep its objective.
        CPPUNIT_ASSERT_EQUAL(
            std::string("near"),
            book.choose(service_id("ledger"), {}, true, false, start)->record.name);
    }

    // The pattern of a heavy day: every data centre's targets have a queue. A VM sees its own data
    // centre's alone, and took the others' for idle.
    void nothingGoesFarWhenAllAreBusy()
    {
        target_book book(data_center_id("near"));
        target_record far = record("far");
        far.dataCenter = data_center_id("other");
        book.applyRegistry({record("near"), far}, start);
        book.setInFlightElsewhere({{"near", 8}});
        const auto chosen = [&book](bool preferNear, time_point now) {
            return book.choose(service_id("ledger"), {}, preferNear, false, now)->record.name;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("far"), chosen(true, start));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, book.nearLoads(start).at("ledger"), 1e-9);
        book.setFarLoads(data_center_id("other"), {{"ledger", 4.0}}, start);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), chosen(true, start));
        CPPUNIT_ASSERT_EQUAL(std::string("near"), chosen(false, start));
        // Room over there is made use of, and old news is not relied on.
        book.setFarLoads(data_center_id("other"), {{"ledger", 0.5}}, start);
        CPPUNIT_ASSERT_EQUAL(std::string("far"), chosen(true, start));
        book.setFarLoads(data_center_id("other"), {{"ledger", 4.0}}, start);
        CPPUNIT_ASSERT_EQUAL(std::string("far"), chosen(true, start + seconds(2)));
    }

    // A data centre that is cut off: each request to it waited for a connection in vain.
    void silentDataCenterIsProbedOnly()
    {
        target_book book(data_center_id("near"));
        std::vector<target_record> records{record("near")};
        for (int i = 0; i < 5; ++i) {
            records.push_back(record("far" + std::to_string(i)));
            records.back().dataCenter = data_center_id("other");
        }
        book.applyRegistry(records, start);
        const auto usable = [&book](const std::string &name, time_point now) {
            return book.usable(*book.find(name), now);
        };
        for (int i = 0; i < 3; ++i) {
            book.unreachable(*book.find("far" + std::to_string(i)), start);
        }
        book.probing(*book.find("far3"), start);
        CPPUNIT_ASSERT(usable("far4", start)); // One machine may have died.
        book.unreachable(*book.find("far3"), start);
        CPPUNIT_ASSERT(usable("far4", start));
        book.probing(*book.find("far4"), start); // This one request tries.
        CPPUNIT_ASSERT(!usable("far4", start + milliseconds(100)));
        CPPUNIT_ASSERT(book.away(*book.find("far0"), start + milliseconds(100)));
        CPPUNIT_ASSERT(usable("near", start + milliseconds(100)));
        CPPUNIT_ASSERT(usable("far4", start + milliseconds(250)));
        book.reached(*book.find("far0"));
        CPPUNIT_ASSERT(usable("far4", start + milliseconds(100)));
        // Targets of the own data centre are judged one by one.
        for (int i = 0; i < 9; ++i) {
            book.unreachable(*book.find("near"), start);
        }
        CPPUNIT_ASSERT(usable("near", start));
    }

    void newestLifeAtAnAddressIsKnown()
    {
        target_book book(data_center_id("near"));
        target_record next = record("next", 1);
        next.incarnation = 9;
        next.service = service_id("other");
        book.applyRegistry({record("first")}, start);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, book.newestLives().at("10.0.0.1:1"));
        book.applyRegistry({next}, start + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, book.newestLives().at("10.0.0.1:1"));
    }

    void leavingAndLostTargetsGetNothing()
    {
        target_book book(data_center_id("near"));
        book.applyRegistry({record("a"), record("b")}, start);
        target_record draining = record("a", 11);
        draining.draining = true;
        book.applyRegistry({draining}, start + seconds(1));
        CPPUNIT_ASSERT(!book.choose(service_id("ledger"), {}, false, true, start + seconds(1)));
        CPPUNIT_ASSERT(book.find("b")->leavingSince == start + seconds(1));
    }

    void refusedTargetComesBackCold()
    {
        target_book book(data_center_id("near"));
        deployment config;
        config.services[service_id("ledger")].warmup = seconds(3);
        book.setDeployment(config);
        book.applyRegistry({record("a")}, start);
        book.refused(*book.find("a"), start);
        CPPUNIT_ASSERT(!book.usable(*book.find("a"), start));
        const time_point later = start + seconds(2);
        CPPUNIT_ASSERT(book.usable(*book.find("a"), later));
        CPPUNIT_ASSERT(target_book::cold(*book.find("a"), later));
        book.applyRegistry({record("a", 11)}, later); // Its own word that it is warm.
        CPPUNIT_ASSERT(!target_book::cold(*book.find("a"), later));
    }

    void targetsOfADataCenterTakenBackAreCold()
    {
        target_book book(data_center_id("near"));
        deployment config;
        config.services[service_id("ledger")].warmup = seconds(3);
        book.setDeployment(config);
        book.applyRegistry({record("a")}, start);
        book.setOut({data_center_id("near")}, start);
        CPPUNIT_ASSERT(!book.usable(*book.find("a"), start));
        book.setOut({}, start + seconds(1));
        CPPUNIT_ASSERT(book.usable(*book.find("a"), start + seconds(1)));
        CPPUNIT_ASSERT(target_book::cold(*book.find("a"), start + seconds(1)));
    }

    void newLifeStartsAnew()
    {
        target_book book(data_center_id("near"));
        book.applyRegistry({record("a", 50)}, start);
        target_book::started(*book.find("a"));
        target_record next = record("a", 1);
        next.incarnation = 2;
        next.warmupLeft = milliseconds(2000);
        book.applyRegistry({next}, start);
        CPPUNIT_ASSERT_EQUAL(0, book.find("a")->inFlight);
        CPPUNIT_ASSERT(target_book::cold(*book.find("a"), start + seconds(1)));
        book.applyRegistry({record("a", 51)}, start); // A late record of the former life.
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, book.find("a")->record.incarnation);
    }

    void relayPassesOnlyChanges()
    {
        registry_relay reader("r", 100);
        registry_relay other("o", 500);
        CPPUNIT_ASSERT(other.follow(reader.read({record("a"), record("b")}).value()) == false);
        CPPUNIT_ASSERT(other.follow(reader.whole()));
        CPPUNIT_ASSERT(!reader.read({record("a", 11), record("b", 11)}));
        const auto delta = reader.read({record("a", 12)});
        CPPUNIT_ASSERT(delta && delta->changed.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delta->removed.size());
        CPPUNIT_ASSERT(other.follow(*delta));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other.records().size());
        CPPUNIT_ASSERT(other.has("r", reader.version()));
    }

    void relayAsksAfterAGap()
    {
        registry_relay reader("r", 100);
        registry_relay other("o", 500);
        reader.read({record("a")});
        other.follow(reader.whole());
        const auto lost = reader.read({record("a"), record("b")});
        const auto next = reader.read({record("a"), record("b"), record("c")});
        CPPUNIT_ASSERT(!other.follow(*next));
        CPPUNIT_ASSERT(other.follow(reader.whole()));
        CPPUNIT_ASSERT(other.follow(*lost)); // Old news, and known.
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, other.records().size());
    }

    void newReaderSendsAWholeVersion()
    {
        registry_relay first("r", 100);
        registry_relay second("s", 50);
        registry_relay other("o", 500);
        first.read({record("a"), record("b")});
        second.follow(first.whole());
        other.follow(first.whole());
        const auto delta = second.read({record("a"), record("b")});
        CPPUNIT_ASSERT(delta && delta->base == 0);
        CPPUNIT_ASSERT(other.follow(*delta));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, other.records().size());
        CPPUNIT_ASSERT(other.has("s", second.version()));
    }

    static peer_beat beatOf(const std::string &name)
    {
        peer_beat beat;
        beat.name = name;
        beat.dataCenter = "near";
        beat.incarnation = 1;
        return beat;
    }

    void dutiesMoveWithTheLiving()
    {
        peer_book book("vm-0");
        for (int i = 1; i < 10; ++i) {
            book.heard(beatOf("vm-" + std::to_string(i)), start);
        }
        std::string duty;
        for (int i = 0; book.placeOf(duty = "d" + std::to_string(i), start) == "vm-0"; ++i) { }
        const std::string place = book.placeOf(duty, start);
        const time_point later = start + peer_book::aliveTimeout;
        for (int i = 1; i < 10; ++i) {
            if ("vm-" + std::to_string(i) != place) {
                book.heard(beatOf("vm-" + std::to_string(i)), later);
            }
        }
        CPPUNIT_ASSERT(book.placeOf(duty, later) != place);
        CPPUNIT_ASSERT_EQUAL(0, peer_book("alone").rankFor(duty, later));
    }

    void strongVmsComeFirst()
    {
        peer_book weak("vm-0", "near", false);
        peer_book strong("vm-0", "near", true);
        for (int i = 1; i < 60; ++i) {
            peer_beat beat = beatOf("vm-" + std::to_string(i));
            beat.strong = i <= 3;
            weak.heard(beat, start);
            strong.heard(beat, start);
        }
        CPPUNIT_ASSERT(weak.rankFor("keeper", start) >= 3);
        CPPUNIT_ASSERT(weak.rankFor("keeper", start) <= 8);
        CPPUNIT_ASSERT(strong.rankFor("keeper", start) <= 3);
        for (int duty = 0; duty < 50; ++duty) {
            const std::string place = weak.placeOf("team/" + std::to_string(duty), start);
            CPPUNIT_ASSERT(place == "vm-1" || place == "vm-2" || place == "vm-3");
        }
    }

    /// Two parts of a cut fleet together never count more than the whole.
    void cutPartsShareALimit()
    {
        double sum = 0.0;
        for (int self = 0; self < 6; ++self) {
            peer_book book("vm-" + std::to_string(self));
            for (int i = 0; i < 6; ++i) {
                if (i != self) {
                    book.heard(beatOf("vm-" + std::to_string(i)), start);
                }
            }
            const time_point later = start + seconds(3);
            for (int i = 0; i < 6; ++i) {
                if (i != self && i / 2 == self / 2) {
                    book.heard(beatOf("vm-" + std::to_string(i)), later);
                }
            }
            sum += self % 2 == 0 ? book.reachableShare(later) : 0.0;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, sum, 1e-9);
    }

    static peer_beat beatIn(const std::string &dc, int number)
    {
        peer_beat beat = beatOf("vm-" + dc + std::to_string(number));
        beat.dataCenter = dc;
        beat.ip = dc + std::to_string(number);
        return beat;
    }

    // A data centre that is cut off: its VMs count as dead when its digests stop, and as alive
    // again with the first one.
    void digestsKeepFarVmsAlive()
    {
        peer_book teller("vm-a0", "a");
        peer_book listener("vm-b0", "b");
        const auto aliveFar = [&listener](time_point now) {
            int alive = 0;
            for (const auto &[name, peer] : listener.all()) {
                alive += peer.beat.dataCenter == "a" && peer_book::alive(peer, now) ? 1 : 0;
            }
            return alive;
        };
        time_point now = start;
        for (int i = 0; i < 20; ++i, now += milliseconds(400)) {
            teller.heard(beatIn("a", 1), now - milliseconds(100));
            teller.heard(beatIn("c", 1), now);
            listener.heard(teller.digest(beatIn("a", 0), false, now), now);
            CPPUNIT_ASSERT_EQUAL(2, aliveFar(now));
        }
        CPPUNIT_ASSERT(listener.all().count("vm-c1") == 0); // Told by its own data centre.
        CPPUNIT_ASSERT_EQUAL(0, aliveFar(now + peer_book::aliveTimeout));
        listener.heard(teller.digest(beatIn("a", 0), false, now + seconds(5)), now + seconds(5));
        CPPUNIT_ASSERT_EQUAL(1, aliveFar(now + seconds(5)));
        listener.heard(teller.digest(beatIn("a", 0), true, now), now + seconds(6));
        CPPUNIT_ASSERT(listener.all().count("vm-c1") == 1);
    }

    void olderDigestTakesNothingBack()
    {
        peer_book teller("vm-a0", "a");
        teller.heard(beatIn("a", 1), start);
        const peer_digest before = teller.digest(beatIn("a", 0), false, start + milliseconds(50));
        peer_book listener("vm-b0", "b");
        peer_beat keeper = beatIn("a", 1);
        keeper.keeperVersion = 7;
        keeper.leaving = true;
        listener.heard(keeper, start + milliseconds(40));
        listener.heard(before, start + milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, listener.all().at("vm-a1").beat.keeperVersion);
        CPPUNIT_ASSERT(listener.all().at("vm-a1").beat.leaving);
        // A later one that says it keeps no longer is taken.
        teller.heard(beatIn("a", 1), start + seconds(1));
        listener.heard(teller.digest(beatIn("a", 0), false, start + seconds(1)),
                       start + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, listener.all().at("vm-a1").beat.keeperVersion);
    }

    void lostListenerLosesEverySecondDigest()
    {
        peer_book book("vm-a0", "a");
        for (int i = 0; i < 5; ++i) {
            book.heard(beatIn("b", i), start);
        }
        const peer_state *first = book.listener("b", "reader", 0, start);
        const peer_state *second = book.listener("b", "reader", 1, start);
        CPPUNIT_ASSERT(first != second);
        CPPUNIT_ASSERT(first == book.listener("b", "reader", 2, start));
        CPPUNIT_ASSERT(book.listener("c", "reader", 0, start) == nullptr);
        // Cut off: all that are known are tried in turn, so that the first to return is found.
        std::set<const peer_state *> tried;
        for (std::size_t turn = 0; turn < 5; ++turn) {
            tried.insert(book.listener("b", "reader", turn, start + seconds(3)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, tried.size());
    }

    /// One VM that is its own bank, with a limit of 20 a second.
    static token_desk deskOf(double startTokens)
    {
        return token_desk(
            "vm-0",
            [startTokens](std::string_view) {
                return fleet_limit{20.0, 20.0, startTokens};
            },
            [] { return 1.0; });
    }

    // The pattern of pipelined requests of one team, and of many callers at a busy VM: one arrives
    // while the draw for another is under way.
    void requestsBehindADrawAreNotDenied()
    {
        token_desk desk = deskOf(5.0);
        desk.open("team/a", start);
        const time_point now = start + seconds(1);
        std::vector<token_reply> replies;
        const auto note = [&replies](token_reply reply) { replies.push_back(reply); };
        desk.waitFor("team/a", note);
        const auto draws = desk.draws(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, draws.size());
        desk.waitFor("team/a", note);
        const auto grant = desk.serve(draws.front(), now);
        CPPUNIT_ASSERT(desk.granted(*grant, now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
        CPPUNIT_ASSERT(replies.front() == token_reply::Granted);
        CPPUNIT_ASSERT(desk.trySpend("team/a", now));
        const auto next = desk.draws(now + milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
        CPPUNIT_ASSERT_EQUAL(1, next.front().request.wanted);
    }

    void closedBankDeniesNobody()
    {
        token_desk desk = deskOf(2.0);
        std::vector<token_reply> replies;
        for (int i = 0; i < 4; ++i) {
            desk.waitFor("team/a", [&replies](token_reply reply) { replies.push_back(reply); });
        }
        CPPUNIT_ASSERT(desk.granted(*desk.serve(desk.draws(start).front(), start), start));
        CPPUNIT_ASSERT(replies.empty());
        const time_point opened = start + tokenLifetime;
        const auto draw = desk.draws(opened).front();
        CPPUNIT_ASSERT(!desk.granted(*desk.serve(draw, opened), opened));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, replies.size());
        CPPUNIT_ASSERT(replies[1] == token_reply::Granted);
        CPPUNIT_ASSERT(replies[2] == token_reply::Denied);
    }

    // A team at ten times its rate while its bank moves to another VM and back inside one window.
    void movedBankStaysInsideTheTolerance()
    {
        constexpr double rate = 20.0;
        constexpr double overshoot = 0.1;
        constexpr double slack = 20.0;
        constexpr double window = 5.0;
        const double allowed = (rate * window + rate) * (1.0 + overshoot) + slack;
        token_desk desk = deskOf((overshoot * (rate * window + rate) + slack) / 3.0);
        desk.open("team/a", start);
        std::vector<time_point> spent;
        for (int tick = 0; tick < 1000; ++tick) {
            const time_point now = start + milliseconds(10 * tick);
            if (tick == 300 || tick == 500) {
                desk.dropBanks([](const std::string &) { return false; });
            }
            desk.waitFor("team/a", [](token_reply) {});
            desk.waitFor("team/a", [](token_reply) {});
            for (const token_draw &draw : desk.draws(now)) {
                desk.granted(*desk.serve(draw, now), now);
            }
            while (desk.trySpend("team/a", now)) {
                spent.push_back(now);
            }
        }
        for (std::size_t first = 0, last = 0; last < spent.size(); ++last) {
            while (spent[first] + seconds(5) <= spent[last]) {
                ++first;
            }
            CPPUNIT_ASSERT(static_cast<double>(last - first + 1) <= allowed);
        }
    }

    void overtakenBeatIsIgnored()
    {
        peer_book book("vm-0");
        peer_beat next = beatOf("vm-1");
        next.incarnation = 2;
        book.heard(next, start);
        book.heard(beatOf("vm-1"), start);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, book.all().at("vm-1").beat.incarnation);
    }

    void leaseIsClaimedAfterItsLapse()
    {
        keeper_lease lease({});
        CPPUNIT_ASSERT(lease.step(false, 0, start) == lease_action::Read);
        lease.sent();
        CPPUNIT_ASSERT(lease.step(false, 0, start) == lease_action::None);
        lease.read(7, false, start);
        const lease_timing timing;
        CPPUNIT_ASSERT(lease.step(false, 0, start + timing.lease - milliseconds(1))
                       != lease_action::Claim);
        CPPUNIT_ASSERT(lease.step(false, 0, start + timing.lease) == lease_action::Claim);
        lease.sent();
        lease.written(8, start + timing.lease);
        CPPUNIT_ASSERT(lease.held(start + timing.lease + milliseconds(1500)));
        CPPUNIT_ASSERT(!lease.held(start + timing.lease * 2));
        CPPUNIT_ASSERT(lease.renewalOverdue(start + timing.lease + timing.overdueAfter));
    }

    // After an outage of the store the lease has run out for all VMs, and the first to be answered
    // took it: a weak VM, which could not renew the grants of 209 targets.
    void rankHoldsAfterAnOutage()
    {
        const lease_timing timing;
        const time_point back = start + seconds(5);
        keeper_lease first({});
        keeper_lease fifth({});
        for (keeper_lease *lease : {&first, &fifth}) {
            lease->step(false, 0, start);
            lease->sent();
            lease->read(7, false, start);
            lease->step(false, 0, start + timing.readAfter);
            lease->sent();
            lease->failed(back - milliseconds(300));
        }
        CPPUNIT_ASSERT(fifth.step(false, 5, back) == lease_action::None);
        CPPUNIT_ASSERT(first.step(false, 0, back) == lease_action::Claim);
        CPPUNIT_ASSERT(fifth.step(false, 5, back + 5 * timing.rankDelay - milliseconds(1))
                       == lease_action::None);
        CPPUNIT_ASSERT(fifth.step(false, 5, back + 5 * timing.rankDelay) == lease_action::Claim);
        // Unless the one before it is heard of meanwhile.
        CPPUNIT_ASSERT(fifth.step(true, 5, back + seconds(2)) == lease_action::None);
        CPPUNIT_ASSERT(fifth.step(false, 5, back + seconds(3)) == lease_action::None);
    }

    void heartbeatVersionSavesASecondWait()
    {
        const lease_timing timing;
        keeper_lease lease(timing);
        lease.heardVersion(7, start);
        const time_point silent = start + milliseconds(700);
        CPPUNIT_ASSERT(lease.step(true, 0, silent) == lease_action::None);
        CPPUNIT_ASSERT(lease.step(false, 0, silent) == lease_action::Read);
        lease.sent();
        lease.read(7, false, silent);
        CPPUNIT_ASSERT(lease.step(false, 0, start + timing.lease) == lease_action::Claim);
        keeper_lease renewed(timing);
        renewed.heardVersion(7, start);
        renewed.sent();
        renewed.read(9, false, silent); // It was renewed after that heartbeat.
        CPPUNIT_ASSERT(renewed.step(false, 0, start + timing.lease) != lease_action::Claim);
    }

    void slowTargetsShow()
    {
        work_times work;
        for (int i = 0; i < 30; ++i) {
            work.add("fast", {1, 100});
            work.add("slow", {1, 300});
        }
        CPPUNIT_ASSERT(work.rateOf("fast") > 2.0 * work.rateOf("slow"));
        CPPUNIT_ASSERT(work.rateOf("unknown") > work.rateOf("slow"));
    }

    template <typename Message>
    static Message roundTrip(const Message &message)
    {
        const auto decoded = decodeMessage(encodeMessage(message));
        CPPUNIT_ASSERT(decoded && std::holds_alternative<Message>(*decoded));
        return std::get<Message>(*decoded);
    }

    void messagesSurviveTheWire()
    {
        peer_beat beat = beatOf("vm-1");
        beat.inFlight["t"] = 3;
        beat.outDataCenters = {"far"};
        CPPUNIT_ASSERT_EQUAL(3, roundTrip(beat).inFlight.at("t"));
        CPPUNIT_ASSERT_EQUAL(std::string("far"), roundTrip(beat).outDataCenters.at(0));

        owner_update update;
        update.version = 9;
        range_owner first;
        first.keys = {100, 200};
        first.target = "t1";
        range_owner second;
        second.keys = {201, 65535};
        second.wait = milliseconds(150);
        update.maps[service_id("s")].owners = {first, second};
        const owner_update copy = roundTrip(update);
        const range_map &map = copy.maps.at(service_id("s"));
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), map.find(150)->target);
        CPPUNIT_ASSERT(map.find(99)->target.empty());
        CPPUNIT_ASSERT(map.find(300)->target.empty());
        CPPUNIT_ASSERT(map.find(300)->wait == milliseconds(150));

        registry_delta delta;
        delta.reader = "vm-1";
        delta.version = 4;
        delta.changed = {record("a")};
        delta.removed = {"b"};
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1"), roundTrip(delta).changed[0].address);

        key_demand demand;
        demand.keys[service_id("s")] = {1, 65535};
        demand.work["t1"] = {2, 300};
        CPPUNIT_ASSERT_EQUAL(std::int64_t{300}, roundTrip(demand).work.at("t1").millis);
        CPPUNIT_ASSERT_EQUAL(
            std::string("vm-1"),
            roundTrip(peer_draw{"vm-1", {"team/x", {vm_id("vm-1"), 1, 2, 3}}}).from);
        CPPUNIT_ASSERT_EQUAL(7, roundTrip(token_grant{"team/x", 1, {7, 8, 9}}).answer.granted);
        CPPUNIT_ASSERT_EQUAL(std::string("vm-2"), roundTrip(owner_query{"vm-2"}).from);
    }

    void malformedMessagesAreNothing()
    {
        const std::string good = encodeMessage(beatOf("vm-1"));
        std::mt19937 random(11);
        for (std::size_t length = 0; length < good.size(); ++length) {
            CPPUNIT_ASSERT(!decodeMessage(good.substr(0, length)));
        }
        for (int i = 0; i < 20000; ++i) {
            std::string bytes = good;
            for (int flips = 0; flips < 3; ++flips) {
                bytes[random() % bytes.size()] = static_cast<char>(random());
            }
            decodeMessage(bytes); // Whatever comes of it, no exception and no crash.
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(fleet_test, "fleet");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("fleet");

} // namespace
} // namespace testing
} // namespace damaskward
