/// \file
/// \brief Strongly typed names: a VM's name cannot be passed where a target's is expected.

#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace damaskward {

/// \class strong_id
/// \brief A name with a distinct type for each kind of object.
/// \tparam Tag an empty type that identifies the kind of object
///
/// \code
/// vm_id vm("vm-1");
/// std::string text = vm.str();
/// \endcode
template <typename Tag>
class strong_id
{
public:
    strong_id() = default;
    explicit strong_id(std::string_view value)
        : m_value(value)
    { }

    /// \returns the name as text.
    const std::string &str() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend bool operator==(const strong_id &a, const strong_id &b)
    {
        return a.m_value == b.m_value;
    }
    friend bool operator!=(const strong_id &a, const strong_id &b)
    {
        return a.m_value != b.m_value;
    }
    friend bool operator<(const strong_id &a, const strong_id &b) { return a.m_value < b.m_value; }
    friend std::ostream &operator<<(std::ostream &out, const strong_id &id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

using vm_id = strong_id<struct vm_tag>;
using data_center_id = strong_id<struct data_center_tag>;
using team_id = strong_id<struct team_tag>;
using service_id = strong_id<struct service_tag>;

/// The name of a target: its service and a name that is unique within the service.
struct target_id
{
    service_id service;
    std::string name;

    /// \returns `service/name`, the form used in rules and table rows.
    std::string str() const { return service.str() + "/" + name; }

    friend bool operator==(const target_id &a, const target_id &b)
    {
        return a.service == b.service && a.name == b.name;
    }
    friend bool operator!=(const target_id &a, const target_id &b) { return !(a == b); }
    friend bool operator<(const target_id &a, const target_id &b)
    {
        return a.service != b.service ? a.service < b.service : a.name < b.name;
    }
};

/// One shard of a service's keys.
struct shard_id
{
    service_id service;
    std::uint32_t number = 0;

    friend bool operator==(const shard_id &a, const shard_id &b)
    {
        return a.number == b.number && a.service == b.service;
    }
    friend bool operator<(const shard_id &a, const shard_id &b)
    {
        return a.service != b.service ? a.service < b.service : a.number < b.number;
    }
};

} // namespace damaskward

namespace std {
template <typename Tag>
struct hash<damaskward::strong_id<Tag>>
{
    size_t operator()(const damaskward::strong_id<Tag> &id) const noexcept
    {
        return hash<string>()(id.str());
    }
};
} // namespace std
