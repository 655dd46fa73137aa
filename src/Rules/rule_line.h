/// \file
/// \brief One line of a rules file, split into words and options.

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
/// rule_line line("limit dojo rate=10 burst=5 # asked by Ann", "rules.txt", 3);
/// std::optional<double> rate = line.number("rate", 0.0, 1e6, mistakes);
/// \endcode
class rule_line
{
public:
    /// \param text one line without its line end
    /// \param file,number where it stands
    rule_line(std::string_view text, std::string_view file, int number);

    bool blank() const { return m_words.empty() && m_options.empty(); }
    bool hasComment() const { return !m_comment.empty(); }
    /// \returns the word at \a index (0 is the kind of the rule), empty when there is none.
    std::string_view word(std::size_t index) const;
    std::size_t wordCount() const { return m_words.size(); }
    /// \returns the value of option \a name, or nothing. Marks the option as known.
    std::optional<std::string> text(const std::string &name);
    /// \returns the number in option \a name; a missing or bad one is reported.
    std::optional<double> number(const std::string &name, double least, double most,
                                 std::vector<diagnostic> &mistakes);
    /// \returns the whole number in option \a name, or \a fallback when it is missing.
    int wholeOr(const std::string &name, int fallback, int least, int most,
                std::vector<diagnostic> &mistakes);
    /// \returns a mistake in this line.
    diagnostic mistake(std::string field, std::string message) const;
    /// Reports every option that was never asked for.
    void reportUnknownOptions(std::vector<diagnostic> &mistakes) const;

private:
    struct option
    {
        std::string value;
        bool known = false;
    };

    std::string m_file;
    int m_number;
    std::vector<std::string> m_words;
    std::map<std::string, option> m_options;
    std::string m_comment;
};

} // namespace internal
} // namespace damaskward
