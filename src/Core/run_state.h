/// \file
/// \brief What an answer says about whether the request ran.

#pragma once

#include <string_view>

namespace damaskward {

/// Whether a request ran at a target. Every answer and every refusal carries one.
enum class run_state {
    Run, ///< it ran; the answer is the target's
    NotRun, ///< it did not run and will not run
    Unknown ///< it may have run; it is never sent again by the router
};

/// \returns the word that stands in the `Damask-Run-State` header.
inline std::string_view toString(run_state state)
{
    switch (state) {
    case run_state::Run:
        return "run";
    case run_state::NotRun:
        return "not-run";
    case run_state::Unknown:
        break;
    }
    return "unknown";
}

/// \returns the state that \a word names; an unknown word is \ref run_state::Unknown.
inline run_state parseRunState(std::string_view word)
{
    if (word == "run") {
        return run_state::Run;
    }
    return word == "not-run" ? run_state::NotRun : run_state::Unknown;
}

} // namespace damaskward
