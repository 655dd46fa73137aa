/// \file
/// \brief Errors in settings and rules files, with their locations.

#pragma once

#include <string>
#include <vector>

namespace damaskward {

/// One error in a settings or rules file.
struct diagnostic
{
    std::string file;
    int line = 0; ///< 1-based
    std::string field;
    std::string message; ///< what is wrong and what is allowed
};

/// \returns \a d as `file:line: field: message`.
inline std::string toString(const diagnostic &d)
{
    return d.file + ":" + std::to_string(d.line) + ": " + d.field + ": " + d.message;
}

/// The result of parsing a file: the value and a diagnostic for each error.
/// \tparam T the type of the value, which is valid only if there are no diagnostics
template <typename T>
struct parsed
{
    T value;
    std::vector<diagnostic> mistakes;

    bool ok() const { return mistakes.empty(); }
};

} // namespace damaskward
