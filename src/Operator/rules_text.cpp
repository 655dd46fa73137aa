#include "rules_text.h"

#include <sstream>

namespace damaskward {
namespace internal {

/// \returns the words of \a line joined by single spaces, without its comment.
std::string normalizedRule(std::string_view line)
{
    std::istringstream words{std::string(line.substr(0, line.find('#')))};
    std::string joined;
    std::string word;
    while (words >> word) {
        joined += joined.empty() ? word : " " + word;
    }
    return joined;
}

} // namespace internal

bool hasRule(std::string_view text, std::string_view rule)
{
    std::istringstream lines{std::string(text)};
    std::string line;
    while (std::getline(lines, line)) {
        if (internal::normalizedRule(line) == rule) {
            return true;
        }
    }
    return false;
}

std::string withRule(std::string_view text, std::string_view rule, std::string_view requester)
{
    std::string edited(text);
    if (hasRule(text, rule)) {
        return edited;
    }
    if (!edited.empty() && edited.back() != '\n') {
        edited += '\n';
    }
    return edited + std::string(rule) + "  # asked by " + std::string(requester) + "\n";
}

std::string withoutRule(std::string_view text, std::string_view rule)
{
    std::istringstream lines{std::string(text)};
    std::string line;
    std::string edited;
    while (std::getline(lines, line)) {
        if (internal::normalizedRule(line) != rule) {
            edited += line + "\n";
        }
    }
    return edited;
}

} // namespace damaskward
