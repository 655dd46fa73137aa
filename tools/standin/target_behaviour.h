/// \file
/// \brief What a target stand-in was told to be like.

#pragma once

#include "damaskward/Core"

#include <random>
#include <string>

namespace damaskward {
namespace standin {

/// How a target behaves; changed over HTTP while it runs.
struct target_behaviour
{
    int slots = 2; ///< requests it bears at a time when warm
    int coldSlots = 1; ///< and just after its start
    std::int64_t warmAfterMillis = 0; ///< how long it stays cold
    std::int64_t serviceMicros = 2000; ///< mean time of one request
    bool exponential = false; ///< service times vary instead of being constant
    std::string crashKey; ///< a request for this key ends the process
    bool crashAfterRun = false; ///< end the process after a run, before its answer
    bool shed = false; ///< refuse everything, not run
    bool wrongId = false; ///< echo a wrong request id
    bool noId = false; ///< echo none
    bool lyingLoad = false; ///< the load report always says idle
    std::int64_t loadLagMillis = 0; ///< how old the load report is
    bool unchecked = false; ///< it does not check who gives it an order
    bool forgetful = false; ///< it records nothing, for measurements of speed
    int bodyBytes = 0; ///< filler in each answer
};

/// Reads a behaviour; members that are left out keep their values.
inline target_behaviour readBehaviour(const Json::Value &value, target_behaviour behaviour)
{
    const auto has = [&value](const char *name) { return value.isMember(name); };
    behaviour.slots = has("slots") ? static_cast<int>(jsonSigned(value, "slots")) : behaviour.slots;
    behaviour.coldSlots =
        has("cold_slots") ? static_cast<int>(jsonSigned(value, "cold_slots")) : behaviour.coldSlots;
    behaviour.warmAfterMillis =
        has("warm_ms") ? jsonSigned(value, "warm_ms") : behaviour.warmAfterMillis;
    behaviour.serviceMicros =
        has("service_us") ? jsonSigned(value, "service_us") : behaviour.serviceMicros;
    behaviour.exponential =
        has("exponential") ? jsonBool(value, "exponential") : behaviour.exponential;
    behaviour.crashKey = has("crash_key") ? jsonText(value, "crash_key") : behaviour.crashKey;
    behaviour.crashAfterRun =
        has("crash_after_run") ? jsonBool(value, "crash_after_run") : behaviour.crashAfterRun;
    behaviour.shed = has("shed") ? jsonBool(value, "shed") : behaviour.shed;
    behaviour.wrongId = has("wrong_id") ? jsonBool(value, "wrong_id") : behaviour.wrongId;
    behaviour.noId = has("no_id") ? jsonBool(value, "no_id") : behaviour.noId;
    behaviour.lyingLoad = has("lying_load") ? jsonBool(value, "lying_load") : behaviour.lyingLoad;
    behaviour.loadLagMillis =
        has("load_lag_ms") ? jsonSigned(value, "load_lag_ms") : behaviour.loadLagMillis;
    behaviour.unchecked = has("unchecked") ? jsonBool(value, "unchecked") : behaviour.unchecked;
    behaviour.forgetful = has("forgetful") ? jsonBool(value, "forgetful") : behaviour.forgetful;
    behaviour.bodyBytes =
        has("body_bytes") ? static_cast<int>(jsonSigned(value, "body_bytes")) : behaviour.bodyBytes;
    return behaviour;
}

} // namespace standin
} // namespace damaskward
