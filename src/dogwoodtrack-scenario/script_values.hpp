#pragma once

#include <algorithm>
#include <initializer_list>

#include <fmt/format.h>

#include "session.hpp"

namespace dogwoodtrack::scenario {

inline constexpr double start_patience = 20;

inline auto now() -> std::chrono::steady_clock::time_point {
    return std::chrono::steady_clock::now();
}

inline auto to_duration(double value) -> std::chrono::steady_clock::duration {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(value));
}

inline auto to_ms(double value) -> milliseconds {
    return std::chrono::duration_cast<milliseconds>(to_duration(value));
}

inline auto check(const result<void> &outcome) -> void {
    if (!outcome)
        throw scenario_problem{outcome.error().message()};
}

// A number, or the element of a list that belongs to this index.
inline auto pick(const json &terms, const char *name, std::size_t index,
                 double fallback) -> double {
    const auto it = terms.find(name);
    if (it == terms.end())
        return fallback;
    if (it->is_array())
        return it->at(index % it->size()).get<double>();
    return it->get<double>();
}

inline auto require_known(const json &terms, const char *word,
                          std::initializer_list<const char *> known) -> void {
    for (const auto &it : terms.items()) {
        const auto matches = [&](const char *name) { return it.key() == name; };
        if (std::none_of(known.begin(), known.end(), matches))
            throw scenario_problem{
                fmt::format("{} does not know '{}'", word, it.key())};
    }
}

inline auto text(const json &terms, const char *word, const char *name)
    -> std::string {
    const auto it = terms.find(name);
    if (it == terms.end() || !it->is_string())
        throw scenario_problem{fmt::format("{} needs {}", word, name)};
    return *it;
}

} // namespace dogwoodtrack::scenario
