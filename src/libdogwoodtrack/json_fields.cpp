#include "json_fields.hpp"

namespace dogwoodtrack {

using nlohmann::json;

auto parse_json(std::string_view text) -> json {
    constexpr int max_depth = 32;
    const auto is_shallow = [](int depth, json::parse_event_t, json &) {
        return depth <= max_depth;
    };
    return json::parse(text, is_shallow, false);
}

auto find_field(const json &object, const char *name) -> const json * {
    if (!object.is_object())
        return nullptr;
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

auto object_field(const json &object, const char *name) -> const json & {
    static const auto empty = json::object();
    const auto *it = find_field(object, name);
    return it != nullptr && it->is_object() ? *it : empty;
}

auto array_field(const json &object, const char *name) -> const json & {
    static const auto empty = json::array();
    const auto *it = find_field(object, name);
    return it != nullptr && it->is_array() ? *it : empty;
}

auto text_field(const json &object, const char *name,
                const std::string &fallback) -> std::string {
    const auto *it = find_field(object, name);
    return it != nullptr && it->is_string() ? it->get<std::string>() : fallback;
}

auto bool_field(const json &object, const char *name, bool fallback) -> bool {
    const auto *it = find_field(object, name);
    return it != nullptr && it->is_boolean() ? it->get<bool>() : fallback;
}

} // namespace dogwoodtrack
