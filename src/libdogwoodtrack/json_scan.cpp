#include "json_scan.hpp"

#include <string>

namespace dogwoodtrack {

namespace {

constexpr std::string_view white_space = " \t\r\n";

/// What the grammar allows next.
enum class expected {
    value,
    value_or_end,
    name,
    name_or_end,
    colon,
    separator
};

/// State of a scan inside one value.
struct value_scan {
    std::string closers; ///< closing brackets that are still to come
    expected next = expected::value;

    // To be called after each complete value.
    auto end_value() -> void {
        next = expected::separator;
    }

    auto open(char closer) -> void {
        closers.push_back(closer);
        next = closer == '}' ? expected::name_or_end : expected::value_or_end;
    }

    auto close() -> void {
        closers.pop_back();
        end_value();
    }

    auto is_complete() const -> bool {
        return closers.empty() && next == expected::separator;
    }
};

// Returns the position after the string that begins at `at`.
auto skip_string(std::string_view text, std::size_t at) -> std::size_t {
    for (auto i = at + 1; i < text.size(); ++i) {
        if (text[i] == '"')
            return i + 1;
        if (text[i] == '\\')
            ++i;
    }
    return not_found;
}

auto is_scalar_character(char c) -> bool {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') || c == '-' || c == '+' || c == '.';
}

// Returns the position after the number or word that begins at `at`.
auto skip_scalar(std::string_view text, std::size_t at) -> std::size_t {
    auto end = at;
    while (end < text.size() && is_scalar_character(text[end]))
        ++end;
    return end == at ? not_found : end;
}

// Begins a value at `at`; returns the position after its first token.
auto begin_value(value_scan &scan, std::string_view text, std::size_t at)
    -> std::size_t {
    switch (text[at]) {
    case '{':
        scan.open('}');
        return at + 1;
    case '[':
        scan.open(']');
        return at + 1;
    case '"':
        scan.end_value();
        return skip_string(text, at);
    default:
        scan.end_value();
        return skip_scalar(text, at);
    }
}

auto read_name(value_scan &scan, std::string_view text, std::size_t at)
    -> std::size_t {
    scan.next = expected::colon;
    return text[at] == '"' ? skip_string(text, at) : not_found;
}

auto read_separator(value_scan &scan, std::string_view text, std::size_t at)
    -> std::size_t {
    if (text[at] == ',')
        scan.next =
            scan.closers.back() == '}' ? expected::name : expected::value;
    else if (text[at] == scan.closers.back())
        scan.close();
    else
        return not_found;
    return at + 1;
}

// Reads the token at `at`; returns the position after it, or `not_found` if the
// grammar does not allow it.
auto read_token(value_scan &scan, std::string_view text, std::size_t at)
    -> std::size_t {
    const auto may_end = scan.next == expected::value_or_end ||
                         scan.next == expected::name_or_end;
    if (may_end && text[at] == scan.closers.back()) {
        scan.close();
        return at + 1;
    }
    switch (scan.next) {
    case expected::value:
    case expected::value_or_end:
        return begin_value(scan, text, at);
    case expected::name:
    case expected::name_or_end:
        return read_name(scan, text, at);
    case expected::colon:
        scan.next = expected::value;
        return text[at] == ':' ? at + 1 : not_found;
    case expected::separator:
        return read_separator(scan, text, at);
    }
    return not_found;
}

} // namespace

auto skip_space(std::string_view text, std::size_t at) -> std::size_t {
    return at == not_found ? not_found
                           : text.find_first_not_of(white_space, at);
}

auto scan_value(std::string_view text, std::size_t at) -> scanned_value {
    const auto begin = at;
    value_scan scan;
    while (!scan.is_complete()) {
        const auto token = skip_space(text, at);
        at = token == not_found ? not_found : read_token(scan, text, token);
        if (at != not_found)
            continue;
        // Only a string without an end is read beyond its first character.
        const auto stopped =
            token == not_found || text[token] == '"' ? text.size() : token;
        return {.read = stopped - begin};
    }
    return {.end = at, .read = at - begin};
}

auto skip_value(std::string_view text, std::size_t at) -> std::size_t {
    return scan_value(text, at).end;
}

auto read_member_start(std::string_view text, std::size_t at) -> member_start {
    const auto begin = skip_space(text, at);
    if (begin == not_found || text[begin] != '"')
        return {};
    const auto end = skip_string(text, begin);
    const auto colon = skip_space(text, end);
    if (colon == not_found || text[colon] != ':')
        return {};
    return {.name = text.substr(begin + 1, end - begin - 2),
            .value = skip_space(text, colon + 1)};
}

auto find_value(std::string_view object, std::string_view name)
    -> std::string_view {
    auto at = skip_space(object, 0);
    if (at == not_found || object[at] != '{')
        return {};
    do {
        const auto member = read_member_start(object, at + 1);
        if (member.value == not_found)
            return {};
        const auto end = skip_value(object, member.value);
        if (member.name == name)
            return object.substr(member.value, end == not_found
                                                   ? not_found
                                                   : end - member.value);
        at = skip_space(object, end);
    } while (at != not_found && object[at] == ',');
    return {};
}

} // namespace dogwoodtrack
