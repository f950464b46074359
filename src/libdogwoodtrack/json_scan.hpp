#pragma once

#include <string_view>

namespace dogwoodtrack {

/// A scan of JSON text that checks the grammar of values, but not what strings
/// and numbers contain. It finds where each value ends, so that values can be
/// parsed one by one and an unreadable one concerns no other. Memory is used in
/// proportion to the depth of the text; no function recurses. All functions are
/// thread safe.

/// A position in a text, or `not_found`.
inline constexpr auto not_found = std::string_view::npos;

/// Result of a scan over one value.
struct scanned_value {
    std::size_t end = not_found; ///< position after the value
    std::size_t read = 0; ///< characters read, also if the value is incomplete
};

/// Scans the value that begins at `at`, possibly after white space.
/// `scanned_value::end` is `not_found` if no complete value follows.
auto scan_value(std::string_view text, std::size_t at) -> scanned_value;

/// Returns the position after the value that begins at `at`, possibly after
/// white space, or `not_found` if no complete value follows.
auto skip_value(std::string_view text, std::size_t at) -> std::size_t;

/// Returns the first character at or after `at` that is not white space, or
/// `not_found`.
auto skip_space(std::string_view text, std::size_t at) -> std::size_t;

/// The beginning of a member of an object.
struct member_start {
    std::string_view name;         ///< as written, without the quotation marks
    std::size_t value = not_found; ///< position of the value
};

/// Reads the name of the member that begins at `at`, possibly after white
/// space. `member_start::value` is `not_found` if no member begins there.
auto read_member_start(std::string_view text, std::size_t at) -> member_start;

/// Returns the value of the first member called `name` of the object with which
/// `object` begins, or the rest of the text if the value is not complete. The
/// members are read up to the first one that is not complete. Returns an empty
/// text if there is none of this name.
auto find_value(std::string_view object, std::string_view name)
    -> std::string_view;

} // namespace dogwoodtrack
