// Answers of faulty servers at each part of damaskward-node that reads answers: requests of
// callers, health checks, commands to targets, the store, other VMs. An answer is whole, or there
// is none.

#include "platform/owner_commands.h"
#include "platform/store_client.h"
#include "src/Node/peer_socket.h"
#include "support/broken_answers.h"
#include "support/store_standin.h"
#include "support/transport_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>

namespace damaskward {
namespace testing {
namespace {

/// Runs \a start, which makes calls through a pool, and waits for the result.
template <typename Result>
Result
callThroughPool(const std::function<void(outgoing_pool &, std::function<void(Result &&)>)> &start)
{
    loop_thread loop;
    std::unique_ptr<outgoing_pool> pool;
    std::atomic<bool> isDone{false};
    Result result;
    loop.call([&] {
        pool = std::make_unique<outgoing_pool>(loop.loop, loop.deadlines, loop.guard, "Id");
        start(*pool, [&](Result &&r) {
            result = std::move(r);
            isDone = true;
        });
    });
    while (!isDone) {
        std::this_thread::yield();
    }
    loop.call([&] {
        for (const char *key : {"t", "t#orders", "store"}) {
            pool->closeIdleTo(key);
        }
    });
    loop.call([&] { pool.reset(); });
    return result;
}

call_result sendCall(outgoing_call &&call)
{
    call.deadline = mono_clock::now() + seconds(2);
    return callThroughPool<call_result>(
        [&](outgoing_pool &pool, const auto &done) { pool.send(std::move(call), done); });
}

/// \returns what a caller gets whose request, with a body of \a bodyBytes, is sent to \a address.
std::string answerToCaller(const std::string &address, std::size_t bodyBytes)
{
    caller_limits limits;
    limits.bodyBytes = 2 * uploadBytes;
    routed_listener router(address, "t", limits);
    return router.post({}, std::string(bodyBytes, 'u'));
}

/// \returns whether a caller got an answer of its target, of which only targets send the proof.
bool isForwarded(const std::string &answer)
{
    return answer.find("\r\nProof: p\r\n") != std::string::npos;
}

answer_reader callerRequest(std::size_t bodyBytes)
{
    return {"request", "Id: 7\r\nProof: p\r\n", "abc", [bodyBytes](const std::string &address) {
                return isForwarded(answerToCaller(address, bodyBytes));
            }};
}

answer_reader healthCheck()
{
    return {"health check", "Instance-Id: t\r\nWarmup-Ms: 500\r\n", "ok",
            [](const std::string &address) {
                const auto result = sendCall(platform::encodeHealthCheck("t", address, "/health"));
                return platform::decodeWarmup(result, "t").has_value();
            }};
}

answer_reader command(std::size_t handoverBytes)
{
    return {"command", "Handover: h\r\n", "{}", [handoverBytes](const std::string &address) {
                grant_command grant;
                grant.target = "t";
                grant.handover = std::string(handoverBytes, 'h');
                const auto result = sendCall(platform::encodeCommand(grant, address));
                return platform::decodeCommandAnswer(result).outcome == command_outcome::Done;
            }};
}

answer_reader storeRead()
{
    return {"store read", "", R"({"ver":7,"hasMore":false,"rows":[]})",
            [](const std::string &address) {
                std::unique_ptr<platform::store_client> store;
                const auto result =
                    callThroughPool<row_result>([&](outgoing_pool &pool, const row_callback &done) {
                        store = std::make_unique<platform::store_client>(pool, address);
                        store->read("servers", "", done);
                    });
                return std::holds_alternative<row_set>(result);
            }};
}

answer_reader storeCommit(std::size_t valueBytes)
{
    return {"store commit", "", R"({"ver":7,"nowMs":1})", [valueBytes](const std::string &address) {
                std::unique_ptr<platform::store_client> store;
                table_transaction transaction;
                transaction.puts.push_back({"a", std::string(valueBytes, 'v')});
                const auto answer = callThroughPool<commit_answer>(
                    [&](outgoing_pool &pool, const commit_callback &done) {
                        store = std::make_unique<platform::store_client>(pool, address);
                        store->commit("servers", transaction, done);
                    });
                return answer.outcome == commit_outcome::Applied;
            }};
}

/// \returns the parts that read answers, with small requests.
std::vector<answer_reader> allReaders()
{
    return {callerRequest(1), healthCheck(), command(1), storeRead(), storeCommit(1)};
}

/// \returns those whose requests may have a large body, with such a body.
std::vector<answer_reader> uploadingReaders()
{
    return {callerRequest(uploadBytes), command(uploadBytes), storeCommit(uploadBytes)};
}

/// A process of damaskward-node with a store, and another VM from which it fetches configurations.
class node_with_peer
{
public:
    /// \param answers what the other VM answers
    explicit node_with_peer(faulty_server::script answers)
        : m_peer(std::move(answers), m_peerIp, peerPort)
    {
        m_loop.call([this] {
            m_socket = std::make_unique<peer_socket>(m_loop.loop, m_loop.guard, m_peerIp, peerPort,
                                                     [](peer_message &&, const std::string &) {});
        });
        std::filesystem::create_directories(m_folder);
        m_store.put("op", "config", configText(1));
        start();
        m_heartbeats = std::thread([this] {
            while (!m_isOver) {
                m_loop.call([this] { m_socket->send(m_ip, ownHeartbeat()); });
                std::this_thread::sleep_for(milliseconds(20));
            }
        });
    }
    ~node_with_peer()
    {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        m_isOver = true;
        m_heartbeats.join();
        m_loop.call([this] { m_socket.reset(); });
    }
    node_with_peer(const node_with_peer &) = delete;
    node_with_peer &operator=(const node_with_peer &) = delete;

    /// \returns a valid configuration of that version.
    static std::string configText(int version)
    {
        return nlohmann::json{{"version", "r" + std::to_string(version)},
                              {"routes", nlohmann::json::object()},
                              {"services", {{"ledger", nlohmann::json::object()}}}}
            .dump();
    }

    /// Waits until the other VM has received \a count requests, or for 10 s. \returns whether it
    /// has
    bool awaitFetches(int count) const
    {
        const time_point end = mono_clock::now() + seconds(10);
        while (m_peer.requestCount() < count && mono_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        return m_peer.requestCount() >= count;
    }

    /// \returns whether the process uses the configuration of that version.
    bool hasConfig(int version) const
    {
        asio::io_context context;
        tcp::socket socket(context);
        boost::system::error_code error;
        socket.connect(tcpEndpoint(at(peerPort)), error);
        std::string received;
        asio::write(socket,
                    asio::buffer(std::string("GET /config HTTP/1.1\r\nHost: a\r\n"
                                             "Connection: close\r\n\r\n")),
                    error);
        asio::read(socket, asio::dynamic_buffer(received), error);
        return received.find(configText(version)) != std::string::npos;
    }

private:
    static constexpr std::uint16_t peerPort = 18500;

    std::string at(int port) const { return m_ip + ":" + std::to_string(port); }

    peer_message ownHeartbeat() const
    {
        constexpr std::uint64_t newerVersion = 2;
        heartbeat beat;
        beat.name = "vm-2";
        beat.dataCenter = "near";
        beat.ip = m_peerIp;
        beat.incarnation = 1;
        beat.configVersion = newerVersion;
        return beat;
    }

    void start()
    {
        const std::string path = m_folder + "/settings.json";
        constexpr int callerPort = 18488;
        constexpr int readyPort = 18489;
        std::ofstream(path) << nlohmann::json{
            {"nodeName", "vm-1"},
            {"zone", "near"},
            {"ip", m_ip},
            {"listen", {{"front", at(callerPort)}, {"ready", at(readyPort)}}},
            {"internalPortRange", {peerPort, peerPort + 15}},
            {"seeds", {at(peerPort)}},
            {"bootstrap", true},
            {"limits", {{"cpuShare", 0.2}, {"memoryMb", 64}, {"maxFds", 400}}},
            {"platform",
             {{"address",
               m_store.address}}}}.dump();
        const std::string log = m_folder + "/log";
        const char *const program = DAMASKWARD_NODE_PROGRAM;
        m_process = ::fork();
        if (m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // The process does not outlive the test.
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::execl(program, program, "--settings", path.c_str(), "--metrics_port=18516", nullptr);
            ::_exit(127);
        }
    }

    const std::string m_network = "127." + std::to_string(1 + ::getpid() % 250) + "."
        + std::to_string(::getpid() / 250 % 250) + ".";
    const std::string m_ip = m_network + "78";
    const std::string m_peerIp = m_network + "79";
    const std::string m_folder = std::filesystem::temp_directory_path()
        / ("damaskward-broken-answers-" + std::to_string(::getpid()));
    store_standin m_store;
    faulty_server m_peer;
    loop_thread m_loop;
    std::unique_ptr<peer_socket> m_socket;
    std::atomic<bool> m_isOver{false};
    std::thread m_heartbeats;
    pid_t m_process = 0;
};

/// Lets another VM send \a broken answers, and then a valid one, to a process that fetches a newer
/// configuration, and checks that only the valid one is used.
void checkPeerAnswers(const std::vector<faulty_answer> &broken)
{
    std::atomic<std::size_t> next{0};
    std::atomic<bool> isValidDue{false};
    answer_reader reader{"configuration of another VM", "", node_with_peer::configText(2), {}};
    node_with_peer node([&](const std::string &) {
        const std::size_t index = next++;
        if (index >= broken.size() && isValidDue) {
            return faulty_answer{validAnswer(reader)};
        }
        return broken[index % broken.size()];
    });
    CPPUNIT_ASSERT(node.awaitFetches(static_cast<int>(broken.size()) + 1));
    CPPUNIT_ASSERT(!node.hasConfig(2));
    isValidDue = true;
    const time_point end = mono_clock::now() + seconds(10);
    while (!node.hasConfig(2) && mono_clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    CPPUNIT_ASSERT(node.hasConfig(2));
}

std::vector<answer_reader> readersOfAllSizes()
{
    std::vector<answer_reader> readers = allReaders();
    for (answer_reader &reader : uploadingReaders()) {
        readers.push_back(std::move(reader));
    }
    return readers;
}

/// \returns heads of answers whose body ends with the connection.
std::vector<std::string> headsWithoutLength(const answer_reader &reader)
{
    return {headFor(reader) + "\r\n", headFor(reader) + "Connection: close\r\n\r\n",
            headFor(reader, "HTTP/1.0 200 OK") + "\r\n",
            headFor(reader, "HTTP/1.1 404 Not Found") + "\r\n"};
}

class broken_answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(broken_answers_test);
    CPPUNIT_TEST(resetBesideAnUploadEndsNoAnswer);
    CPPUNIT_TEST(closeBesideAnUploadEndsNoAnswer);
    CPPUNIT_TEST(resetEndsNoAnswer);
    CPPUNIT_TEST(resetEndsNoAnswerOfAnotherVm);
    CPPUNIT_TEST(wholeAnswerBeforeAResetIsAccepted);
    CPPUNIT_TEST(answerEndedByItsConnectionIsAccepted);
    CPPUNIT_TEST(callerGetsTheWholeBody);
    CPPUNIT_TEST(invalidStatusIsNoAnswer);
    CPPUNIT_TEST(invalidStatusIsNoAnswerOfAnotherVm);
    CPPUNIT_TEST(malformedFieldIsNoAnswer);
    CPPUNIT_TEST(malformedFieldIsNoAnswerOfAnotherVm);
    CPPUNIT_TEST(malformedFieldInPiecesIsNoAnswer);
    CPPUNIT_TEST(malformedFieldOfAnInterimAnswerOrTrailer);
    CPPUNIT_TEST(unknownTransferCodingIsNoAnswer);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a part of an answer without length that is taken for the whole: the write of
    // the request received the error of the reset, and the next read reported a plain end.
    void resetBesideAnUploadEndsNoAnswer()
    {
        answer_check check(false);
        for (const answer_reader &reader : uploadingReaders()) {
            for (const std::string &head : headsWithoutLength(reader)) {
                for (const int delay : {0, 1, 5, 30, 150}) {
                    for (const std::size_t readBytes : {std::size_t{0}, std::size_t{200000}}) {
                        for (const std::string &part : {std::string(), reader.body}) {
                            check.add(reader,
                                      {head + part, connection_end::Reset, milliseconds(delay),
                                       readBytes});
                        }
                    }
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }

    // Guards against the same at a server that closes the connection without having read all of the
    // request: its kernel sends a reset and discards what of the answer has not been sent.
    void closeBesideAnUploadEndsNoAnswer()
    {
        answer_check check(false);
        for (const answer_reader &reader : uploadingReaders()) {
            for (const std::string &head : headsWithoutLength(reader)) {
                for (const int delay : {0, 5, 30}) {
                    check.add(reader,
                              {head + reader.body, connection_end::Closed, milliseconds(delay)});
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }

    // The same without a large request, for every reader, and for answers whose length or chunks
    // tell that a part is missing.
    void resetEndsNoAnswer()
    {
        answer_check check(false);
        for (const answer_reader &reader : allReaders()) {
            const std::string head = headFor(reader);
            for (const std::string &text :
                 {head, head + "\r\n", head + "\r\n" + reader.body,
                  head + "Connection: close\r\n\r\n" + reader.body,
                  head + "Content-Length: 99\r\n\r\n" + reader.body,
                  head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
                  head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"}) {
                for (const int delay : {0, 30}) {
                    check.add(reader, {text, connection_end::Reset, milliseconds(delay)});
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }

    // Other VMs are asked for configurations and registries, always with small requests.
    void resetEndsNoAnswerOfAnotherVm()
    {
        const std::string part = node_with_peer::configText(2);
        const std::string head = "HTTP/1.1 200 OK\r\n";
        checkPeerAnswers(
            {{head + "\r\n" + part, connection_end::Reset},
             {head + "Connection: close\r\n\r\n" + part, connection_end::Reset, milliseconds(30)},
             {head + "Content-Length: 999\r\n\r\n" + part, connection_end::Reset},
             {head + "Content-Length: 999\r\n\r\n" + part, connection_end::Finished}});
    }

    // Guards against answers that are lost although all of them has been received.
    void wholeAnswerBeforeAResetIsAccepted()
    {
        answer_check check(true);
        for (const answer_reader &reader : readersOfAllSizes()) {
            const std::string chunked =
                headFor(reader) + "Transfer-Encoding: chunked\r\n\r\n" + chunkedBody(reader.body);
            for (const std::string &text : {validAnswer(reader), chunked}) {
                for (const connection_end end :
                     {connection_end::Reset, connection_end::Closed,
                      connection_end::FinishedThenReset, connection_end::Finished}) {
                    check.add(reader, {text, end, milliseconds(30)});
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }

    // Guards against the loss of answers that end with their connection, as HTTP/1.0 servers send
    // them. A FIN says that the answer is whole, whatever becomes of the connection later.
    void answerEndedByItsConnectionIsAccepted()
    {
        answer_check check(true);
        for (const answer_reader &reader : readersOfAllSizes()) {
            for (const std::string &head :
                 {headFor(reader) + "\r\n", headFor(reader) + "Connection: close\r\n\r\n",
                  headFor(reader, "HTTP/1.0 200 OK") + "\r\n"}) {
                for (const connection_end end :
                     {connection_end::Finished, connection_end::FinishedThenReset}) {
                    for (const int delay : {0, 30}) {
                        check.add(reader, {head + reader.body, end, milliseconds(delay)});
                    }
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }

    // Guards against an answer that is forwarded in part.
    void callerGetsTheWholeBody()
    {
        for (const std::size_t bodyBytes : {std::size_t{1}, uploadBytes}) {
            const answer_reader reader = callerRequest(bodyBytes);
            for (const body_framing &framing : framings(reader.body.size())) {
                faulty_answer next{headFor(reader) + framing.field + "\r\n"
                                       + framing.encode(reader.body),
                                   framing.end};
                for (const std::size_t pieceBytes : {0, 3}) {
                    next.pieceBytes = pieceBytes;
                    faulty_server server([&next](const std::string &) { return next; });
                    const std::string answer = answerToCaller(server.address(), bodyBytes);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, std::size_t{0},
                                                 answer.find("HTTP/1.1 200"));
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, "\r\n\r\n" + reader.body,
                                                 answer.substr(answer.find("\r\n\r\n")));
                }
            }
        }
    }

    // Guards against statuses that mean nothing to the reader, such as 000.
    void invalidStatusIsNoAnswer()
    {
        answer_check check(false);
        for (const answer_reader &reader : allReaders()) {
            for (const body_framing &framing : framings(reader.body.size())) {
                check.add(reader, invalidStatusAnswers(reader, framing));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }

    void invalidStatusIsNoAnswerOfAnotherVm()
    {
        const answer_reader reader{"", "", node_with_peer::configText(2), {}};
        checkPeerAnswers(invalidStatusAnswers(reader, framings(reader.body.size()).front()));
    }

    // Guards against a head whose lines mean something else to the reader than to others: a line
    // that is no field is passed on, or changes where the body ends.
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

    void malformedFieldIsNoAnswerOfAnotherVm()
    {
        std::vector<faulty_answer> broken;
        const answer_reader reader{"", "", node_with_peer::configText(2), {}};
        for (const std::string line :
             {" folded value", "\tContent-Length: 3", "X Y: 1", "X\x01Y: 1", "X : 1"}) {
            for (const faulty_answer &answer : answersWithLine(reader, line)) {
                broken.push_back(answer);
            }
        }
        checkPeerAnswers(broken);
    }

    // The same if the parser has to wait for the rest of a line.
    void malformedFieldInPiecesIsNoAnswer()
    {
        answer_check check(false);
        const answer_reader reader = callerRequest(1);
        for (const std::string line : {" folded value", "\tContent-Length: 3", "X Y: 1", "X : 1"}) {
            for (faulty_answer answer : answersWithLine(reader, line)) {
                for (const std::size_t pieceBytes : {1, 2, 7}) {
                    answer.pieceBytes = pieceBytes;
                    check.add(reader, answer);
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }

    void malformedFieldOfAnInterimAnswerOrTrailer()
    {
        answer_check check(false);
        for (const answer_reader &reader : allReaders()) {
            for (const std::string &line : malformedFieldLines()) {
                check.add(reader, answersWithOtherFields(reader, line + "\r\nA: 1\r\n"));
                check.add(reader, answersWithOtherFields(reader, "A: 1\r\n" + line + "\r\n"));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }

    // Guards against a body that reaches its reader in a coding of which the reader is not told.
    void unknownTransferCodingIsNoAnswer()
    {
        answer_check check(false);
        for (const answer_reader &reader : allReaders()) {
            check.add(reader, unknownCodingAnswers(reader));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), check.wrong());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(broken_answers_test, "broken_answers");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("broken_answers");

} // namespace
} // namespace testing
} // namespace damaskward
