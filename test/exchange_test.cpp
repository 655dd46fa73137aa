// Faulty answers of a target: late, for another request, truncated or without a delimiter. Also
// guards against an HTTP client that silently sends a request again when its connection closes.

#include "damaskward/Daemon"
#include "test/support/raw_target.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>

namespace {

using namespace damaskward;
using namespace damaskward::testing;
using kind = exchange_outcome::kind;

std::string makeAnswer(const std::string &id, const std::string &rest, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nDamask-Request-Id: " + id + "\r\n" + rest + "\r\n" + body;
}

std::string completeAnswer(const std::string &id)
{
    return makeAnswer(id, "Content-Length: 5\r\n", "whole");
}

gate_info makeGate()
{
    gate_info gate;
    gate.gateTerm = 3;
    gate.authority = mono_clock::now() + seconds(60);
    return gate;
}

forward_request makeRequest(bool idempotent)
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

exchange_outcome
sendAndWait(target_exchange &client, const forward_request &request,
            const pplx::cancellation_token &cancel = pplx::cancellation_token::none())
{
    std::promise<exchange_outcome> done;
    client.send(request, makeGate(), 1, cancel,
                [&done](const exchange_outcome &outcome) { done.set_value(outcome); });
    return done.get_future().get();
}

/// Sends one request to a target that answers according to \a script.
exchange_outcome sendToScripted(const raw_target::script &script, bool idempotent = true)
{
    raw_target target(script);
    target_exchange client(target.address());
    return sendAndWait(client, makeRequest(idempotent));
}

class exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(exchange_test);
    CPPUNIT_TEST(completeAnswerIsForwarded);
    CPPUNIT_TEST(wrongOrMissingIdIsRejected);
    CPPUNIT_TEST(truncatedBodyIsRejected);
    CPPUNIT_TEST(truncatedChunkIsRejected);
    CPPUNIT_TEST(undelimitedBodyIsRejected);
    CPPUNIT_TEST(targetRefusalIsNotRun);
    CPPUNIT_TEST(targetTimeoutLeavesOutcomeUnknown);
    CPPUNIT_TEST(closeWithoutAnswerLeavesOutcomeUnknown);
    CPPUNIT_TEST(refusedConnectionIsNeverSent);
    CPPUNIT_TEST(cancelledRequestClosesItsConnection);
    CPPUNIT_TEST(closedReusedConnectionIsNotRetried);
    CPPUNIT_TEST(nonRetryingClientSendsOnce);
    CPPUNIT_TEST_SUITE_END();

    void completeAnswerIsForwarded()
    {
        const auto outcome =
            sendToScripted([](int, const std::string &id) { return completeAnswer(id); });
        CPPUNIT_ASSERT(outcome.what == kind::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, outcome.body->size());
    }

    void wrongOrMissingIdIsRejected()
    {
        auto outcome =
            sendToScripted([](int, const std::string &) { return completeAnswer("other"); });
        CPPUNIT_ASSERT(outcome.what == kind::BadAnswer);
        CPPUNIT_ASSERT_EQUAL(std::string("crossed"), outcome.reason);
        outcome = sendToScripted([](int, const std::string &) {
            return std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
        });
        CPPUNIT_ASSERT(outcome.what == kind::BadAnswer);
    }

    void truncatedBodyIsRejected()
    {
        const auto outcome = sendToScripted([](int, const std::string &id) {
            return makeAnswer(id, "Content-Length: 50\r\nConnection: close\r\n", "short");
        });
        CPPUNIT_ASSERT(outcome.what != kind::Answered);
        CPPUNIT_ASSERT(outcome.what != kind::RefusedNotRun);
    }

    void truncatedChunkIsRejected()
    {
        const auto outcome = sendToScripted([](int, const std::string &id) {
            return makeAnswer(id, "Transfer-Encoding: chunked\r\nConnection: close\r\n",
                              "20\r\nnot all of it");
        });
        CPPUNIT_ASSERT(outcome.what != kind::Answered);
    }

    void undelimitedBodyIsRejected()
    {
        const auto outcome = sendToScripted([](int, const std::string &id) {
            return makeAnswer(id, "Connection: close\r\n", "who knows");
        });
        CPPUNIT_ASSERT(outcome.what == kind::BadAnswer);
        CPPUNIT_ASSERT_EQUAL(std::string("unframed"), outcome.reason);
    }

    void targetRefusalIsNotRun()
    {
        const auto outcome = sendToScripted([](int, const std::string &id) {
            return "HTTP/1.1 503 Busy\r\nDamask-Request-Id: " + id
                + "\r\nDamask-Run-State: not-run\r\nDamask-Reason: shed\r\nContent-Length: "
                  "0\r\n\r\n";
        });
        CPPUNIT_ASSERT(outcome.what == kind::RefusedNotRun);
        CPPUNIT_ASSERT_EQUAL(std::string("shed"), outcome.reason);
    }

    void targetTimeoutLeavesOutcomeUnknown()
    {
        const auto outcome = sendToScripted([](int, const std::string &id) {
            return "HTTP/1.1 504 Late\r\nDamask-Request-Id: " + id
                + "\r\nDamask-Run-State: unknown\r\nContent-Length: 0\r\n\r\n";
        });
        CPPUNIT_ASSERT(outcome.what == kind::TimedOut);
    }

    void closeWithoutAnswerLeavesOutcomeUnknown()
    {
        const auto outcome = sendToScripted([](int, const std::string &) { return std::string(); });
        CPPUNIT_ASSERT(outcome.what == kind::TargetLost);
    }

    void refusedConnectionIsNeverSent()
    {
        std::string address;
        {
            const raw_target closedTarget([](int, const std::string &) { return std::string(); });
            address = closedTarget.address();
        }
        target_exchange client(address);
        CPPUNIT_ASSERT(sendAndWait(client, makeRequest(false)).what == kind::NeverSent);
    }

    void cancelledRequestClosesItsConnection()
    {
        std::promise<void> releasePromise;
        std::shared_future<void> release = releasePromise.get_future().share();
        raw_target target([release](int, const std::string &id) {
            release.wait();
            return completeAnswer(id);
        });
        target_exchange client(target.address());
        pplx::cancellation_token_source cancel;
        std::promise<exchange_outcome> done;
        client.send(makeRequest(true), makeGate(), 1, cancel.get_token(),
                    [&done](const exchange_outcome &outcome) { done.set_value(outcome); });
        while (target.receivedCount() == 0) {
            std::this_thread::yield();
        }
        cancel.cancel();
        CPPUNIT_ASSERT(done.get_future().get().what == kind::TimedOut);
        releasePromise.set_value();
        const time_point end = mono_clock::now() + seconds(5);
        while (target.openCount() != 0 && mono_clock::now() < end) {
            std::this_thread::yield();
        }
        CPPUNIT_ASSERT_EQUAL(0, target.openCount());
    }

    // Guards against a request that is sent twice because its connection, which is reused, closes
    // without an answer. The connection is free for reuse some time after the answer, so requests
    // are repeated until one has reused it.
    void closedReusedConnectionIsNotRetried()
    {
        std::atomic<bool> closed{false};
        raw_target *self = nullptr;
        raw_target target([&](int, const std::string &id) {
            const bool closes = self->reusedCount() > 0 && !closed.exchange(true);
            return closes ? std::string() : completeAnswer(id);
        });
        self = &target;
        target_exchange client(target.address());
        const time_point end = mono_clock::now() + seconds(5);
        int received = 0;
        exchange_outcome outcome;
        while (target.reusedCount() == 0 && mono_clock::now() < end) {
            const int before = target.receivedCount();
            outcome = sendAndWait(client, makeRequest(true));
            received = target.receivedCount() - before;
        }
        CPPUNIT_ASSERT(target.reusedCount() > 0);
        CPPUNIT_ASSERT_EQUAL(1, received);
        CPPUNIT_ASSERT(outcome.what == kind::TargetLost);
    }

    void nonRetryingClientSendsOnce()
    {
        raw_target target([](int number, const std::string &id) {
            return number == 1 ? completeAnswer(id) : std::string();
        });
        target_exchange client(target.address());
        sendAndWait(client, makeRequest(false));
        sendAndWait(client, makeRequest(false));
        CPPUNIT_ASSERT_EQUAL(2, target.receivedCount());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(exchange_test, "exchange");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("exchange");

} // namespace
