#include "rule_line.h"

#include <charconv>
#include <cmath>
#include <sstream>

namespace damaskward {
namespace internal {

rule_line::rule_line(std::string_view text, std::string_view file, int number)
    : m_file(file)
    , m_lineNumber(number)
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

std::optional<std::string> rule_line::optionValue(const std::string &name)
{
    const auto it = m_options.find(name);
    if (it == m_options.end()) {
        return std::nullopt;
    }
    it->second.isKnown = true;
    return it->second.value;
}

std::optional<double> rule_line::numberOption(const std::string &name, double minimum,
                                              double maximum, std::vector<diagnostic> &diagnostics)
{
    std::ostringstream allowed;
    allowed << "a number from " << minimum << " to " << maximum << " is required";
    const std::optional<std::string> value = optionValue(name);
    if (!value) {
        diagnostics.push_back(makeDiagnostic(name, "is missing; " + allowed.str()));
        return std::nullopt;
    }
    double parsedValue = 0.0;
    const char *end = value->data() + value->size();
    const auto [parsedEnd, status] = std::from_chars(value->data(), end, parsedValue);
    const bool isInvalid = status != std::errc() || parsedEnd != end || !std::isfinite(parsedValue)
        || parsedValue < minimum || parsedValue > maximum;
    if (isInvalid) {
        diagnostics.push_back(
            makeDiagnostic(name, "'" + *value + "' is not allowed; " + allowed.str()));
        return std::nullopt;
    }
    return parsedValue;
}

int rule_line::integerOptionOr(const std::string &name, int fallback, int minimum, int maximum,
                               std::vector<diagnostic> &diagnostics)
{
    if (m_options.count(name) == 0) {
        return fallback;
    }
    const std::optional<double> value = numberOption(name, minimum, maximum, diagnostics);
    if (!value) {
        return fallback;
    }
    if (std::floor(*value) != *value) {
        diagnostics.push_back(makeDiagnostic(name, "must be a whole number"));
        return fallback;
    }
    return static_cast<int>(*value);
}

diagnostic rule_line::makeDiagnostic(std::string field, std::string message) const
{
    return diagnostic{m_file, m_lineNumber, std::move(field), std::move(message)};
}

void rule_line::reportUnknownOptions(std::vector<diagnostic> &diagnostics) const
{
    for (const auto &[name, value] : m_options) {
        if (!value.isKnown) {
            diagnostics.push_back(
                makeDiagnostic(name, "is not an option of a '" + m_words.front() + "' rule"));
        }
    }
}

} // namespace internal
} // namespace damaskward
