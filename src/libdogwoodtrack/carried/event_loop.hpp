#pragma once

#include <functional>
#include <vector>

#include <poll.h>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::carried {

/// Waits for descriptors and deadlines and calls back. One thread.
class event_loop {
public:
    using handler = std::function<void(short events)>;

    /// Calls `ready` when one of `events` (as for poll) is seen on `fd`.
    auto add(int fd, short events, handler ready) -> void;

    /// Changes the events waited for.
    auto change(int fd, short events) -> void;

    /// Forgets a descriptor. May be called from a handler.
    auto remove(int fd) -> void;

    /// Waits until something is ready or `until` has come, and calls the
    /// handlers of what is ready.
    auto run_once(time_point until) -> void;

private:
    struct entry {
        int fd;
        short events;
        handler ready;
    };

    std::vector<entry> entries_;
    std::vector<pollfd> polled_;
};

} // namespace dogwoodtrack::carried
