/// \file
/// \brief Decides how the traffic of one service moves to a new version, from what all VMs report.

#pragma once

#include "rollout_types.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace damaskward {

/// \class rollout_controller
/// \brief State machine of one roll-out. Without I/O; not thread-safe.
///
/// The share of the new version grows in stages. Four tests run all the time for each route and for
/// all routes together: failures and slow answers of the new version, against those that the other
/// versions lead to expect at the same moment. Each is a cumulative sum of log-likelihood ratios
/// that never falls below zero, so it also finds a version that turns bad late. A test above its
/// bound rolls the version back; a test in doubt keeps the stage from growing.
///
/// A stage or a result is in force only once it was recorded. Only the return to the old version
/// takes effect at once.
///
/// \code
/// controller.add("lookup", counts);
/// controller.step(now);
/// if (const auto progress = controller.unrecorded(now))
///     write(*progress); // then controller.confirm(*progress)
/// \endcode
class rollout_controller
{
public:
    /// \param requestedAt when the request became known
    rollout_controller(rollout_request request, time_point requestedAt);
    /// Continues a recorded roll-out.
    /// \param requestedAt when the request became known, if later than the record says
    rollout_controller(const rollout_progress &recorded, time_point requestedAt, time_point now);

    const rollout_request &request() const { return m_request; }
    rollout_state state() const { return m_state; }
    const std::string &reason() const { return m_reason; }
    int stage() const { return m_stage; }
    time_point requestedAt() const { return m_requestedAt; }

    /// Adds answers that a VM has counted on a route since its last report.
    void add(const std::string &route, const version_counts &counts);
    /// Evaluates the answers and advances the state. To be called at least every 100 ms.
    /// \param ownsAllKeys whether the targets of the version own all keys; true without keys
    void step(bool ownsAllKeys, time_point now);
    /// Rolls the version back whatever the answers say.
    void abort(const char *reason);
    /// Ends the roll-out as completed, without stages: there is no other version to move from.
    void complete(const char *reason);

    /// \returns the share of the requests that the new version may get now.
    double share() const;

    /// \returns what must be recorded before it is in force, if anything.
    std::optional<rollout_progress> unrecorded(time_point now) const;
    /// Puts a recorded stage or result in force.
    void confirm(const rollout_progress &recorded, time_point now);

private:
    /// A test of one kind of bad answer: a cumulative sum of log-likelihood ratios.
    struct cusum
    {
        double sum = 0.0;
        int rises = 0; ///< slices that have raised it since it was 0

        void add(std::uint64_t bad, std::uint64_t all, double expected, double excess);
        bool isBad() const;
    };
    struct route_state
    {
        version_counts pending; ///< not evaluated yet
        /// Of the other versions in about the last second. Fractional, as it decays.
        double recentAnswers = 0.0;
        double recentFailures = 0.0;
        std::array<double, answer_counts::bucketCount> recentBuckets{};
        answer_counts atFullLoad; ///< of the other versions while they got nearly all requests
        double answersPerSecond = 0.0; ///< of all versions while the share was small
        std::uint64_t answersInStage = 0; ///< of the new version
        std::uint64_t allInStage = 0; ///< of all versions
        cusum failures;
        cusum slowness;
    };
    /// Rates of bad answers of the other versions.
    struct expectation
    {
        double failureRate = 0.0;
        bool hasTimes = false; ///< enough answers for the two fields below
        std::size_t slowFrom = 0; ///< answers in this bucket or a later one are slow
        double slowRate = 0.0;
    };

    duration scaled(double referenceSeconds) const;
    expectation expectationOf(const route_state &route) const;
    void evaluateSlice(time_point now);
    void test(route_state &route, const answer_counts &counts, const expectation &expected) const;
    bool isInDoubt() const;
    const char *badTest() const;
    bool hasEnoughAnswers(time_point now) const;
    bool isLastStage() const;
    void startStage(int stage, time_point now);

    rollout_request m_request;
    time_point m_requestedAt;
    rollout_state m_state = rollout_state::Running;
    std::string m_reason;
    int m_stage = -1; ///< the one in force, -1 before the first
    int m_nextStage = 0; ///< the one to be recorded, if it differs
    bool m_isRecorded = true; ///< m_state is recorded
    time_point m_stageSince{};
    time_point m_sliceAt{}; ///< when the next slice ends
    time_point m_firstSliceAt{};
    std::uint64_t m_answers = 0; ///< of the new version, since the start
    double m_answersPerSecond = 0.0; ///< of the service
    std::map<std::string, route_state> m_routes;
    route_state m_allRoutes;
};

} // namespace damaskward
