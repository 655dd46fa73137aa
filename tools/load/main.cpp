// Load generator for the entries: open loop, Poisson arrivals, Zipf-distributed keys, several
// teams.

#include "open_loop.h"
#include "tools/common/process.h"

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

DEFINE_string(vms, "127.0.0.1:8080", "caller addresses of the VMs, separated by commas");
DEFINE_string(streams, "", "NAME:API-KEY:SERVICE:RATE[:once], separated by commas");
DEFINE_uint64(seed, 1, "seed of arrivals and keys");
DEFINE_int32(duration_ms, 5000, "duration of sending in ms");
DEFINE_int32(deadline_ms, 2000, "deadline of each request in ms");
DEFINE_int32(keys, 10000, "number of keys");
DEFINE_double(zipf, 0.9, "exponent of the keys' Zipf distribution");
DEFINE_bool(poll, true, "poll /health and skip unhealthy VMs, as a load balancer does");
DEFINE_int32(threads, 8, "threads that serve the network");

namespace {

using namespace damaskward;
using namespace damaskward::load;

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    std::string part;
    while (std::getline(in, part, separator)) {
        parts.push_back(part);
    }
    return parts;
}

result<load_plan> readPlan()
{
    load_plan plan;
    plan.vms = split(FLAGS_vms, ',');
    plan.seed = FLAGS_seed;
    plan.zipfExponent = FLAGS_zipf;
    plan.keys = static_cast<std::uint32_t>(FLAGS_keys);
    plan.duration = milliseconds(FLAGS_duration_ms);
    plan.deadline = milliseconds(FLAGS_deadline_ms);
    plan.pollsHealth = FLAGS_poll;
    for (const std::string &text : split(FLAGS_streams, ',')) {
        const std::vector<std::string> parts = split(text, ':');
        if (parts.size() < 4) {
            return fail("read --streams", text, "expected NAME:API-KEY:SERVICE:RATE[:once]");
        }
        plan.streams.push_back(
            {parts[0], parts[1], parts[2], std::stod(parts[3]), parts.size() > 4});
    }
    return plan;
}

void print(const std::map<std::string, stream_result> &results)
{
    Json::Value all(Json::objectValue);
    for (const auto &[name, streamResult] : results) {
        Json::Value &entry = all[name];
        entry["sent"] = Json::UInt64(streamResult.sent);
        entry["good"] = Json::UInt64(streamResult.good);
        entry["p50_ms"] = static_cast<double>(streamResult.latency.quantile(0.5).count()) / 1e6;
        entry["p99_ms"] = static_cast<double>(streamResult.latency.quantile(0.99).count()) / 1e6;
        entry["p999_ms"] = static_cast<double>(streamResult.latency.quantile(0.999).count()) / 1e6;
        entry["refusals"] = Json::Value(Json::objectValue);
        for (const auto &[reason, count] : streamResult.refusals) {
            entry["refusals"][reason] = Json::UInt64(count);
        }
    }
    std::cout << writeJson(all) << std::endl;
}

result<int> run()
{
    BOOST_LEAF_AUTO(plan, readPlan());
    open_loop loop(plan);
    print(loop.run());
    return ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("sends an open-loop load and prints the results as JSON");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    setNetworkThreads(FLAGS_threads);
    const int code = runMain("damask_load", run);
    std::cout.flush();
    std::_Exit(code); // Skips destructors: overdue responses may still arrive.
}
