/// \file
/// \brief Which status codes of a target's answers are valid.

#pragma once

namespace damaskward {

/// What a status code says about the answer that begins with it.
enum class status_class {
    Interim, ///< another answer to the same request follows
    Final,
    Invalid ///< what was received is not an answer
};

/// \returns the class of \a status. The only place that decides it.
constexpr status_class classifyStatus(unsigned status)
{
    constexpr unsigned firstInterim = 100;
    constexpr unsigned firstFinal = 200;
    constexpr unsigned lastFinal = 599;
    if (status < firstInterim || status > lastFinal) {
        return status_class::Invalid;
    }
    return status < firstFinal ? status_class::Interim : status_class::Final;
}

} // namespace damaskward
