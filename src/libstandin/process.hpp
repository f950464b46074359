#pragma once

#include <memory>
#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::standin {

/// Resource usage of a process, read from /proc.
struct process_usage {
    double control_seconds = 0; ///< CPU time outside packet workers
    double worker_seconds = 0;  ///< CPU time of packet workers
    std::uint64_t rss_bytes = 0;
};

/// A child process running a daemon. Not thread safe.
class process {
public:
    /// Starts `program` with its standard error written to `log_path`. Fails
    /// with `error_kind::scenario_invalid`.
    static auto start(const std::string &program,
                      const std::vector<std::string> &arguments,
                      const std::string &log_path)
        -> result<std::unique_ptr<process>>;

    /// Kills the process if it is running.
    ~process();

    auto terminate() -> void; ///< SIGTERM
    auto kill() -> void;      ///< SIGKILL, then waits for the end
    auto pause() -> void;     ///< SIGSTOP
    auto resume() -> void;    ///< SIGCONT
    auto running() -> bool;
    /// Exit code; -1 while the process is running and after `kill`.
    auto exit_code() -> int;
    /// Usage so far; threads that have ended are not counted.
    auto usage() const -> process_usage;
    /// Process id.
    auto id() const -> int;

private:
    struct state;
    explicit process(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack::standin
