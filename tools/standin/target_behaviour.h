/// \file
/// \brief The configurable behaviour of a target stand-in.

#pragma once

#include "damaskward/Core"

#include <random>
#include <string>

namespace damaskward {
namespace standin {

/// The behaviour of a target stand-in; POST /admin/behave changes it at run time.
struct target_behaviour
{
    int slots = 2; ///< concurrent requests after warm-up; more are refused
    int warmupSlots = 1; ///< concurrent requests during warm-up; one more crashes the process
    std::int64_t warmupMillis = 0; ///< duration of the warm-up after the start
    std::int64_t serviceMicros = 2000; ///< mean service time of a request
    bool exponential = false; ///< exponentially distributed service times instead of constant ones
    std::string crashKey; ///< a request for this key crashes the process
    bool crashesAfterRun = false; ///< the process crashes after a run, before it responds
    bool shedsAll = false; ///< refuses all requests as not run
    bool sendsWrongRequestId = false; ///< responses carry a wrong request id
    bool omitsRequestId = false; ///< responses carry no request id
    bool alwaysReportsIdle = false; ///< load reports always show 0 running requests
    std::int64_t loadLagMillis = 0; ///< age of the load that is reported
    bool ignoresGrants = false; ///< runs requests without a valid grant
    bool recordsNoRuns = false; ///< records no runs and headers, for benchmarks
    int bodyBytes = 0; ///< bytes of filler in each response body
};

/// Reads a behaviour; members that are left out keep their values.
inline target_behaviour readBehaviour(const Json::Value &value, target_behaviour behaviour)
{
    const auto has = [&value](const char *name) { return value.isMember(name); };
    behaviour.slots = has("slots") ? static_cast<int>(jsonSigned(value, "slots")) : behaviour.slots;
    behaviour.warmupSlots = has("cold_slots") ? static_cast<int>(jsonSigned(value, "cold_slots"))
                                              : behaviour.warmupSlots;
    behaviour.warmupMillis = has("warm_ms") ? jsonSigned(value, "warm_ms") : behaviour.warmupMillis;
    behaviour.serviceMicros =
        has("service_us") ? jsonSigned(value, "service_us") : behaviour.serviceMicros;
    behaviour.exponential =
        has("exponential") ? jsonBool(value, "exponential") : behaviour.exponential;
    behaviour.crashKey = has("crash_key") ? jsonText(value, "crash_key") : behaviour.crashKey;
    behaviour.crashesAfterRun =
        has("crash_after_run") ? jsonBool(value, "crash_after_run") : behaviour.crashesAfterRun;
    behaviour.shedsAll = has("shed") ? jsonBool(value, "shed") : behaviour.shedsAll;
    behaviour.sendsWrongRequestId =
        has("wrong_id") ? jsonBool(value, "wrong_id") : behaviour.sendsWrongRequestId;
    behaviour.omitsRequestId = has("no_id") ? jsonBool(value, "no_id") : behaviour.omitsRequestId;
    behaviour.alwaysReportsIdle =
        has("lying_load") ? jsonBool(value, "lying_load") : behaviour.alwaysReportsIdle;
    behaviour.loadLagMillis =
        has("load_lag_ms") ? jsonSigned(value, "load_lag_ms") : behaviour.loadLagMillis;
    behaviour.ignoresGrants =
        has("unchecked") ? jsonBool(value, "unchecked") : behaviour.ignoresGrants;
    behaviour.recordsNoRuns =
        has("forgetful") ? jsonBool(value, "forgetful") : behaviour.recordsNoRuns;
    behaviour.bodyBytes =
        has("body_bytes") ? static_cast<int>(jsonSigned(value, "body_bytes")) : behaviour.bodyBytes;
    return behaviour;
}

} // namespace standin
} // namespace damaskward
