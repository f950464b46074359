#include "json_listing.hpp"

#include "json_scan.hpp"

namespace dogwoodtrack {

namespace {

/// Limits the work on incomplete elements: together they are read at most this
/// many times the length of the text.
constexpr std::size_t max_rescans = 16;

// Whether an object whose first member is called `name` begins at `at`.
auto begins_with_member(std::string_view text, std::size_t at,
                        std::string_view name) -> bool {
    if (text[at] != '{')
        return false;
    const auto quote = skip_space(text, at + 1);
    return quote != not_found && text[quote] == '"' &&
           text.substr(quote + 1, name.size()) == name &&
           text.substr(quote + 1 + name.size(), 1) == "\"";
}

// Returns the position of the element after the incomplete one at `from`: an
// object after a comma whose first member is called `name`.
auto find_next_element(std::string_view text, std::size_t from,
                       std::string_view name) -> std::size_t {
    for (auto at = text.find(',', from); at != not_found;
         at = text.find(',', at + 1)) {
        const auto begin = skip_space(text, at + 1);
        if (begin != not_found && begins_with_member(text, begin, name))
            return begin;
    }
    return not_found;
}

// Whether the element that ends at `end` is followed by the end of the array or
// by another object.
auto is_followed_well(std::string_view text, std::size_t end) -> bool {
    const auto after = skip_space(text, end);
    if (after == not_found || text[after] == ']')
        return after != not_found;
    const auto next = skip_space(text, after + 1);
    return text[after] == ',' && next != not_found && text[next] == '{';
}

/// Splits an array of objects into its elements.
struct element_splitter {
    std::string_view text;
    std::string_view first_name; ///< of each element's first member
    /// How many characters of incomplete elements may still be read.
    std::size_t budget = 0;
    std::vector<json_element> elements;

    auto add(std::size_t begin, std::size_t end, bool intact) -> void {
        const auto size = end == not_found ? end : end - begin;
        elements.push_back(
            {.text = text.substr(begin, size), .intact = intact});
    }

    // Adds the element at `begin` and moves `begin` to the next one, or to the
    // closing bracket. Sets `begin` to `not_found` if neither was found.
    // Returns whether there is another element.
    auto add_next(std::size_t &begin) -> bool {
        const auto value = scan_value(text, begin);
        if (value.end != not_found && is_followed_well(text, value.end)) {
            add(begin, value.end, true);
            begin = skip_space(text, value.end);
            if (text[begin] == ']')
                return false;
            begin = skip_space(text, begin + 1);
            return true;
        }
        const auto affordable = value.read <= budget;
        budget -= affordable ? value.read : budget;
        const auto next = affordable
                              ? find_next_element(text, begin + 1, first_name)
                              : not_found;
        if (affordable)
            add(begin, next, false);
        begin = next;
        return next != not_found;
    }
};

// Splits the array that begins at `at` into `elements`; returns the position
// after it, or `not_found` if its end was not found.
auto split_elements(std::string_view text, std::size_t at,
                    std::vector<json_element> &elements) -> std::size_t {
    auto begin = skip_space(text, at + 1);
    if (begin != not_found && text[begin] == ']')
        return begin + 1;
    if (begin == not_found || text[begin] != '{')
        return not_found;
    element_splitter it{.text = text,
                        .first_name = read_member_start(text, begin + 1).name,
                        .budget = max_rescans * text.size(),
                        .elements = {}};
    while (it.add_next(begin)) {
    }
    elements = std::move(it.elements);
    if (begin != not_found)
        return begin + 1;
    // The last element is not complete: the array ends with the last bracket.
    const auto close = text.rfind(']');
    return it.budget == 0 || close == not_found || close < at ? not_found
                                                              : close + 1;
}

} // namespace

auto split_listing(std::string_view text, std::string_view list_name)
    -> std::optional<json_listing> {
    auto at = skip_space(text, 0);
    if (at == not_found || text[at] != '{')
        return std::nullopt;
    json_listing it;
    auto has_list = false;
    do {
        const auto member = read_member_start(text, at + 1);
        if (member.value == not_found)
            return std::nullopt;
        if (member.name == list_name && text[member.value] == '[') {
            has_list = true;
            at = split_elements(text, member.value, it.elements);
        } else {
            at = skip_value(text, member.value);
            if (at == not_found)
                return std::nullopt;
            it.others.push_back(
                {.name = member.name,
                 .value = text.substr(member.value, at - member.value)});
        }
        at = skip_space(text, at);
    } while (at != not_found && text[at] == ',');
    if (!has_list || at == not_found || text[at] != '}')
        return std::nullopt;
    return it;
}

auto find_value(const json_listing &listing, std::string_view name)
    -> std::string_view {
    for (const auto &it : listing.others) {
        if (it.name == name)
            return it.value;
    }
    return {};
}

} // namespace dogwoodtrack
