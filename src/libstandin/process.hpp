#pragma once

#include <memory>
#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::standin {

/// Resource usage of a daemon's process, read from /proc.
struct process_usage {
    double control_seconds = 0; ///< CPU time outside packet workers
    double worker_seconds = 0;  ///< CPU time of packet workers
    std::uint64_t rss_bytes = 0;
};

/// A child process running a daemon. Not thread safe.
class process {
public:
    /// Starts `program` with its standard error written to `log_path`. Fails
    /// with `error_kind::scenario_invalid` if it cannot be started. Thread
    /// safe.
    static auto start(const std::string &program,
                      const std::vector<std::string> &arguments,
                      const std::string &log_path)
        -> result<std::unique_ptr<process>>;

    /// Kills the process if it is running.
    ~process();

    auto terminate() -> void; ///< sends SIGTERM
    auto kill() -> void;   ///< sends SIGKILL and waits for the process to end
    auto pause() -> void;  ///< sends SIGSTOP
    auto resume() -> void; ///< sends SIGCONT
    auto running() -> bool;
    /// Exit code; -1 while the process is running and after `kill`.
    auto exit_code() -> int;
    /// Resource usage since the process started. The CPU time of threads that
    /// have ended is not included.
    auto usage() const -> process_usage;
    /// Process id.
    auto id() const -> int;

private:
    struct state;
    explicit process(std::unique_ptr<state> new_state);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack::standin
