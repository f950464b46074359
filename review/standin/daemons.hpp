#pragma once

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <utility>

#include "net.hpp"
#include "record.hpp"

namespace review {

/// The program of the deploy file, seen from the repository's root.
inline constexpr const char *daemon_path =
    "target/src/dogwoodtrackd-carried/dogwoodtrackd-carried";

/// Ports that are the same on every machine.
struct machine_ports {
    std::uint16_t link = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
    std::uint16_t internal = 0; ///< first of two
};

/// One machine with the program of the deploy file. A process that ends without
/// a signal of this stand-in is started again after a short delay.
class machine {
public:
    machine(event_loop &loop, record &log, const std::string &name,
            const std::string &zone, std::uint32_t address,
            const machine_ports &ports, const std::string &settings)
        : loop_(loop), log_(log), name_(name), zone_(zone), address_(address),
          ports_(ports), settings_(settings) {}

    auto name() const -> const std::string & {
        return name_;
    }
    auto zone() const -> const std::string & {
        return zone_;
    }
    auto link() const -> endpoint {
        return {address_, ports_.link};
    }
    auto ready() const -> endpoint {
        return {address_, ports_.ready};
    }
    auto in_rotation() const -> bool {
        return in_rotation_;
    }
    auto own_ends() const -> int {
        return own_ends_;
    }

    /// Stops the process as the platform does for planned work, and starts it
    /// again once it has ended.
    auto restart() -> void {
        send_signal(SIGTERM);
        restart_after_stop_ = true;
    }

    /// Kills the process and starts it again after `pause`.
    auto kill_and_start(milliseconds pause) -> void {
        send_signal(SIGKILL);
        loop_.after(pause, [this] {
            reap(false);
            start();
        });
    }

    auto start() -> void {
        const auto pid = fork();
        if (pid == 0)
            execute();
        pid_ = pid;
        log_.line("start %s", name_.c_str());
    }

    auto send_signal(int number) -> void {
        if (pid_ <= 0)
            return;
        log_.line("signal %d to %s", number, name_.c_str());
        expected_end_ = number == SIGKILL || number == SIGTERM;
        kill(pid_, number);
    }

    /// Notices the end of the process; returns whether it has ended.
    auto reap(bool restart) -> bool {
        int status = 0;
        if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_)
            return pid_ <= 0;
        pid_ = -1;
        if (std::exchange(expected_end_, false)) {
            log_.line("end of %s, as ordered", name_.c_str());
            if (std::exchange(restart_after_stop_, false))
                loop_.after(milliseconds{500}, [this] { start(); });
            return true;
        }
        ++own_ends_;
        if (WIFSIGNALED(status))
            log_.line("END of %s by itself, signal %d (%s)", name_.c_str(),
                      WTERMSIG(status), strsignal(WTERMSIG(status)));
        else
            log_.line("END of %s by itself, exit code %d", name_.c_str(),
                      WEXITSTATUS(status));
        if (restart)
            loop_.after(milliseconds{500}, [this] { start(); });
        return true;
    }

    /// Begins a readiness check. Two misses in a row take the machine out of
    /// rotation, one answer with 200 brings it back.
    auto check_readiness() -> void {
        if (check_fd_ >= 0)
            end_check(false);
        check_fd_ =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto raw = to_sockaddr(ready());
        connect(check_fd_, reinterpret_cast<const sockaddr *>(&raw),
                sizeof raw);
        const std::string text = "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n";
        // Loopback connections are established or refused at once.
        if (send(check_fd_, text.data(), text.size(), MSG_NOSIGNAL) < 0)
            return end_check(false);
        loop_.add(check_fd_, [this] {
            char bytes[512];
            const auto n = recv(check_fd_, bytes, sizeof bytes, 0);
            const std::string_view text(
                bytes, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
            end_check(text.rfind("HTTP/1.1 200", 0) == 0);
        });
    }

private:
    [[noreturn]] auto execute() -> void {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto log = open((settings_ + ".log").c_str(),
                              O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        const auto variable = "DOGWOODTRACK_SETTINGS=" + settings_;
        const char *const arguments[] = {daemon_path, nullptr};
        const char *const environment[] = {variable.c_str(),
                                           "PATH=/usr/bin:/bin", nullptr};
        execve(daemon_path, const_cast<char *const *>(arguments),
               const_cast<char *const *>(environment));
        _exit(127);
    }

    auto end_check(bool ready) -> void {
        loop_.remove(check_fd_);
        close(check_fd_);
        check_fd_ = -1;
        misses_ = ready ? 0 : misses_ + 1;
        const auto before =
            std::exchange(in_rotation_, ready || (in_rotation_ && misses_ < 2));
        if (in_rotation_ != before)
            log_.line("%s %s rotation", name_.c_str(),
                      in_rotation_ ? "in" : "out of");
    }

    event_loop &loop_;
    record &log_;
    std::string name_;
    std::string zone_;
    std::uint32_t address_;
    machine_ports ports_;
    std::string settings_;
    pid_t pid_ = -1;
    bool expected_end_ = false;
    bool restart_after_stop_ = false;
    int own_ends_ = 0;
    int check_fd_ = -1;
    int misses_ = 0;
    bool in_rotation_ = false;
};

} // namespace review
