/// \file
/// \brief Functions to add and remove single rules in the text of a rules file.

#pragma once

#include <string>
#include <string_view>

namespace damaskward {

/// \returns \a text with \a rule added, followed by a comment that names \a requester.
/// If \a text already contains \a rule, it is returned unchanged.
std::string withRule(std::string_view text, std::string_view rule, std::string_view requester);

/// \returns \a text without the lines that contain \a rule; their comments are ignored.
std::string withoutRule(std::string_view text, std::string_view rule);

/// \returns whether \a text contains \a rule, regardless of spacing and comments.
bool hasRule(std::string_view text, std::string_view rule);

} // namespace damaskward
