/// \file
/// \brief Confines the exception of an event handler to what the handler serves.

#pragma once

#include <exception>
#include <functional>
#include <string_view>
#include <utility>

namespace damaskward {

/// \class handler_guard
/// \brief Runs event handlers, and reports those that end with an exception. Event loop thread
/// only.
///
/// An exception that left a handler would leave io_context::run() and end the process, with all
/// requests in flight. Every component runs its handlers in a guard, and ends only the connection,
/// request or message that the failed handler served.
///
/// \code
/// const handler_guard guard([&](std::string_view part, std::string_view error) { ... });
/// if (!guard.run("connection", [&] { parse(); }))
///     close();
/// \endcode
class handler_guard
{
public:
    /// Called with the component that failed and the text of the exception.
    using reporter = std::function<void(std::string_view part, std::string_view error)>;

    explicit handler_guard(reporter report)
        : m_report(std::move(report))
    { }

    /// Runs \a handler.
    /// \param part the component that it belongs to, for the report
    /// \returns whether it ended without an exception
    template <typename Handler>
    bool run(std::string_view part, Handler &&handler) const
    {
        try {
            std::forward<Handler>(handler)();
            return true;
        } catch (const std::exception &e) {
            report(part, e.what());
        } catch (...) {
            report(part, "unknown exception");
        }
        return false;
    }

private:
    void report(std::string_view part, std::string_view error) const noexcept
    {
        try {
            m_report(part, error);
        } catch (...) {
            // Nothing is left to report to, such as when memory is exhausted.
        }
    }

    reporter m_report;
};

} // namespace damaskward
