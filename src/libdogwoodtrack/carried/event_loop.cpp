#include "carried/event_loop.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

auto event_loop::add(int fd, short events, handler on_ready) -> void {
    entries_.push_back({fd, events, std::move(on_ready)});
}

auto event_loop::change(int fd, short events) -> void {
    for (auto &it : entries_) {
        if (it.fd == fd)
            it.events = events;
    }
}

auto event_loop::remove(int fd) -> void {
    std::erase_if(entries_, [&](const entry &it) { return it.fd == fd; });
}

auto event_loop::run_once(time_point until) -> void {
    polled_.clear();
    for (const auto &it : entries_)
        polled_.push_back({.fd = it.fd, .events = it.events, .revents = 0});
    const auto left_ms =
        std::chrono::ceil<milliseconds>(until - monotonic::now()).count();
    const auto timeout_ms =
        static_cast<int>(std::clamp<std::int64_t>(left_ms, 0, 1000));
    if (poll(polled_.data(), polled_.size(), timeout_ms) <= 0)
        return;
    for (const auto &polled : polled_) {
        if (polled.revents == 0)
            continue;
        // An earlier handler may have added or removed entries.
        const auto found =
            std::find_if(entries_.begin(), entries_.end(),
                         [&](const entry &it) { return it.fd == polled.fd; });
        if (found == entries_.end())
            continue;
        const auto on_ready = found->on_ready;
        on_ready(polled.revents);
    }
}

} // namespace dogwoodtrack::carried
