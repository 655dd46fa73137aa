#include "status_table.h"

#include <iomanip>
#include <sstream>

namespace damaskward {
namespace internal {

std::string yesOrNo(const Json::Value &object, const char *name)
{
    return jsonBool(object, name) ? "yes" : "no";
}

void writeVm(std::ostream &out, const vm_answer &answer, std::uint64_t newestRules)
{
    out << std::left << std::setw(12) << answer.vm.str() << std::setw(10)
        << answer.session.dataCenter.str() << std::setw(8) << answer.session.term;
    const std::optional<Json::Value> status =
        answer.body ? readJsonObject(*answer.body) : std::nullopt;
    if (!status) {
        out << "no answer at " << answer.session.adminAddress << '\n';
        return;
    }
    const std::uint64_t rules = jsonUnsigned(*status, "rules");
    out << std::setw(11) << yesOrNo(*status, "authority") << std::setw(10)
        << yesOrNo(*status, "platform") << std::setw(10) << yesOrNo(*status, "holdover") << rules
        << (rules < newestRules ? " (behind)" : "") << '\n';
}

void writeTargets(std::ostream &out, const Json::Value &status)
{
    out << std::left << std::setw(24) << "TARGET" << std::setw(10) << "DC" << std::setw(12)
        << "GATE" << std::setw(8) << "TERM" << std::setw(8) << "USABLE"
        << "SHARDS\n";
    for (const Json::Value &target : status["targets"]) {
        out << std::setw(24) << jsonText(target, "target") << std::setw(10)
            << jsonText(target, "dc") << std::setw(12) << jsonText(target, "gate") << std::setw(8)
            << jsonUnsigned(target, "term") << std::setw(8) << yesOrNo(target, "usable")
            << jsonUnsigned(target, "shards") << '\n';
    }
}

} // namespace internal

std::string statusJson(const std::vector<vm_answer> &answers)
{
    Json::Value vms(Json::objectValue);
    for (const vm_answer &answer : answers) {
        const std::optional<Json::Value> status =
            answer.body ? readJsonObject(*answer.body) : std::nullopt;
        vms[answer.vm.str()] = status ? *status : Json::Value();
    }
    Json::Value value;
    value["vms"] = vms;
    return writeJson(value);
}

std::string statusTable(const std::vector<vm_answer> &answers)
{
    std::uint64_t newestRules = 0;
    std::optional<Json::Value> newest;
    for (const vm_answer &answer : answers) {
        const std::optional<Json::Value> status =
            answer.body ? readJsonObject(*answer.body) : std::nullopt;
        if (status && (!newest || jsonUnsigned(*status, "rules") > newestRules)) {
            newestRules = jsonUnsigned(*status, "rules");
            newest = status;
        }
    }
    std::ostringstream out;
    out << std::left << std::setw(12) << "VM" << std::setw(10) << "DC" << std::setw(8) << "TERM"
        << std::setw(11) << "AUTHORITY" << std::setw(10) << "PLATFORM" << std::setw(10)
        << "HOLDOVER"
        << "RULES\n";
    for (const vm_answer &answer : answers) {
        internal::writeVm(out, answer, newestRules);
    }
    if (newest) {
        out << '\n';
        internal::writeTargets(out, *newest);
    }
    return out.str();
}

} // namespace damaskward
