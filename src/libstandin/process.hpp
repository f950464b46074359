#pragma once

#include <memory>
#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::standin {

/// What the operating system says of a process.
struct process_usage {
    double control_seconds = 0; ///< processor time outside packet workers
    double worker_seconds = 0;  ///< processor time of packet workers
    std::uint64_t rss_bytes = 0;
};

/// A daemon started by the test driver. One thread uses it.
class process {
public:
    /// Starts `program`; its standard error goes to `log_path`.
    static auto start(const std::string &program,
                      const std::vector<std::string> &arguments,
                      const std::string &log_path)
        -> result<std::unique_ptr<process>>;

    /// Kills the process if it still runs.
    ~process();

    auto terminate() -> void; ///< SIGTERM
    auto kill() -> void;      ///< SIGKILL, and waits
    auto pause() -> void;     ///< SIGSTOP
    auto resume() -> void;    ///< SIGCONT
    auto running() -> bool;
    /// Exit code, -1 while it runs or after a signal.
    auto exit_code() -> int;
    auto usage() const -> process_usage;
    auto id() const -> int;

private:
    struct state;
    explicit process(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack::standin
