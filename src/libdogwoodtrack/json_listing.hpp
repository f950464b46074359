#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace dogwoodtrack {

/// One element of an array of objects.
struct json_element {
    std::string_view text;
    bool intact = false; ///< the text is a complete value
};

/// A member of an object other than its list.
struct json_member {
    std::string_view name;  ///< as written, without the quotation marks
    std::string_view value; ///< as written
};

/// An object with a list of objects, such as an answer of a store.
struct json_listing {
    std::vector<json_element> elements;
    std::vector<json_member> others;
};

/// Splits the object `text`, whose member `list_name` is an array of objects,
/// into the elements of this array and the other members. An element that is
/// not a complete value ends where the next one begins, that is, before the
/// next object whose first member is called like that of the first element.
/// Returns nothing if the text is no such object.
auto split_listing(std::string_view text, std::string_view list_name)
    -> std::optional<json_listing>;

/// Returns the value of the member called `name`, or an empty text.
auto find_value(const json_listing &listing, std::string_view name)
    -> std::string_view;

} // namespace dogwoodtrack
