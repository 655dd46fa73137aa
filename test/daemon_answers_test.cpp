// Answers of faulty servers at each part of damaskward that reads answers: exchanges with targets,
// with gates and other VMs, grants, the platform, and damaskctl's queries. An answer is whole, or
// there is none.

#include "damaskward/Daemon"
#include "damaskward/Operator"
#include "support/broken_answers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

namespace damaskward {
namespace testing {
namespace {

constexpr milliseconds callTimeout{2000};
constexpr const char *requestId = "id-1";

forward_request requestWith(std::size_t bodyBytes)
{
    forward_request request;
    request.service = service_id("s");
    request.key = "k";
    request.method = "POST";
    request.body = std::make_shared<const std::vector<unsigned char>>(bodyBytes, 'u');
    request.contentType = "application/json";
    request.requestId = requestId;
    request.idempotencyKey = "once";
    request.idempotent = false;
    request.deadline = mono_clock::now() + callTimeout;
    return request;
}

/// Starts a call, which is cancelled if it has not ended in time. \returns its outcome
template <typename Outcome, typename Start>
Outcome awaitOrCancel(const Start &start)
{
    pplx::cancellation_token_source cancel;
    std::promise<Outcome> promise;
    std::future<Outcome> outcome = promise.get_future();
    start(cancel.get_token(), [&promise](const Outcome &o) { promise.set_value(o); });
    if (outcome.wait_for(callTimeout) != std::future_status::ready) {
        cancel.cancel();
    }
    return outcome.get();
}

answer_reader targetExchange(std::size_t bodyBytes)
{
    return {"exchange with a target",
            std::string(header::requestId) + ": " + requestId + "\r\n" + header::runState
                + ": run\r\n",
            "abc", [bodyBytes](const std::string &address) {
                target_exchange client(address);
                gate_info gate;
                gate.authority = mono_clock::now() + seconds(60);
                const auto outcome =
                    awaitOrCancel<exchange_outcome>([&](const auto &token, const auto &done) {
                        client.send(requestWith(bodyBytes), gate, 1, token, done);
                    });
                return outcome.what == exchange_outcome::kind::Answered
                    || outcome.what == exchange_outcome::kind::RefusedNotRun;
            }};
}

answer_reader gateForward(std::size_t bodyBytes)
{
    return {"forwarding to a gate", std::string(header::runState) + ": run\r\n", "abc",
            [bodyBytes](const std::string &address) {
                gate_link link("secret");
                const auto request =
                    std::make_shared<const forward_request>(requestWith(bodyBytes));
                const auto answer =
                    awaitOrCancel<forward_answer>([&](const auto &token, const auto &done) {
                        link.forward(address, request, token, done);
                    });
                return answer.reason.empty();
            }};
}

answer_reader grant()
{
    grant_answer valid;
    valid.accepted = true;
    return {"grant", "", writeJson(toJson(valid)), [](const std::string &address) {
                grant_client client(callTimeout);
                std::promise<grant_outcome> done;
                client.send(address, grant_request(),
                            [&done](const grant_outcome &o) { done.set_value(o); });
                return done.get_future().get().answer.has_value();
            }};
}

answer_reader remoteCall()
{
    return {"call to another VM", "", R"({"jsonrpc":"2.0","id":1,"result":{"a":1}})",
            [](const std::string &address) {
                peer_link link(address, "secret", callTimeout);
                std::promise<bool> done;
                link.call(
                    "draw", Json::Value(Json::objectValue),
                    [&done](const Json::Value *result) { done.set_value(result != nullptr); });
                return done.get_future().get();
            }};
}

answer_reader platformCommit()
{
    commit_answer valid;
    valid.outcome = commit_outcome::Applied;
    return {"commit to the platform", "", encodeCommitAnswer(valid),
            [](const std::string &address) {
                platform_client client("http://" + address, "vm", callTimeout);
                std::promise<commit_outcome> done;
                client.commit({}, [&done](const commit_answer &a) { done.set_value(a.outcome); });
                return done.get_future().get() == commit_outcome::Applied;
            }};
}

answer_reader platformObject()
{
    return {"object of the platform", "", "team t # a rule", [](const std::string &address) {
                platform_client client("http://" + address, "vm", callTimeout);
                const result<std::string> object = client.getObject("rules");
                return static_cast<bool>(object);
            }};
}

answer_reader platformUpload(std::size_t objectBytes)
{
    return {"upload to the platform", "", "{}", [objectBytes](const std::string &address) {
                platform_client client("http://" + address, "vm", callTimeout);
                const result<void> done = client.putObject("rules", std::string(objectBytes, 'r'));
                return static_cast<bool>(done);
            }};
}

answer_reader operatorQuery()
{
    return {"query of damaskctl", "", R"({"vm":"a"})", [](const std::string &address) {
                session_row session;
                session.adminAddress = address;
                table_changes changes;
                changes.rows.push_back({"session/a", encode(session), 1, false});
                const answer_reader table{"", "", encodeChanges(changes), {}};
                faulty_server platform(
                    [&table](const std::string &) { return faulty_answer{validAnswer(table)}; });
                platform_client client("http://" + platform.address(), "ctl", callTimeout);
                fleet_client fleet(client, "secret");
                const result<std::vector<vm_answer>> answers = fleet.queryLiveVms("/status");
                return answers && answers.value().size() == 1
                    && answers.value().front().body.has_value();
            }};
}

std::vector<answer_reader> allReaders()
{
    return {targetExchange(1), gateForward(1),   grant(),           remoteCall(),
            platformCommit(),  platformObject(), platformUpload(1), operatorQuery()};
}

std::vector<answer_reader> uploadingReaders()
{
    return {targetExchange(uploadBytes), gateForward(uploadBytes), platformUpload(uploadBytes)};
}

class daemon_answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(daemon_answers_test);
    CPPUNIT_TEST(validAnswerIsAccepted);
    CPPUNIT_TEST(wholeAnswerBeforeAResetIsAccepted);
    CPPUNIT_TEST(resetBesideAnUploadEndsNoAnswer);
    CPPUNIT_TEST(resetEndsNoAnswer);
    CPPUNIT_TEST(invalidStatusIsNoAnswer);
    CPPUNIT_TEST(malformedFieldIsNoAnswer);
    CPPUNIT_TEST(malformedFieldOfAnInterimAnswerOrTrailer);
    CPPUNIT_TEST(unknownTransferCodingIsNoAnswer);
    CPPUNIT_TEST_SUITE_END();

    void validAnswerIsAccepted()
    {
        answer_check check(true);
        for (const answer_reader &reader : allReaders()) {
            check.add(reader, {validAnswer(reader)});
            check.add(reader,
                      {headFor(reader) + "Transfer-Encoding: chunked\r\n\r\n"
                       + chunkedBody(reader.body)});
            check.add(reader, {"HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n" + validAnswer(reader)});
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }

    void wholeAnswerBeforeAResetIsAccepted()
    {
        answer_check check(true);
        for (const answer_reader &reader : allReaders()) {
            for (const connection_end end :
                 {connection_end::Reset, connection_end::FinishedThenReset,
                  connection_end::Finished}) {
                check.add(reader, {validAnswer(reader), end, milliseconds(30)});
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }

    void resetBesideAnUploadEndsNoAnswer()
    {
        answer_check check(false);
        for (const answer_reader &reader : uploadingReaders()) {
            for (const std::string &head :
                 {headFor(reader) + "\r\n", headFor(reader) + "Connection: close\r\n\r\n",
                  headFor(reader, "HTTP/1.0 200 OK") + "\r\n"}) {
                for (const int delay : {0, 5, 30, 150}) {
                    for (const std::size_t readBytes : {std::size_t{0}, std::size_t{200000}}) {
                        check.add(reader,
                                  {head + reader.body, connection_end::Reset, milliseconds(delay),
                                   readBytes});
                    }
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }

    void resetEndsNoAnswer()
    {
        answer_check check(false);
        for (const answer_reader &reader : allReaders()) {
            const std::string head = headFor(reader);
            for (const std::string &text :
                 {head, head + "\r\n", head + "\r\n" + reader.body,
                  head + "Connection: close\r\n\r\n" + reader.body,
                  head + "Content-Length: 99\r\n\r\n" + reader.body,
                  head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"}) {
                for (const int delay : {0, 30}) {
                    check.add(reader, {text, connection_end::Reset, milliseconds(delay)});
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }

    void invalidStatusIsNoAnswer()
    {
        answer_check check(false);
        for (const answer_reader &reader : allReaders()) {
            check.add(reader, invalidStatusAnswers(reader, framings(reader.body.size()).front()));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }

    // Guards against a head whose lines mean something else to the reader than to the sender.
    void malformedFieldIsNoAnswer()
    {
        answer_check check(false);
        for (const answer_reader &reader : allReaders()) {
            for (const std::string &line : malformedFieldLines()) {
                check.add(reader, answersWithLine(reader, line));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }

    void malformedFieldOfAnInterimAnswerOrTrailer()
    {
        answer_check check(false);
        for (const answer_reader &reader : allReaders()) {
            for (const char *line : {" folded value", "X Y: 1", "X\x01Y: 1", "X : 1"}) {
                std::string fields = "A: 1\r\n";
                check.add(reader,
                          answersWithOtherFields(reader, fields.append(line).append("\r\n")));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }

    void unknownTransferCodingIsNoAnswer()
    {
        answer_check check(false);
        for (const answer_reader &reader : allReaders()) {
            check.add(reader, unknownCodingAnswers(reader));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(daemon_answers_test, "daemon_answers");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("daemon_answers");

} // namespace
} // namespace testing
} // namespace damaskward
