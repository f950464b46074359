#include "process.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>

#include <boost/process.hpp>
#include <unistd.h>

namespace dogwoodtrack::standin {

namespace {

namespace bp = boost::process;

/// Held while a process is started. Boost.Process marks the pipe that it awaits
/// the start on as close-on-exec only after creating it. A process that another
/// thread started in between would inherit the pipe and hold it open, so that
/// the start would last until that process ends.
std::mutex start_mutex;

// CPU time in user and system mode from the text of a /proc stat file.
auto cpu_seconds(const std::string &stat) -> double {
    // The second field, the command name in parentheses, may itself contain
    // spaces and parentheses, so it ends at the last closing parenthesis.
    std::istringstream fields(stat.substr(stat.rfind(')') + 2));
    std::string skipped;
    constexpr int fields_before_time = 11;
    for (int i = 0; i < fields_before_time; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

auto read_file(const std::string &path) -> std::string {
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

auto resident_bytes(const std::string &proc_path) -> std::uint64_t {
    std::istringstream fields(read_file(proc_path + "/statm"));
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    fields >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

struct process::state {
    bp::child child;
    bool killed = false;
};

process::process(std::unique_ptr<state> new_state)
    : state_(std::move(new_state)) {}

process::~process() {
    if (running())
        kill();
}

auto process::start(const std::string &program,
                    const std::vector<std::string> &arguments,
                    const std::string &log_path)
    -> result<std::unique_ptr<process>> {
    auto new_state = std::make_unique<state>();
    std::error_code ec;
    const std::lock_guard lock(start_mutex);
    new_state->child =
        bp::child(program, bp::args(arguments), bp::std_err > log_path,
                  bp::std_out > bp::null, bp::std_in < bp::null, ec);
    if (ec)
        return error{error_kind::scenario_invalid,
                     "cannot start " + program + ": " + ec.message()};
    return std::unique_ptr<process>(new process(std::move(new_state)));
}

auto process::terminate() -> void {
    ::kill(id(), SIGTERM);
}

auto process::kill() -> void {
    state_->killed = true;
    ::kill(id(), SIGKILL);
    std::error_code ec;
    state_->child.wait(ec);
}

auto process::pause() -> void {
    ::kill(id(), SIGSTOP);
}

auto process::resume() -> void {
    ::kill(id(), SIGCONT);
}

auto process::running() -> bool {
    std::error_code ec;
    return state_->child.running(ec);
}

auto process::exit_code() -> int {
    if (running() || state_->killed)
        return -1;
    return state_->child.exit_code();
}

auto process::id() const -> int {
    return state_->child.id();
}

auto process::usage() const -> process_usage {
    process_usage usage;
    const auto proc_path = "/proc/" + std::to_string(id());
    std::error_code ec;
    for (const auto &task :
         std::filesystem::directory_iterator(proc_path + "/task", ec)) {
        const auto stat = read_file(task.path() / "stat");
        if (stat.empty())
            continue;
        const auto worker = stat.find("(worker") != std::string::npos;
        (worker ? usage.worker_seconds : usage.control_seconds) +=
            cpu_seconds(stat);
    }
    usage.rss_bytes = resident_bytes(proc_path);
    return usage;
}

} // namespace dogwoodtrack::standin
