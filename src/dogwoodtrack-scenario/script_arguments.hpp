#pragma once

#include <algorithm>
#include <initializer_list>

#include <fmt/format.h>

#include "session.hpp"

namespace dogwoodtrack::scenario {

inline constexpr double start_timeout_s = 20;

inline auto now() -> std::chrono::steady_clock::time_point {
    return std::chrono::steady_clock::now();
}

inline auto to_duration(double value_s) -> std::chrono::steady_clock::duration {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(value_s));
}

inline auto to_ms(double value_s) -> milliseconds {
    return std::chrono::duration_cast<milliseconds>(to_duration(value_s));
}

inline auto throw_on_error(const result<void> &outcome) -> void {
    if (!outcome)
        throw scenario_error{outcome.error().message()};
}

// Returns the argument `name` as a number. If the argument is a list, returns
// its element at `index` modulo the length of the list. Returns `fallback` if
// the argument is absent.
inline auto number_for(const json &arguments, const char *name,
                       std::size_t index, double fallback) -> double {
    const auto it = arguments.find(name);
    if (it == arguments.end())
        return fallback;
    if (it->is_array())
        return it->at(index % it->size()).get<double>();
    return it->get<double>();
}

// Throws if `arguments` has a key that is not in `known`.
inline auto reject_unknown(const json &arguments, const char *function,
                           std::initializer_list<const char *> known) -> void {
    for (const auto &it : arguments.items()) {
        const auto matches = [&](const char *name) { return it.key() == name; };
        if (std::none_of(known.begin(), known.end(), matches))
            throw scenario_error{
                fmt::format("{}: unknown argument '{}'", function, it.key())};
    }
}

inline auto required_string(const json &arguments, const char *function,
                            const char *name) -> std::string {
    const auto it = arguments.find(name);
    if (it == arguments.end() || !it->is_string())
        throw scenario_error{
            fmt::format("{}: string argument '{}' is missing", function, name)};
    return *it;
}

} // namespace dogwoodtrack::scenario
