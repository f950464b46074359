#pragma once

#include <functional>
#include <vector>

#include <poll.h>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::carried {

/// Waits for file descriptors and deadlines and calls handlers. One thread.
class event_loop {
public:
    using handler = std::function<void(short events)>;

    /// Calls `on_ready` whenever one of `events` (as for `poll`) occurs on
    /// `fd`. May be called from a handler.
    auto add(int fd, short events, handler on_ready) -> void;

    /// Replaces the events to wait for on `fd`.
    auto change(int fd, short events) -> void;

    /// Stops watching `fd`; does not close it. May be called from a handler.
    auto remove(int fd) -> void;

    /// Waits until a descriptor is ready or `until` is reached, for one second
    /// at most, and calls the handlers of the descriptors that are ready.
    auto run_once(time_point until) -> void;

private:
    struct entry {
        int fd;
        short events;
        handler on_ready;
    };

    std::vector<entry> entries_;
    std::vector<pollfd> polled_;
};

} // namespace dogwoodtrack::carried
