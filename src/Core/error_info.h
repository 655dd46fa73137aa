/// \file
/// \brief The error type of all modules.

#pragma once

#include <string>

namespace damaskward {

/// Describes a failed operation.
struct error
{
    std::string step; ///< the operation that failed, such as "read the table"
    std::string peer; ///< the address or file concerned
    std::string message; ///< the cause, as one sentence
};

/// \returns \a e as one line: `step (peer): message`.
inline std::string toString(const error &e)
{
    return e.step + " (" + e.peer + "): " + e.message;
}

} // namespace damaskward
