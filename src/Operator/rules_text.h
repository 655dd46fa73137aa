/// \file
/// \brief Small edits of the rules' text, as operators' commands make them.

#pragma once

#include <string>
#include <string_view>

namespace damaskward {

/// \returns \a text with the rule \a rule added, commented with who asked for it.
/// A rule that stands there already is not added again.
std::string withRule(std::string_view text, std::string_view rule, std::string_view requester);

/// \returns \a text without the lines whose rule is \a rule, whatever their comments.
std::string withoutRule(std::string_view text, std::string_view rule);

/// \returns whether \a text has the rule \a rule.
bool hasRule(std::string_view text, std::string_view rule);

} // namespace damaskward
