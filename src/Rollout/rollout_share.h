/// \file
/// \brief Which versions of a service may get requests from this VM, and how many.

#pragma once

#include "../Fleet/target_pool.h"
#include "rollout_types.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// The versions that a request should go to.
enum class version_side {
    Any, ///< every allowed version
    Target, ///< the version of the roll-out
    Others ///< the other allowed versions
};

/// \class rollout_share
/// \brief One VM's view of the roll-outs. Applies the coordinator's shares exactly, by weighted
/// round robin for each route, and counts the answers of both sides. Without I/O; not thread-safe.
///
/// A version that is rolled out gets nothing without a valid share. A version that appears later
/// than the first targets of its service, without a roll-out, is held back while targets of the
/// established versions are registered, if the settings bound the exposure of new versions.
///
/// \code
/// const version_side side = rollouts.pick(service, route, now);
/// target_state *target = rollouts.choose(targets, query, side, now);
/// \endcode
class rollout_share
{
public:
    /// \param self this VM's name
    /// \param holdsBack whether versions that appear without a roll-out are held back
    /// \param isFirstStart whether the whole fleet starts, so that targets appear one by one
    rollout_share(std::string self, bool holdsBack, bool isFirstStart)
        : m_self(std::move(self))
        , m_holdsBack(holdsBack)
        , m_isFirstStart(isFirstStart)
    { }

    /// Takes over the versions of the registered targets. To be called after each change of the
    /// registry, and periodically.
    void noteTargets(const target_pool &targets, time_point now);

    /// Processes an operators' request for a roll-out.
    /// \param requestedAt when it became known
    void addRequest(const rollout_request &request, time_point requestedAt);
    /// Processes what the coordinator or a store reader states.
    /// \returns whether it is newer than all earlier notices of coordinators.
    bool apply(const rollout_notices &notices, time_point now);

    /// \returns the known roll-outs without shares, for VMs that have not heard of them.
    rollout_notices notices(time_point now) const;
    /// \returns the number of roll-outs known to run.
    int runningCount() const;
    /// \returns whether a roll-out needs a coordinator: it runs, or its result may not have been
    /// stated yet.
    bool needsCoordinator(time_point now) const;

    /// \returns the versions that the next request on \a route should go to. Counts the request.
    version_side pick(const service_id &service, const std::string &route, time_point now);
    /// \returns whether some targets of \a service may get no or only a share of the requests.
    bool restricts(const service_id &service) const
    {
        const auto it = m_services.find(service);
        return it != m_services.end() && !it->second.isUnrestricted();
    }
    /// Chooses a target among those of \a side; of another allowed version if there is none that
    /// has warmed up.
    target_state *choose(target_pool &targets, target_query query, version_side side,
                         time_point now) const;
    /// \returns whether \a record may get requests now, or may own keys.
    bool isAllowed(const target_record &record, time_point now) const;
    /// \returns the share of the requests that all targets of the version of \a record may get, or
    /// nothing if it is not limited.
    std::optional<double> shareOf(const target_record &record, time_point now) const;
    /// \returns whether all targets of \a service have the version \a version already.
    bool isOnlyVersion(const service_id &service, const std::string &version) const;

    /// Counts an answer during a roll-out.
    /// \param answeredIn the time of the answer, or nothing after a failure
    void recordAnswer(const target_record &record, const std::string &route,
                      std::optional<duration> answeredIn);
    /// \returns the answers counted since each running roll-out became known.
    std::vector<rollout_evidence> evidence() const;

private:
    struct known_rollout
    {
        rollout_request request;
        time_point requestedAt{};
        rollout_state state = rollout_state::Running;
        bool isInPlace = false; ///< the version was the only one when it was requested
        double share = 0.0;
        time_point shareUntil{};
        time_point finishedAt{}; ///< when its result became known here
        std::map<std::string, double> credits; ///< by route
        std::map<std::string, version_counts> routes;
    };
    struct service_versions
    {
        time_point firstSeenAt{};
        std::set<std::string> established; ///< had targets before any other version
        std::set<std::string> registered; ///< versions of the registered targets
        std::set<std::string> retired; ///< replaced or rolled back
        std::optional<known_rollout> rollout;

        /// \returns whether all targets may get requests.
        bool isUnrestricted() const
        {
            return !rollout && retired.empty() && registered == established;
        }
    };

    void establish(service_versions &versions, const std::map<std::string, int> &counts,
                   time_point now) const;
    void finish(service_versions &versions, rollout_state state, time_point now);
    double validShare(const known_rollout &rollout, time_point now) const;
    double initialCredit(const std::string &route) const;
    bool isHeldBack(const service_versions &versions, const std::string &version) const;

    std::string m_self;
    bool m_holdsBack;
    bool m_isFirstStart;
    std::map<service_id, service_versions> m_services;
    std::uint64_t m_version = 0; ///< of the newest notices of a coordinator
};

} // namespace damaskward
