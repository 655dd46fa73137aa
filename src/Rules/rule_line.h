/// \file
/// \brief Splits one line of a rules file into words and options.

#pragma once

#include "../Core/diagnostic.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {
namespace internal {

/// \class rule_line
/// \brief The words, the `name=value` options and the comment of one line.
///
/// \code
/// rule_line line("limit dojo rate=10 burst=5 # requested by Ann", "rules.txt", 3);
/// std::optional<double> rate = line.numberOption("rate", 0.0, 1e6, diagnostics);
/// \endcode
class rule_line
{
public:
    /// \param text one line without its line break
    /// \param file,number the location of the line
    rule_line(std::string_view text, std::string_view file, int number);

    bool isBlank() const { return m_words.empty() && m_options.empty(); }
    bool hasComment() const { return !m_comment.empty(); }
    /// \returns the word at \a index (0 is the kind of the rule), or an empty text if out of range.
    std::string_view word(std::size_t index) const;
    std::size_t wordCount() const { return m_words.size(); }
    /// \returns the value of option \a name, or nothing if missing. Marks the option as known.
    std::optional<std::string> optionValue(const std::string &name);
    /// \returns the value of option \a name. Reports a missing, malformed or out-of-range value.
    std::optional<double> numberOption(const std::string &name, double minimum, double maximum,
                                       std::vector<diagnostic> &diagnostics);
    /// \returns the integer in option \a name, or \a fallback if it is missing or invalid.
    int integerOptionOr(const std::string &name, int fallback, int minimum, int maximum,
                        std::vector<diagnostic> &diagnostics);
    /// \returns a diagnostic for this line.
    diagnostic makeDiagnostic(std::string field, std::string message) const;
    /// Reports every option that is not marked as known.
    void reportUnknownOptions(std::vector<diagnostic> &diagnostics) const;

private:
    struct option
    {
        std::string value;
        bool isKnown = false;
    };

    std::string m_file;
    int m_lineNumber;
    std::vector<std::string> m_words;
    std::map<std::string, option> m_options;
    std::string m_comment;
};

} // namespace internal
} // namespace damaskward
