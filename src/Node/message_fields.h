/// \file
/// \brief Encodes and decodes the fields of messages as MessagePack, with msgpack-c.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"

#include <msgpack.hpp>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace damaskward {

/// Limits of a message. The writer produces none that the reader would refuse.
struct message_limits
{
    static constexpr std::size_t maxItems = 16384; ///< of one list or map
    /// Longer than any row of the store, and so than any name in a row.
    static constexpr std::size_t maxTextBytes = 131072;
    static constexpr std::size_t maxDepth = 10; ///< of nested lists and maps
};

/// A message that cannot be decoded, or that exceeds the limits.
class field_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// \class field_writer
/// \brief Writes values in the order in which describe() names them. Texts and lists beyond
/// message_limits throw field_error.
///
/// \code
/// template <typename Archive>
/// void describe(Archive &fields, point &p) { fields(p.x, p.y); }
/// \endcode
/// \sa field_reader
class field_writer
{
public:
    explicit field_writer(msgpack::packer<msgpack::sbuffer> &packer)
        : m_packer(packer)
    { }

    /// Writes one structure, as an array of its fields.
    template <typename... Fields>
    void operator()(Fields &...fields)
    {
        m_packer.pack_array(static_cast<std::uint32_t>(sizeof...(fields)));
        (write(fields), ...);
    }

    template <typename Value>
    void write(Value &value)
    {
        if constexpr (std::is_arithmetic_v<Value>) {
            m_packer.pack(value);
        } else {
            describe(*this, value);
        }
    }
    void write(std::string &text) { writeText(text); }
    void write(milliseconds &span) { m_packer.pack(static_cast<std::int64_t>(span.count())); }
    template <typename Tag>
    void write(strong_id<Tag> &id)
    {
        writeText(id.str());
    }
    template <typename Value>
    void write(std::vector<Value> &list)
    {
        checkItems(list.size());
        m_packer.pack_array(static_cast<std::uint32_t>(list.size()));
        for (Value &value : list) {
            write(value);
        }
    }
    template <typename Key, typename Value>
    void write(std::map<Key, Value> &map)
    {
        checkItems(map.size());
        m_packer.pack_map(static_cast<std::uint32_t>(map.size()));
        for (auto &[key, value] : map) {
            Key copy = key;
            write(copy);
            write(value);
        }
    }

private:
    void writeText(const std::string &text)
    {
        if (text.size() > message_limits::maxTextBytes) {
            throw field_error("text above the limit");
        }
        m_packer.pack(text);
    }

    static void checkItems(std::size_t count)
    {
        if (count > message_limits::maxItems) {
            throw field_error("items above the limit");
        }
    }

    msgpack::packer<msgpack::sbuffer> &m_packer;
};

/// \class field_reader
/// \brief Reads values in the order in which describe() names them. Values of another type or out
/// of range throw msgpack::type_error or field_error.
/// \sa field_writer
class field_reader
{
public:
    explicit field_reader(const msgpack::object &object)
        : m_object(object)
    { }

    /// Reads one structure. Further elements of the array are ignored.
    template <typename... Fields>
    void operator()(Fields &...fields)
    {
        if (m_object.type != msgpack::type::ARRAY || m_object.via.array.size < sizeof...(fields)) {
            throw field_error("array of fields");
        }
        const msgpack::object *next = m_object.via.array.ptr;
        (read(*next++, fields), ...);
    }

    template <typename Value>
    static void read(const msgpack::object &object, Value &value)
    {
        if constexpr (std::is_floating_point_v<Value>) {
            value = object.as<Value>();
            if (!std::isfinite(value)) {
                throw field_error("finite number");
            }
        } else if constexpr (std::is_arithmetic_v<Value>) {
            value = object.as<Value>();
        } else {
            field_reader reader(object);
            describe(reader, value);
        }
    }
    static void read(const msgpack::object &object, std::string &text)
    {
        if (object.type != msgpack::type::STR) {
            throw field_error("text");
        }
        text.assign(object.via.str.ptr, object.via.str.size);
    }
    static void read(const msgpack::object &object, milliseconds &span)
    {
        span = milliseconds(object.as<std::int64_t>());
    }
    template <typename Tag>
    static void read(const msgpack::object &object, strong_id<Tag> &id)
    {
        std::string text;
        read(object, text);
        id = strong_id<Tag>(text);
    }
    template <typename Value>
    static void read(const msgpack::object &object, std::vector<Value> &list)
    {
        if (object.type != msgpack::type::ARRAY) {
            throw field_error("list");
        }
        list.resize(object.via.array.size);
        for (std::size_t i = 0; i < list.size(); ++i) {
            read(object.via.array.ptr[i], list[i]);
        }
    }
    template <typename Key, typename Value>
    static void read(const msgpack::object &object, std::map<Key, Value> &map)
    {
        if (object.type != msgpack::type::MAP) {
            throw field_error("map");
        }
        map.clear();
        for (std::uint32_t i = 0; i < object.via.map.size; ++i) {
            Key key{};
            read(object.via.map.ptr[i].key, key);
            read(object.via.map.ptr[i].val, map[key]);
        }
    }

private:
    const msgpack::object &m_object;
};

/// \returns \a message encoded after the letter \a type.
/// \throws field_error if it exceeds message_limits
template <typename Message>
std::string encodeFields(char type, const Message &message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    constexpr std::uint32_t typeAndMessage = 2;
    packer.pack_array(typeAndMessage);
    packer.pack(static_cast<std::uint8_t>(type));
    field_writer writer(packer);
    // One description of the fields serves the writer, which only reads them, and the reader.
    describe(writer, const_cast<Message &>(message)); // NOLINT(*-const-cast)
    return {buffer.data(), buffer.size()};
}

/// \class encoded_fields
/// \brief A parsed message. Texts are views into its bytes, all else lies in one arena.
///
/// \code
/// const encoded_fields message(datagram);
/// if (message.type() == 'b')
///     use(message.as<heartbeat>());
/// \endcode
class encoded_fields
{
public:
    /// \param bytes must outlive this object
    /// \throws field_error if they are not one whole message, or exceed the limits on its depth and
    ///         on the lengths of its parts
    explicit encoded_fields(std::string_view bytes)
    {
        const msgpack::unpack_limit limit(message_limits::maxItems, message_limits::maxItems,
                                          message_limits::maxTextBytes, 0, 0,
                                          message_limits::maxDepth);
        std::size_t end = 0;
        try {
            msgpack::unpack(
                m_handle, bytes.data(), bytes.size(), end,
                [](msgpack::type::object_type, std::size_t, void *) { return true; }, nullptr,
                limit);
        } catch (const msgpack::unpack_error &e) {
            throw field_error(e.what());
        }
        const msgpack::object &root = m_handle.get();
        if (end != bytes.size() || root.type != msgpack::type::ARRAY || root.via.array.size != 2) {
            throw field_error("message");
        }
    }

    /// \returns the letter that identifies the type of the message.
    char type() const { return static_cast<char>(convert<std::uint8_t>(0)); }

    /// \throws field_error if the message is not a \a Message
    template <typename Message>
    Message as() const
    {
        return convert<Message>(1);
    }

private:
    template <typename Value>
    Value convert(std::size_t index) const
    {
        Value value{};
        try {
            field_reader::read(m_handle.get().via.array.ptr[index], value);
        } catch (const msgpack::type_error &) {
            throw field_error("type of a field");
        }
        return value;
    }

    msgpack::object_handle m_handle;
};

} // namespace damaskward
