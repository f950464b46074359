#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace dogwoodtrack {

/// Severity of a line written by `log_event`. `failure` is written as `error`.
enum class severity : std::uint8_t { debug, info, warning, failure };

/// Parses `debug`, `info`, `warning` or `error`. Returns `info` for any other
/// name. Thread safe.
auto parse_severity(std::string_view name) -> severity;

/// A named value in a log line.
struct log_field {
    std::string_view name;
    std::variant<std::int64_t, std::uint64_t, double, bool, std::string> value;
};

/// Settings of the log.
struct log_options {
    std::string instance;
    severity min_severity = severity::info;
    /// Rate limit. Lines beyond it are dropped and counted.
    std::size_t lines_per_second = 200;
};

/// Configures the log of this process. Lines written before the first call
/// carry an empty instance name. Thread safe.
auto open_log(const log_options &options) -> void;

/// Returns whether lines of this severity are written. Lets hot paths skip
/// building the fields of a line that would be discarded. Thread safe.
auto is_logged(severity level) -> bool;

/// Writes one JSON line to standard output: Unix time in milliseconds, level,
/// instance, event and the fields. Never blocks on the output: a line that
/// exceeds the rate limit or 4000 bytes, or for which standard output is not
/// writable, is dropped, and the next line that is written reports the number
/// of dropped lines as `left_out`. Thread safe.
auto log_event(severity level, std::string_view event,
               std::initializer_list<log_field> fields = {}) -> void;

} // namespace dogwoodtrack
