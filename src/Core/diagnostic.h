/// \file
/// \brief A mistake in a settings or rules file, with the place where it stands.

#pragma once

#include <string>
#include <vector>

namespace damaskward {

/// One mistake: where it stands, which field, and what is allowed there.
struct diagnostic
{
    std::string file;
    int line = 0; ///< counted from 1
    std::string field;
    std::string message; ///< what is wrong and what is allowed
};

/// \returns \a d as `file:line: field: message`.
inline std::string toString(const diagnostic &d)
{
    return d.file + ":" + std::to_string(d.line) + ": " + d.field + ": " + d.message;
}

/// What a parser made of a file: the value, and every mistake found.
/// \tparam T the parsed value; it is meaningful only when there are no mistakes
template <typename T>
struct parsed
{
    T value;
    std::vector<diagnostic> mistakes;

    bool ok() const { return mistakes.empty(); }
};

} // namespace damaskward
