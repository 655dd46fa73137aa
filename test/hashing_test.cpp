// Tests hash values, and compares rendezvous hashing with a naive implementation.

#include "damaskward/Hashing"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <set>

namespace {

using namespace damaskward;

std::vector<place> makeNodes(int count)
{
    std::vector<place> places;
    places.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        places.emplace_back("place-" + std::to_string(i), 1.0 + i % 3);
    }
    return places;
}

class hashing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hashing_test);
    CPPUNIT_TEST(hashValuesAreStable);
    CPPUNIT_TEST(secretsCompareByDigest);
    CPPUNIT_TEST(bestNodeMatchesNaiveSearch);
    CPPUNIT_TEST(removedNodeMovesOnlyItsOwnNames);
    CPPUNIT_TEST(boundedPlacementRespectsCapacity);
    CPPUNIT_TEST_SUITE_END();

    void hashValuesAreStable()
    {
        // All VMs and versions must compute the same hashes, so these values must never change.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x2d06800538d394c2}, keyHash(""));
        CPPUNIT_ASSERT_EQUAL(shardOfKey("student-17", 24), shardOfKey("student-17", 24));
        CPPUNIT_ASSERT_EQUAL(
            std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"),
            toHex(hashSecret("abc")));
    }

    void secretsCompareByDigest()
    {
        CPPUNIT_ASSERT(equalSecrets("one", "one"));
        CPPUNIT_ASSERT(!equalSecrets("one", "two"));
        CPPUNIT_ASSERT(!equalSecrets("one", ""));
        CPPUNIT_ASSERT(parseHex(toHex(hashSecret("x"))) == hashSecret("x"));
        CPPUNIT_ASSERT(!parseHex("00"));
        CPPUNIT_ASSERT(!parseHex(std::string(64, 'g')));
    }

    void bestNodeMatchesNaiveSearch()
    {
        std::mt19937_64 random(7);
        const std::vector<place> places = makeNodes(9);
        for (int i = 0; i < 500; ++i) {
            const std::uint64_t name = random();
            std::size_t naiveBest = 0;
            for (std::size_t p = 1; p < places.size(); ++p) {
                if (rendezvousScore(name, places[p]) > rendezvousScore(name, places[naiveBest])) {
                    naiveBest = p;
                }
            }
            CPPUNIT_ASSERT_EQUAL(naiveBest, rendezvousBest(name, places));
            CPPUNIT_ASSERT_EQUAL(naiveBest, rendezvousOrder(name, places).front());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, rendezvousBest(1, {}));
    }

    void removedNodeMovesOnlyItsOwnNames()
    {
        std::mt19937_64 random(8);
        std::vector<place> places = makeNodes(9);
        std::vector<place> fewer(places.begin(), places.end() - 1);
        for (int i = 0; i < 500; ++i) {
            const std::uint64_t name = random();
            const std::size_t before = rendezvousBest(name, places);
            if (before != places.size() - 1) {
                CPPUNIT_ASSERT_EQUAL(before, rendezvousBest(name, fewer));
            }
        }
    }

    void boundedPlacementRespectsCapacity()
    {
        std::mt19937_64 random(9);
        for (int count = 1; count <= 12; ++count) {
            const std::vector<place> places = makeNodes(count);
            std::vector<std::uint64_t> names(100);
            double weight = 0.0;
            for (const place &p : places) {
                weight += p.weight;
            }
            for (std::uint64_t &name : names) {
                name = random();
            }
            const std::vector<std::size_t> chosen = boundedPlacement(names, places, 1.15);
            std::vector<std::size_t> load(places.size(), 0);
            for (const std::size_t place : chosen) {
                ++load[place];
            }
            for (std::size_t p = 0; p < places.size(); ++p) {
                CPPUNIT_ASSERT(load[p] <= nodeCapacity(names.size(), places[p], weight, 1.15));
            }
        }
        CPPUNIT_ASSERT(boundedPlacement({1, 2}, {}, 1.15).empty());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(hashing_test, "hashing");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("hashing");

} // namespace
