/// \file
/// \brief The output of `damaskctl status`.

#pragma once

#include "damaskward/Operator"

#include <string>
#include <vector>

namespace damaskward {

/// \returns the status of all VMs as one JSON object; null for a VM that did not answer.
std::string statusJson(const std::vector<vm_answer> &answers);

/// \returns the status of all VMs and of the targets as a plain table.
std::string statusTable(const std::vector<vm_answer> &answers);

} // namespace damaskward
