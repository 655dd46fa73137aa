#include "vm_process.h"

#include "../Core/json.h"
#include "../Hashing/secret_hash.h"
#include "../Ownership/message_text.h"
#include "../Transport/http_text.h"

#include <future>

namespace damaskward {
namespace internal {

constexpr milliseconds platformTimeout{400};
constexpr milliseconds peerTimeout{300};
constexpr milliseconds grantTimeout{300};
constexpr milliseconds peerRequestTimeout{200};
constexpr milliseconds relayTimeout{400};
constexpr milliseconds timerPeriod{5};
constexpr int timerRoundsPerGaugeUpdate = 50;
/// Time limits of a planned stop: for handing over the roles, then for completing requests.
constexpr milliseconds handoverTimeout{5000};
constexpr milliseconds finishTimeout{20000};
/// A VM that is shutting down closes its listeners after this time without any request received or
/// in progress.
constexpr milliseconds idleTime{600};

ownership_config ownershipConfig(const vm_settings &settings, std::uint64_t nonce)
{
    return {settings.vm, settings.dataCenter, settings.controlAddress, settings.adminAddress,
            nonce,       settings.timing};
}

Json::Value emptyAnswer()
{
    return Json::Value(Json::objectValue);
}

} // namespace internal

vm_process::vm_process(const vm_settings &settings, std::uint64_t nonce)
    : m_settings(settings)
    , m_platform(settings.platformUrl, settings.vm.str(), internal::platformTimeout)
    , m_peers(settings.vm, settings.dataCenter, settings.secret, internal::peerTimeout)
    , m_orders(internal::grantTimeout)
    , m_crashes(m_peers)
    , m_control(internal::ownershipConfig(settings, nonce), m_platform, m_peers, m_orders)
    , m_gates(std::make_shared<intent_store>(m_platform), m_crashes, m_metrics, nonce)
    , m_teams(settings.vm, m_peers, m_views)
    , m_links(settings.secret)
    , m_entry({m_settings, m_views, m_teams, m_gates, m_links, m_crashes, m_metrics})
    , m_rules(m_platform, m_peers,
              [this](std::uint64_t version, const std::shared_ptr<const rule_set> &rules) {
                  m_control.post(rules_adopted{version, rules});
              })
    , m_callerServer(settings.callerAddress,
                     [this](const web::http::http_request &m) { handleCaller(m); })
    , m_controlServer(settings.controlAddress,
                      [this](const web::http::http_request &m) { handleControl(m); })
    , m_adminServer(settings.adminAddress,
                    [this](const web::http::http_request &m) { handleAdmin(m); })
{
    addMethods();
    m_control.onView([this](const std::shared_ptr<const control_view> &view) {
        m_views.publish(view);
        m_gates.sync(*view);
    });
    m_control.onHead([this](const head_row &head) { m_rules.requestVersion(head); });
}

vm_process::~vm_process()
{
    m_running = false;
    if (m_timer.joinable()) {
        m_timer.join();
    }
}

void vm_process::addMethods()
{
    m_rpc.add("hold", [this](const Json::Value &in) {
        const time_point deadline = mono_clock::now() + internal::peerRequestTimeout;
        return toJson(m_control.answerPeer(readHoldRequest(in), deadline).value_or(hold_answer{}));
    });
    m_rpc.add("vote", [this](const Json::Value &in) {
        const time_point deadline = mono_clock::now() + internal::peerRequestTimeout;
        return toJson(m_control.answerPeer(readVoteRequest(in), deadline).value_or(vote_answer{}));
    });
    m_rpc.add("draw", [this](const Json::Value &in) {
        return toJson(m_teams.grantTokens(team_id(jsonText(in, "team")), readDrawRequest(in)));
    });
    m_rpc.add("rules", [this](const Json::Value &in) {
        m_rules.receiveFromPeer(jsonUnsigned(in, "version"), jsonText(in, "text"));
        return internal::emptyAnswer();
    });
    m_rpc.add("crashed", [this](const Json::Value &in) {
        m_crashes.recordCrash(jsonUnsigned(in, "fingerprint"));
        return internal::emptyAnswer();
    });
    m_rpc.add("relayCommit", [this](const Json::Value &in) { return relayCommit(in); });
    m_rpc.add("relayChanges", [this](const Json::Value &in) { return relayChanges(in); });
}

Json::Value vm_process::relayCommit(const Json::Value &in)
{
    const auto transaction = decodeTransaction(jsonText(in, "transaction"));
    if (!transaction) {
        return internal::emptyAnswer();
    }
    auto promise = std::make_shared<std::promise<commit_answer>>();
    std::future<commit_answer> answer = promise->get_future();
    m_platform.commit(*transaction, [promise](const commit_answer &a) { promise->set_value(a); });
    Json::Value out(Json::objectValue);
    const bool ready = answer.wait_for(internal::relayTimeout) == std::future_status::ready;
    const commit_answer committed = ready ? answer.get() : commit_answer{};
    if (committed.outcome != commit_outcome::Unknown) {
        out["answer"] = encodeCommitAnswer(committed);
    }
    return out;
}

Json::Value vm_process::relayChanges(const Json::Value &in)
{
    auto promise = std::make_shared<std::promise<std::optional<table_changes>>>();
    std::future<std::optional<table_changes>> answer = promise->get_future();
    m_platform.readChanges(
        jsonUnsigned(in, "since"), mirroredPrefixes(),
        [promise](const std::optional<table_changes> &changes) { promise->set_value(changes); });
    Json::Value out(Json::objectValue);
    if (answer.wait_for(internal::relayTimeout) == std::future_status::ready) {
        const std::optional<table_changes> changes = answer.get();
        if (changes) {
            out["answer"] = encodeChanges(*changes);
        }
    }
    return out;
}

result<void> vm_process::start()
{
    BOOST_LEAF_CHECK(m_controlServer.open());
    BOOST_LEAF_CHECK(m_adminServer.open());
    m_running = true;
    m_control.start();
    m_timer = std::thread([this] { runTimer(); });
    BOOST_LEAF_CHECK(m_callerServer.open());
    m_log.info("Serving callers at {}.", m_settings.callerAddress);
    return {};
}

void vm_process::waitUntilIdle(time_point deadline)
{
    // cpprest's listener aborts open requests when it closes, so none may be open at that time.
    std::uint64_t receivedBefore = m_entry.receivedCount();
    time_point idleAt = mono_clock::now() + internal::idleTime;
    while (mono_clock::now() < std::min(idleAt, deadline)) {
        std::this_thread::sleep_for(internal::timerPeriod);
        const bool busy = m_entry.inProgressCount() > 0 || m_gates.inProgressCount() > 0
            || m_entry.receivedCount() != receivedBefore;
        if (busy) {
            receivedBefore = m_entry.receivedCount();
            idleAt = mono_clock::now() + internal::idleTime;
        }
    }
}

void vm_process::stop()
{
    // The load balancer learns from /health that this VM is shutting down. Callers are served until
    // it stops sending requests.
    m_shuttingDown = true;
    m_log.info("Shutting down: handing over the roles of this VM, then completing its requests.");
    const time_point startedAt = mono_clock::now();
    const bool isHandedOver = m_control.stop(startedAt + internal::handoverTimeout);
    if (!isHandedOver) {
        m_log.warn("The handover of this VM's roles did not finish within the time limit; the "
                   "shutdown continues.");
    }
    waitUntilIdle(mono_clock::now() + internal::finishTimeout);
    m_entry.stop();
    m_callerServer.close();
    m_controlServer.close();
    m_adminServer.close();
    m_peers.close();
    m_log.info("Shutdown is complete.");
}

void vm_process::handleCaller(const web::http::http_request &message)
{
    if (message.relative_uri().path() != "/health") {
        m_entry.handle(message);
        return;
    }
    if (m_shuttingDown) {
        sendReply(message, makeJson(503, R"({"state":"leaving"})"));
    } else if (!m_views.get()->ready) {
        sendReply(message, makeJson(503, R"({"state":"starting"})"));
    } else {
        sendReply(message, makeJson(200, R"({"state":"serving"})"));
    }
}

bool vm_process::isPeer(const web::http::http_request &message) const
{
    return equalSecrets(headerText(message.headers(), header::secret), m_settings.secret);
}

void vm_process::handleControl(const web::http::http_request &message)
{
    if (!isPeer(message)) {
        sendReply(message, makeJson(403, "{}"));
        return;
    }
    const std::string path = message.relative_uri().path();
    if (path != "/rpc") {
        handleForward(message);
        return;
    }
    web::http::http_request request = message;
    request.extract_utf8string(true).then([this, request](const pplx::task<std::string> &body) {
        try {
            sendReply(request, makeJson(200, m_rpc.answer(body.get())));
        } catch (const std::exception &) {
            sendReply(request, makeJson(400, "{}"));
        }
    });
}

void vm_process::handleForward(const web::http::http_request &message)
{
    const std::shared_ptr<forward_request> request = readForwarded(message);
    if (request == nullptr) {
        sendReply(message, makeRefusal(400, run_state::NotRun, refusal::badHeader));
        return;
    }
    if (headerNumber(message.headers(), "Content-Length").value_or(0) == 0) {
        submitForwarded(message, request, {});
        return;
    }
    message.extract_vector().then(
        [this, message, request](const pplx::task<std::vector<unsigned char>> &task) {
            std::vector<unsigned char> body;
            try {
                body = task.get();
            } catch (const std::exception &) {
                sendReply(message, makeRefusal(400, run_state::NotRun, refusal::bodySize));
                return;
            }
            submitForwarded(message, request, std::move(body));
        });
}

void vm_process::submitForwarded(const web::http::http_request &message,
                                 const std::shared_ptr<forward_request> &request,
                                 std::vector<unsigned char> body)
{
    request->body = std::make_shared<const std::vector<unsigned char>>(std::move(body));
    m_gates.submit(request, [message](const forward_answer &answer) {
        sendReply(message, writeForwardedAnswer(answer));
    });
}

void vm_process::handleAdmin(const web::http::http_request &message)
{
    if (!isPeer(message)) {
        sendReply(message, makeJson(403, "{}"));
        return;
    }
    const std::string path = message.relative_uri().path();
    if (path == "/metrics") {
        web::http::http_response response(200);
        response.set_body(m_metrics.prometheus(), "text/plain; version=0.0.4");
        sendReply(message, response);
    } else if (path == "/status") {
        sendReply(message, makeJson(200, m_control.status()));
    } else if (path == "/burn") {
        sendReply(message, makeJson(200, m_metrics.burnJson()));
    } else {
        sendReply(message, makeJson(404, "{}"));
    }
}

void vm_process::updateGauges()
{
    m_metrics.gauge("entry_inside", m_entry.inProgressCount());
    m_metrics.gauge("gate_inside", static_cast<double>(m_gates.inProgressCount()));
    m_metrics.gauge("control_peer_bytes", static_cast<double>(m_peers.bytes()));
    m_metrics.gauge("control_platform_bytes", static_cast<double>(m_platform.bytes()));
    m_metrics.gauge("control_target_bytes", static_cast<double>(m_orders.bytes()));
}

void vm_process::runTimer()
{
    int round = 0;
    while (m_running) {
        std::this_thread::sleep_for(internal::timerPeriod);
        const time_point now = mono_clock::now();
        m_teams.expire(now);
        m_entry.expire(now);
        m_gates.expire(now);
        if (++round % internal::timerRoundsPerGaugeUpdate == 0) {
            updateGauges();
        }
    }
}

} // namespace damaskward
