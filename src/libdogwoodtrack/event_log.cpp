#include "dogwoodtrack/event_log.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <iterator>
#include <mutex>

#include <poll.h>
#include <unistd.h>

#include <fmt/format.h>

namespace dogwoodtrack {

namespace {

// Maximum length of a line. A pipe that polls as writable accepts PIPE_BUF
// (4096) bytes without blocking.
constexpr std::size_t line_limit_bytes = 4'000;

struct log_state {
    std::mutex mutex;
    std::atomic<severity> min_severity{severity::info};
    log_options options;
    std::int64_t current_second = 0;
    std::size_t lines_this_second = 0;
    std::uint64_t dropped_lines = 0;
};

auto global_log() -> log_state & {
    static log_state log;
    return log;
}

auto unix_milliseconds() -> std::int64_t {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

auto append_json_string(fmt::memory_buffer &out, std::string_view text)
    -> void {
    out.push_back('"');
    for (const auto c : text) {
        if (c == '"' || c == '\\') {
            out.push_back('\\');
            out.push_back(c);
        } else if (static_cast<unsigned char>(c) < 0x20) {
            fmt::format_to(std::back_inserter(out), "\\u{:04x}",
                           static_cast<unsigned>(c));
        } else {
            out.push_back(c);
        }
    }
    out.push_back('"');
}

struct append_json_value {
    fmt::memory_buffer &out;

    auto operator()(const std::string &text) const -> void {
        append_json_string(out, text);
    }
    template <typename Number>
    auto operator()(Number number) const -> void {
        fmt::format_to(std::back_inserter(out), "{}", number);
    }
};

// Returns whether a line may be written: fewer than `lines_per_second` lines
// have been written in this second, and standard output would not block. Resets
// the number of lines when a new second has begun.
auto check_line_budget(log_state &log, std::int64_t now_ms) -> bool {
    const auto current_second = now_ms / 1000;
    if (current_second != log.current_second) {
        log.current_second = current_second;
        log.lines_this_second = 0;
    }
    if (log.lines_this_second >= log.options.lines_per_second)
        return false;
    pollfd out{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

auto append_header(fmt::memory_buffer &out, const log_state &log,
                   severity level, std::string_view event, std::int64_t now_ms)
    -> void {
    static constexpr std::array names{"debug", "info", "warning", "error"};
    fmt::format_to(std::back_inserter(out),
                   "{{\"ms\":{},\"level\":\"{}\",\"instance\":", now_ms,
                   names[static_cast<std::size_t>(level)]);
    append_json_string(out, log.options.instance);
    fmt::format_to(std::back_inserter(out), ",\"event\":");
    append_json_string(out, event);
    if (log.dropped_lines > 0)
        fmt::format_to(std::back_inserter(out), ",\"left_out\":{}",
                       log.dropped_lines);
}

} // namespace

auto parse_severity(std::string_view name) -> severity {
    if (name == "debug")
        return severity::debug;
    if (name == "warning")
        return severity::warning;
    return name == "error" ? severity::failure : severity::info;
}

auto open_log(const log_options &options) -> void {
    const std::lock_guard lock(global_log().mutex);
    global_log().options = options;
    global_log().min_severity = options.min_severity;
}

auto is_logged(severity level) -> bool {
    return level >= global_log().min_severity.load(std::memory_order_relaxed);
}

auto log_event(severity level, std::string_view event,
               std::initializer_list<log_field> fields) -> void {
    if (!is_logged(level))
        return;
    auto &log = global_log();
    const std::lock_guard lock(log.mutex);
    const auto now_ms = unix_milliseconds();
    if (!check_line_budget(log, now_ms)) {
        ++log.dropped_lines;
        return;
    }
    fmt::memory_buffer out;
    append_header(out, log, level, event, now_ms);
    for (const auto &field : fields) {
        out.push_back(',');
        append_json_string(out, field.name);
        out.push_back(':');
        std::visit(append_json_value{out}, field.value);
    }
    fmt::format_to(std::back_inserter(out), "}}\n");
    if (out.size() > line_limit_bytes ||
        write(STDOUT_FILENO, out.data(), out.size()) < 0) {
        ++log.dropped_lines;
        return;
    }
    ++log.lines_this_second;
    log.dropped_lines = 0;
}

} // namespace dogwoodtrack
