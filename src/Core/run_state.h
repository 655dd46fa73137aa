/// \file
/// \brief Whether a request was executed, as reported in each answer.

#pragma once

#include <string_view>

namespace damaskward {

/// Whether a target executed a request. Every answer and every refusal contains this state.
enum class run_state {
    Run, ///< executed; the answer is the target's
    NotRun, ///< not executed, and will not be executed
    Unknown ///< may have been executed; the router never resends it
};

/// \returns the value of the `Damask-Run-State` header for \a state.
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

/// \returns the state named by \a word, or \ref run_state::Unknown for an unknown word.
inline run_state parseRunState(std::string_view word)
{
    if (word == "run") {
        return run_state::Run;
    }
    return word == "not-run" ? run_state::NotRun : run_state::Unknown;
}

} // namespace damaskward
