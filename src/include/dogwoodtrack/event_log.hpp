#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace dogwoodtrack {

/// Severity of a log line.
enum class severity : std::uint8_t { debug, info, warning, failure };

/// Reads `debug`, `info`, `warning` or `error`; anything else is `info`.
auto parse_severity(std::string_view name) -> severity;

/// One named value of a log line.
struct log_field {
    std::string_view name;
    std::variant<std::int64_t, std::uint64_t, double, bool, std::string> value;
};

/// Settings of the log.
struct log_options {
    std::string instance;
    severity least = severity::info;
    std::size_t lines_per_second = 200; ///< more are left out and counted
};

/// Sets up the log of this process. Call before the first line.
auto open_log(const log_options &options) -> void;

/// Whether lines of this severity are written: ask before making fields for
/// one on a busy path. Thread safe.
auto is_logged(severity level) -> bool;

/// Writes one JSON line to standard output: Unix time in ms, level,
/// instance, event, and the fields. Never blocks: a line that finds no room
/// is left out, and the next one that does tells how many were. Thread safe.
auto log_event(severity level, std::string_view event,
               std::initializer_list<log_field> fields = {}) -> void;

} // namespace dogwoodtrack
