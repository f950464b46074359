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

// A pipe that polls as writable accepts PIPE_BUF (4096) bytes without blocking.
constexpr std::size_t line_limit = 4'000;

struct log_state {
    std::mutex mutex;
    std::atomic<severity> least{severity::info};
    log_options options;
    std::int64_t second = 0;
    std::size_t lines = 0;
    std::uint64_t left_out = 0;
};

auto state() -> log_state & {
    static log_state it;
    return it;
}

auto unix_milliseconds() -> std::int64_t {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

auto append_text(fmt::memory_buffer &out, std::string_view text) -> void {
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

struct append_value {
    fmt::memory_buffer &out;

    auto operator()(const std::string &text) const -> void {
        append_text(out, text);
    }
    template <typename Number>
    auto operator()(Number number) const -> void {
        fmt::format_to(std::back_inserter(out), "{}", number);
    }
};

auto has_room(log_state &it, std::int64_t now_ms) -> bool {
    const auto second = now_ms / 1000;
    if (second != it.second) {
        it.second = second;
        it.lines = 0;
    }
    if (it.lines >= it.options.lines_per_second)
        return false;
    pollfd out{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

auto append_head(fmt::memory_buffer &out, const log_state &it, severity level,
                 std::string_view event, std::int64_t now_ms) -> void {
    static constexpr std::array names{"debug", "info", "warning", "error"};
    fmt::format_to(std::back_inserter(out),
                   "{{\"ms\":{},\"level\":\"{}\",\"instance\":", now_ms,
                   names[static_cast<std::size_t>(level)]);
    append_text(out, it.options.instance);
    fmt::format_to(std::back_inserter(out), ",\"event\":");
    append_text(out, event);
    if (it.left_out > 0)
        fmt::format_to(std::back_inserter(out), ",\"left_out\":{}",
                       it.left_out);
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
    const std::lock_guard lock(state().mutex);
    state().options = options;
    state().least = options.least;
}

auto is_logged(severity level) -> bool {
    return level >= state().least.load(std::memory_order_relaxed);
}

auto log_event(severity level, std::string_view event,
               std::initializer_list<log_field> fields) -> void {
    if (!is_logged(level))
        return;
    auto &it = state();
    const std::lock_guard lock(it.mutex);
    const auto now_ms = unix_milliseconds();
    if (!has_room(it, now_ms)) {
        ++it.left_out;
        return;
    }
    fmt::memory_buffer out;
    append_head(out, it, level, event, now_ms);
    for (const auto &field : fields) {
        out.push_back(',');
        append_text(out, field.name);
        out.push_back(':');
        std::visit(append_value{out}, field.value);
    }
    fmt::format_to(std::back_inserter(out), "}}\n");
    if (out.size() > line_limit ||
        write(STDOUT_FILENO, out.data(), out.size()) < 0) {
        ++it.left_out;
        return;
    }
    ++it.lines;
    it.left_out = 0;
}

} // namespace dogwoodtrack
