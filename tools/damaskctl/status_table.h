/// \file
/// \brief The report of `damaskctl status`.

#pragma once

#include "damaskward/Operator"

#include <string>
#include <vector>

namespace damaskward {

/// \returns the VMs' own words as one JSON object.
std::string statusJson(const std::vector<vm_answer> &answers);

/// \returns the same as a plain table.
std::string statusTable(const std::vector<vm_answer> &answers);

} // namespace damaskward
