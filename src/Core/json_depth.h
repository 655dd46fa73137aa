/// \file
/// \brief Limits the nesting of JSON and CBOR that other programs have written.

#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace damaskward {

/// Greatest nesting accepted. The JSON library recurses when it decodes CBOR, and when it copies,
/// compares or writes a value.
inline constexpr std::size_t maxJsonDepth = 32;

namespace internal {

/// Reads a document without storing it, and stops where it is nested too deeply.
class json_depth_check : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool key(string_t &) override { return true; }
    bool start_object(std::size_t) override { return ++m_depth <= maxJsonDepth; }
    bool start_array(std::size_t) override { return ++m_depth <= maxJsonDepth; }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }
    bool parse_error(std::size_t, const std::string &, const nlohmann::json::exception &) override
    {
        return false;
    }

private:
    bool close()
    {
        --m_depth;
        return true;
    }

    std::size_t m_depth = 0;
};

} // namespace internal

/// \returns whether \a document is one well-formed document that is nested at most maxJsonDepth
/// levels deep.
inline bool isShallowJson(std::string_view document, nlohmann::json::input_format_t format)
{
    internal::json_depth_check check;
    return nlohmann::json::sax_parse(document, &check, format);
}

} // namespace damaskward
