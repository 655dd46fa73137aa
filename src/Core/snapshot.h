/// \file
/// \brief A value that one thread publishes and many threads read.

#pragma once

#include <memory>

namespace damaskward {

/// \class snapshot
/// \brief Holds the latest version of an immutable value. Thread-safe.
/// \tparam T the type of the value
///
/// \code
/// snapshot<routing_view> routes;
/// routes.publish(std::make_shared<const routing_view>(...));
/// std::shared_ptr<const routing_view> now = routes.get();
/// \endcode
template <typename T>
class snapshot
{
public:
    snapshot()
        : m_value(std::make_shared<const T>())
    { }

    std::shared_ptr<const T> get() const { return std::atomic_load(&m_value); }
    void publish(std::shared_ptr<const T> value) { std::atomic_store(&m_value, std::move(value)); }

private:
    std::shared_ptr<const T> m_value;
};

} // namespace damaskward
