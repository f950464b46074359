#pragma once

#include <limits>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace dogwoodtrack {

/// Readers of JSON that others have written. A field that is missing, of
/// another type or out of range is read as a default value; none of these
/// functions throws. All are thread safe.

/// Parses a text. Values nested deeper than 32 levels are left out, so that
/// copying, writing and destroying the result need little stack. Returns a
/// discarded value if the text is not valid JSON.
auto parse_json(std::string_view text) -> nlohmann::json;

/// Returns a member of an object, or null.
auto find_field(const nlohmann::json &object, const char *name)
    -> const nlohmann::json *;

/// Returns a member that is an object, or an empty object.
auto object_field(const nlohmann::json &object, const char *name)
    -> const nlohmann::json &;

/// Returns a member that is an array, or an empty array.
auto array_field(const nlohmann::json &object, const char *name)
    -> const nlohmann::json &;

/// Returns a member that is a string, or `fallback`.
auto text_field(const nlohmann::json &object, const char *name,
                const std::string &fallback = "") -> std::string;

/// Returns a member that is a boolean, or `fallback`.
auto bool_field(const nlohmann::json &object, const char *name, bool fallback)
    -> bool;

/// Returns a member that is a non-negative integer within the range of
/// `Number`, or 0.
template <typename Number>
auto number_field(const nlohmann::json &object, const char *name) -> Number {
    const auto *it = find_field(object, name);
    if (it == nullptr || !it->is_number_unsigned())
        return 0;
    const auto value = it->template get<std::uint64_t>();
    return value > std::numeric_limits<Number>::max()
               ? Number{0}
               : static_cast<Number>(value);
}

} // namespace dogwoodtrack
