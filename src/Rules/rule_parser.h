/// \file
/// \brief Reads the operators' rules: plain text, one rule a line, each with a comment that names
/// who asked for it.

#pragma once

#include "../Core/diagnostic.h"
#include "rule_set.h"

#include <string_view>

namespace damaskward {

/// Parses a whole rules file. Pure; any thread.
/// \param text the file's content
/// \param file the name to report mistakes under
/// \returns the rules, or every mistake with line, field and what is allowed
parsed<rule_set> parseRules(std::string_view text, std::string_view file);

} // namespace damaskward
