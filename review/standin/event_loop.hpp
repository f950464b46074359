#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <poll.h>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;
using milliseconds = std::chrono::milliseconds;

/// Single-threaded loop over file descriptors and timers.
class event_loop {
public:
    using handler = std::function<void()>;

    /// Calls `on_readable` whenever `fd` can be read or has failed.
    auto add(int fd, handler on_readable) -> void {
        readers_[fd] = std::move(on_readable);
    }

    auto remove(int fd) -> void {
        readers_.erase(fd);
    }

    /// Calls `action` once after `delay`.
    auto after(milliseconds delay, handler action) -> void {
        timers_.emplace(clock_type::now() + delay, std::move(action));
    }

    /// Calls `action` at once and then again each `interval`.
    auto every(milliseconds interval, handler action) -> void {
        action();
        after(interval, [this, interval, action] { every(interval, action); });
    }

    auto stop() -> void {
        stopped_ = true;
    }

    auto run() -> void {
        while (!stopped_) {
            run_timers();
            wait_for_input();
        }
    }

private:
    auto run_timers() -> void {
        while (!timers_.empty() &&
               timers_.begin()->first <= clock_type::now()) {
            const auto action = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            action();
        }
    }

    auto wait_for_input() -> void {
        polled_.clear();
        for (const auto &[fd, reader] : readers_)
            polled_.push_back({.fd = fd, .events = POLLIN, .revents = 0});
        constexpr int max_wait_ms = 20;
        auto wait_ms = max_wait_ms;
        if (!timers_.empty()) {
            const auto left = std::chrono::ceil<milliseconds>(
                timers_.begin()->first - clock_type::now());
            wait_ms = static_cast<int>(
                std::clamp<std::int64_t>(left.count(), 0, max_wait_ms));
        }
        if (poll(polled_.data(), polled_.size(), wait_ms) <= 0)
            return;
        for (const auto &it : polled_) {
            if (it.revents == 0)
                continue;
            const auto found = readers_.find(it.fd);
            if (found == readers_.end())
                continue;
            const auto reader = found->second;
            reader();
        }
    }

    std::map<int, handler> readers_;
    std::multimap<time_point, handler> timers_;
    std::vector<pollfd> polled_;
    bool stopped_ = false;
};

} // namespace review
