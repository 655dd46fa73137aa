#include "rule_line.h"

#include <charconv>
#include <cmath>
#include <sstream>

namespace damaskward {
namespace internal {

rule_line::rule_line(std::string_view text, std::string_view file, int number)
    : m_file(file)
    , m_number(number)
{
    const std::size_t hash = text.find('#');
    if (hash != std::string_view::npos) {
        const std::size_t start = text.find_first_not_of(" \t\r", hash + 1);
        m_comment = start == std::string_view::npos ? "" : std::string(text.substr(start));
    }
    std::istringstream words{std::string(text.substr(0, hash))};
    std::string word;
    while (words >> word) {
        const std::size_t equals = word.find('=');
        if (equals == std::string::npos) {
            m_words.push_back(word);
        } else {
            m_options[word.substr(0, equals)].value = word.substr(equals + 1);
        }
    }
}

std::string_view rule_line::word(std::size_t index) const
{
    return index < m_words.size() ? std::string_view(m_words[index]) : std::string_view();
}

std::optional<std::string> rule_line::text(const std::string &name)
{
    const auto it = m_options.find(name);
    if (it == m_options.end()) {
        return std::nullopt;
    }
    it->second.known = true;
    return it->second.value;
}

std::optional<double> rule_line::number(const std::string &name, double least, double most,
                                        std::vector<diagnostic> &mistakes)
{
    std::ostringstream allowed;
    allowed << "a number from " << least << " to " << most << " is needed";
    const std::optional<std::string> value = text(name);
    if (!value) {
        mistakes.push_back(mistake(name, "is missing; " + allowed.str()));
        return std::nullopt;
    }
    double parsedValue = 0.0;
    const char *end = value->data() + value->size();
    const auto [stop, status] = std::from_chars(value->data(), end, parsedValue);
    const bool bad = status != std::errc() || stop != end || !std::isfinite(parsedValue)
        || parsedValue < least || parsedValue > most;
    if (bad) {
        mistakes.push_back(mistake(name, "'" + *value + "' is not allowed; " + allowed.str()));
        return std::nullopt;
    }
    return parsedValue;
}

int rule_line::wholeOr(const std::string &name, int fallback, int least, int most,
                       std::vector<diagnostic> &mistakes)
{
    if (m_options.count(name) == 0) {
        return fallback;
    }
    const std::optional<double> value = number(name, least, most, mistakes);
    if (!value) {
        return fallback;
    }
    if (std::floor(*value) != *value) {
        mistakes.push_back(mistake(name, "must be a whole number"));
        return fallback;
    }
    return static_cast<int>(*value);
}

diagnostic rule_line::mistake(std::string field, std::string message) const
{
    return diagnostic{m_file, m_number, std::move(field), std::move(message)};
}

void rule_line::reportUnknownOptions(std::vector<diagnostic> &mistakes) const
{
    for (const auto &[name, value] : m_options) {
        if (!value.known) {
            mistakes.push_back(
                mistake(name, "is not an option of a '" + m_words.front() + "' rule"));
        }
    }
}

} // namespace internal
} // namespace damaskward
