/// \file
/// \brief The error that every module reports: the step that failed and the peer it concerned.

#pragma once

#include <string>

namespace damaskward {

/// What went wrong, at which step, with which peer.
struct error
{
    std::string step; ///< what was being done, such as "read the table"
    std::string peer; ///< the address or file concerned
    std::string message; ///< what was seen, one sentence
};

/// \returns \a e as one line: `step (peer): message`.
inline std::string toString(const error &e)
{
    return e.step + " (" + e.peer + "): " + e.message;
}

} // namespace damaskward
