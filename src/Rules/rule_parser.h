/// \file
/// \brief Parses the rules of the operators: plain text, one rule per line, each with a comment
/// that names its requester.

#pragma once

#include "../Core/diagnostic.h"
#include "rule_set.h"

#include <string_view>

namespace damaskward {

/// Parses a rules file. Pure function; thread-safe.
/// \param text the file's content
/// \param file the file name for diagnostics
/// \returns the rules, or a diagnostic with line, field and allowed values for each error
parsed<rule_set> parseRules(std::string_view text, std::string_view file);

} // namespace damaskward
