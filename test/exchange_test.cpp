// Answers late, crossed, short or without an end; and the client that silently sends again.

#include "damaskward/Daemon"
#include "test/support/raw_target.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

namespace {

using namespace damaskward;
using namespace damaskward::testing;
using kind = exchange_outcome::kind;

std::string answerWith(const std::string &id, const std::string &rest, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nDamask-Request-Id: " + id + "\r\n" + rest + "\r\n" + body;
}

std::string wholeAnswer(const std::string &id)
{
    return answerWith(id, "Content-Length: 5\r\n", "whole");
}

gate_info someGate()
{
    gate_info gate;
    gate.gateTerm = 3;
    gate.authority = mono_clock::now() + seconds(60);
    return gate;
}

forward_request someRequest(bool idempotent)
{
    forward_request request;
    request.service = service_id("s");
    request.key = "k";
    request.method = idempotent ? "GET" : "POST";
    request.body = std::make_shared<const std::vector<unsigned char>>(
        idempotent ? std::vector<unsigned char>() : std::vector<unsigned char>{'{', '}'});
    request.contentType = "application/json";
    request.requestId = "id-1";
    request.idempotencyKey = idempotent ? "" : "once";
    request.idempotent = idempotent;
    request.deadline = mono_clock::now() + seconds(5);
    return request;
}

exchange_outcome exchange(target_exchange &way, const forward_request &request,
                          const pplx::cancellation_token &cancel = pplx::cancellation_token::none())
{
    std::promise<exchange_outcome> done;
    way.send(request, someGate(), 1, cancel,
             [&done](const exchange_outcome &outcome) { done.set_value(outcome); });
    return done.get_future().get();
}

/// Sends one request to a target that answers as \a script says.
exchange_outcome exchangeWith(const raw_target::script &script, bool idempotent = true)
{
    raw_target target(script);
    target_exchange way(target.address());
    return exchange(way, someRequest(idempotent));
}

class exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(exchange_test);
    CPPUNIT_TEST(wholeAnswerIsPassedOn);
    CPPUNIT_TEST(wrongOrMissingIdIsRefused);
    CPPUNIT_TEST(shortBodyIsRefused);
    CPPUNIT_TEST(cutChunkIsRefused);
    CPPUNIT_TEST(bodyWithoutEndIsRefused);
    CPPUNIT_TEST(refusalOfTheTargetIsNotRun);
    CPPUNIT_TEST(runEndedByTheTargetIsInDoubt);
    CPPUNIT_TEST(closedConnectionIsInDoubt);
    CPPUNIT_TEST(nobodyThereIsNeverSent);
    CPPUNIT_TEST(slowAnswerIsGivenUpAndItsConnectionClosed);
    CPPUNIT_TEST(ordinaryClientSendsAgainSilently);
    CPPUNIT_TEST(onceClientNeverSendsAgain);
    CPPUNIT_TEST_SUITE_END();

    void wholeAnswerIsPassedOn()
    {
        const auto outcome =
            exchangeWith([](int, const std::string &id) { return wholeAnswer(id); });
        CPPUNIT_ASSERT(outcome.what == kind::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, outcome.body->size());
    }

    void wrongOrMissingIdIsRefused()
    {
        auto outcome = exchangeWith([](int, const std::string &) { return wholeAnswer("other"); });
        CPPUNIT_ASSERT(outcome.what == kind::BadAnswer);
        CPPUNIT_ASSERT_EQUAL(std::string("crossed"), outcome.reason);
        outcome = exchangeWith([](int, const std::string &) {
            return std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
        });
        CPPUNIT_ASSERT(outcome.what == kind::BadAnswer);
    }

    void shortBodyIsRefused()
    {
        const auto outcome = exchangeWith([](int, const std::string &id) {
            return answerWith(id, "Content-Length: 50\r\nConnection: close\r\n", "short");
        });
        CPPUNIT_ASSERT(outcome.what != kind::Answered);
        CPPUNIT_ASSERT(outcome.what != kind::RefusedNotRun);
    }

    void cutChunkIsRefused()
    {
        const auto outcome = exchangeWith([](int, const std::string &id) {
            return answerWith(id, "Transfer-Encoding: chunked\r\nConnection: close\r\n",
                              "20\r\nnot all of it");
        });
        CPPUNIT_ASSERT(outcome.what != kind::Answered);
    }

    void bodyWithoutEndIsRefused()
    {
        const auto outcome = exchangeWith([](int, const std::string &id) {
            return answerWith(id, "Connection: close\r\n", "who knows");
        });
        CPPUNIT_ASSERT(outcome.what == kind::BadAnswer);
        CPPUNIT_ASSERT_EQUAL(std::string("unframed"), outcome.reason);
    }

    void refusalOfTheTargetIsNotRun()
    {
        const auto outcome = exchangeWith([](int, const std::string &id) {
            return "HTTP/1.1 503 Busy\r\nDamask-Request-Id: " + id
                + "\r\nDamask-Run-State: not-run\r\nDamask-Reason: shed\r\nContent-Length: "
                  "0\r\n\r\n";
        });
        CPPUNIT_ASSERT(outcome.what == kind::RefusedNotRun);
        CPPUNIT_ASSERT_EQUAL(std::string("shed"), outcome.reason);
    }

    void runEndedByTheTargetIsInDoubt()
    {
        const auto outcome = exchangeWith([](int, const std::string &id) {
            return "HTTP/1.1 504 Late\r\nDamask-Request-Id: " + id
                + "\r\nDamask-Run-State: unknown\r\nContent-Length: 0\r\n\r\n";
        });
        CPPUNIT_ASSERT(outcome.what == kind::TimedOut);
    }

    void closedConnectionIsInDoubt()
    {
        const auto outcome = exchangeWith([](int, const std::string &) { return std::string(); });
        CPPUNIT_ASSERT(outcome.what == kind::TargetLost);
    }

    void nobodyThereIsNeverSent()
    {
        std::string address;
        {
            const raw_target gone([](int, const std::string &) { return std::string(); });
            address = gone.address();
        }
        target_exchange way(address);
        CPPUNIT_ASSERT(exchange(way, someRequest(false)).what == kind::NeverSent);
    }

    void slowAnswerIsGivenUpAndItsConnectionClosed()
    {
        std::promise<void> released;
        std::shared_future<void> release = released.get_future().share();
        raw_target target([release](int, const std::string &id) {
            release.wait();
            return wholeAnswer(id);
        });
        target_exchange way(target.address());
        pplx::cancellation_token_source cancel;
        std::promise<exchange_outcome> done;
        way.send(someRequest(true), someGate(), 1, cancel.get_token(),
                 [&done](const exchange_outcome &outcome) { done.set_value(outcome); });
        while (target.received() == 0) {
            std::this_thread::yield();
        }
        cancel.cancel();
        CPPUNIT_ASSERT(done.get_future().get().what == kind::TimedOut);
        released.set_value();
        const time_point end = mono_clock::now() + seconds(5);
        while (target.open() != 0 && mono_clock::now() < end) {
            std::this_thread::yield();
        }
        CPPUNIT_ASSERT_EQUAL(0, target.open());
    }

    /// Counts how often the second request arrives when its connection is closed unanswered.
    static int arrivalsOfSecond(bool idempotent)
    {
        raw_target target([](int number, const std::string &id) {
            return number == 1 ? wholeAnswer(id) : std::string();
        });
        target_exchange way(target.address());
        exchange(way, someRequest(idempotent));
        exchange(way, someRequest(idempotent));
        return target.received() - 1;
    }

    void ordinaryClientSendsAgainSilently()
    {
        // Why non-idempotent requests do not use it: the caller sees one failure, the target two
        // requests.
        CPPUNIT_ASSERT_EQUAL(2, arrivalsOfSecond(true));
    }

    void onceClientNeverSendsAgain() { CPPUNIT_ASSERT_EQUAL(1, arrivalsOfSecond(false)); }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(exchange_test, "exchange");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("exchange");

} // namespace
