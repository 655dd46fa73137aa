#include "rollout_role.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace damaskward {
namespace {

using json = nlohmann::json;

constexpr const char *rowPrefix = "rollout/";
constexpr milliseconds storeRetryDelay{250};
/// Shares are repeated at this interval while a roll-out runs or has just ended.
constexpr milliseconds publishInterval{200};
/// Results are repeated at this interval, for VMs that have started since.
constexpr milliseconds resultInterval{1000};
/// How long a result counts as new: all VMs have received it by then, even if messages are lost.
constexpr milliseconds newResultTime{3000};
/// Five publications. A VM that receives none in this time sends nothing to the new version.
constexpr milliseconds shareLifetime{1000};
/// After a completion was recorded and published, old targets may still work on requests. They stop
/// without draining when the status says so.
constexpr milliseconds completionDelay{800};
/// The lease epoch forms the upper bits of the version of notices.
constexpr unsigned epochShift = 32;

const char *nameOf(rollout_state state)
{
    switch (state) {
    case rollout_state::Running:
        return "running";
    case rollout_state::Completed:
        return "completed";
    case rollout_state::RolledBack:
        break;
    }
    return "rolled_back";
}

std::optional<rollout_state> stateNamed(const std::string &name)
{
    for (const rollout_state state :
         {rollout_state::Running, rollout_state::Completed, rollout_state::RolledBack}) {
        if (name == nameOf(state)) {
            return state;
        }
    }
    return std::nullopt;
}

std::string encodeRow(const rollout_progress &progress)
{
    return json{{"service", progress.request.service.str()},
                {"target", progress.request.target},
                {"durationMs", progress.request.duration.count()},
                {"requestVersion", progress.request.version},
                {"state", nameOf(progress.state)},
                {"stage", progress.stage},
                {"spentMs", progress.spent.count()},
                {"reason", progress.reason}}
        .dump();
}

std::optional<rollout_progress> decodeRow(const std::string &text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        rollout_progress progress;
        progress.request.service = service_id(value.at("service").get<std::string>());
        progress.request.target = value.at("target");
        progress.request.duration = milliseconds(value.at("durationMs").get<std::int64_t>());
        progress.request.version = value.at("requestVersion");
        const auto state = stateNamed(value.at("state"));
        progress.stage = value.at("stage");
        progress.spent = milliseconds(value.at("spentMs").get<std::int64_t>());
        progress.reason = value.at("reason");
        if (!state) {
            return std::nullopt;
        }
        progress.state = *state;
        return progress;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

rollout_role::rollout_role(platform_port &platform, rollout_share &view, request_log &log,
                           clock_source clock, moved_check hasMoved,
                           std::function<void(const rollout_notices &)> publish)
    : m_platform(platform)
    , m_view(view)
    , m_log(log)
    , m_clock(std::move(clock))
    , m_hasMoved(std::move(hasMoved))
    , m_publish(std::move(publish))
{ }

void rollout_role::tick(bool isCoordinator, std::uint64_t epoch, time_point now)
{
    if (!isCoordinator) {
        m_active.clear();
        m_recorded.clear();
        m_publishedShares.clear();
        m_isLoaded = false;
        return;
    }
    const rollout_notices known = m_view.notices(now);
    if (known.rollouts.empty()) {
        return;
    }
    if (!m_isLoaded) {
        load(now);
        return;
    }
    for (const rollout_notice &rollout : known.rollouts) {
        start(rollout, now);
    }
    const auto active = m_active; // A conflict empties m_active.
    for (const auto &[service, entry] : active) {
        advance(entry, now);
    }
    publish(epoch, now);
}

/// Reads what earlier coordinators have recorded.
void rollout_role::load(time_point now)
{
    if (m_isLoading || now < m_loadRetryAt) {
        return;
    }
    m_isLoading = true;
    m_platform.store.read(m_platform.ownTable, rowPrefix, [this](row_result &&result) {
        m_isLoading = false;
        const auto *rows = std::get_if<row_set>(&result);
        if (!rows) {
            m_loadRetryAt = m_clock() + storeRetryDelay;
            return;
        }
        m_isLoaded = true;
        m_recorded.clear();
        for (const table_row &row : rows->rows) {
            if (const auto progress = decodeRow(row.value)) {
                m_recorded[progress->request.service] = {*progress, row.version};
            } else {
                m_log.write(log_line("malformed row").add("row", row.name));
                const std::string name = row.name.substr(std::string(rowPrefix).size());
                m_recorded[service_id(name)] = {{}, row.version};
            }
        }
    });
}

/// Starts or continues a requested roll-out, unless it runs already.
void rollout_role::start(const rollout_notice &known, time_point now)
{
    const rollout_request &request = known.request;
    active_ptr &active = m_active[request.service];
    if (active && isSameRequest(active->controller.request(), request)) {
        return;
    }
    if (active && active->isWriting) {
        return; // Its answer tells the version of the row.
    }
    row_version version = 0;
    std::optional<rollout_controller> controller;
    const time_point requestedAt = now - known.age;
    if (active) {
        m_log.write(log_line("roll-out replaced")
                        .add("service", request.service.str())
                        .add("version", active->controller.request().target)
                        .add("state", nameOf(active->controller.state())));
        version = active->rowVersion;
    } else if (const auto it = m_recorded.find(request.service); it != m_recorded.end()) {
        version = it->second.version;
        if (isSameRequest(it->second.progress.request, request)) {
            controller.emplace(it->second.progress, requestedAt, now);
        }
    }
    if (!controller) {
        controller.emplace(request, requestedAt);
        if (m_view.isOnlyVersion(request.service, request.target)) {
            controller->complete("version is in place");
        }
    }
    m_log.write(log_line("roll-out")
                    .add("service", request.service.str())
                    .add("version", request.target)
                    .add("stage", controller->stage())
                    .add("state", nameOf(controller->state()))
                    .add("ageMs", known.age.count())
                    .add("durationMs", request.duration.count()));
    active = std::make_shared<active_rollout>(std::move(*controller), version);
    if (active->controller.state() != rollout_state::Running && active->controller.stage() >= 0) {
        active->finishedAt = now; // Its status may be missing.
    }
}

void rollout_role::advance(const active_ptr &active, time_point now)
{
    rollout_controller &controller = active->controller;
    const rollout_request &request = controller.request();
    if (controller.state() == rollout_state::Running) {
        controller.step(m_hasMoved(request.service, request.target), now);
    }
    if (!active->isWriting && now >= active->retryAt) {
        if (const auto progress = controller.unrecorded(now)) {
            record(active, *progress, now);
        }
    }
    writeStatus(active, now);
}

void rollout_role::record(const active_ptr &active, const rollout_progress &progress, time_point)
{
    const std::string row = rowPrefix + progress.request.service.str();
    table_transaction transaction;
    transaction.replace(row, active->rowVersion, encodeRow(progress));
    active->isWriting = true;
    m_platform.store.commit(
        m_platform.ownTable, transaction,
        [this, progress, weak = std::weak_ptr<active_rollout>(active)](commit_answer &&answer) {
            const auto current = weak.lock();
            if (!current) {
                return; // This VM is no longer the coordinator, or has read the rows again.
            }
            const time_point now = m_clock();
            current->isWriting = false;
            if (answer.outcome == commit_outcome::Conflict) {
                // Another coordinator, or an earlier attempt whose answer was lost, has written it.
                m_active.clear();
                m_isLoaded = false;
                return;
            }
            if (answer.outcome != commit_outcome::Applied) {
                current->retryAt = now + storeRetryDelay;
                return;
            }
            current->rowVersion = answer.revision;
            current->controller.confirm(progress, now);
            if (progress.state != rollout_state::Running) {
                current->finishedAt = now;
            }
            m_publishAt = time_point{};
            m_log.write(log_line("roll-out stage")
                            .add("service", progress.request.service.str())
                            .add("version", progress.request.target)
                            .add("state", nameOf(progress.state))
                            .add("stage", progress.stage)
                            .add("share", current->controller.share())
                            .add("reason", progress.reason)
                            .add("spentMs", progress.spent.count()));
        });
}

/// Writes the operators' row about a roll-out if its state has changed.
void rollout_role::writeStatus(const active_ptr &active, time_point now)
{
    const rollout_controller &controller = active->controller;
    if (active->isWritingStatus || now < active->retryAt || controller.stage() < 0) {
        return;
    }
    const rollout_state state =
        active->finishedAt == time_point{} ? rollout_state::Running : controller.state();
    const bool isDue =
        state != rollout_state::Completed || now >= active->finishedAt + completionDelay;
    if (!isDue || active->writtenStatus == state) {
        return;
    }
    active->isWritingStatus = true;
    table_transaction transaction;
    transaction.puts.push_back(m_platform.encodeRolloutStatus(controller.request(), nameOf(state)));
    m_platform.store.commit(
        m_platform.statusTable, transaction,
        [this, state, weak = std::weak_ptr<active_rollout>(active)](commit_answer &&answer) {
            if (const auto current = weak.lock()) {
                current->isWritingStatus = false;
                if (answer.outcome == commit_outcome::Applied) {
                    current->writtenStatus = state;
                } else {
                    current->retryAt = m_clock() + storeRetryDelay;
                }
            }
        });
}

void rollout_role::publish(std::uint64_t epoch, time_point now)
{
    rollout_notices notices;
    bool isNew = false;
    for (const auto &[service, active] : m_active) {
        const rollout_controller &controller = active->controller;
        const bool isFinished = active->finishedAt != time_point{};
        rollout_notice notice;
        notice.request = controller.request();
        // A rollback takes effect at once, by a share of 0; a completion once it is recorded.
        notice.state = isFinished ? controller.state() : rollout_state::Running;
        notice.age = std::chrono::duration_cast<milliseconds>(now - controller.requestedAt());
        notice.share = controller.share();
        notice.validFor = shareLifetime;
        isNew = isNew || !isFinished || now < active->finishedAt + newResultTime;
        double &published = m_publishedShares[service];
        if (published != notice.share) {
            published = notice.share;
            m_publishAt = time_point{};
        }
        notices.rollouts.push_back(std::move(notice));
    }
    if (notices.rollouts.empty() || now < m_publishAt) {
        return;
    }
    m_publishAt = now + (isNew ? publishInterval : resultInterval);
    m_noticesVersion = std::max(m_noticesVersion + 1, epoch << epochShift);
    notices.version = m_noticesVersion;
    m_publish(notices);
}

void rollout_role::add(const rollout_evidence &evidence)
{
    const auto it = m_active.find(evidence.service);
    if (it == m_active.end() || it->second->controller.request().target != evidence.target
        || it->second->controller.request().version != evidence.version) {
        return;
    }
    auto &reported = it->second->reported[evidence.from];
    for (const auto &[route, counts] : evidence.routes) {
        version_counts &before = reported[route];
        it->second->controller.add(
            route,
            {countsSince(before.target, counts.target), countsSince(before.others, counts.others)});
        before = counts;
    }
}

} // namespace damaskward
