#pragma once

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standin {

/// Event loop with timers, on one thread. Times are in milliseconds since the
/// start of the case.
class world {
public:
    explicit world(const std::string &record_path)
        : record_(std::fopen(record_path.c_str(), "w")) {}
    ~world() {
        if (record_ != nullptr)
            std::fclose(record_);
    }
    world(const world &) = delete;
    auto operator=(const world &) -> world & = delete;

    auto now() const -> double {
        const auto age = std::chrono::steady_clock::now() - start_;
        return std::chrono::duration<double, std::milli>(age).count();
    }

    auto at(double when, std::function<void()> action) -> void {
        timers_.emplace(when, std::move(action));
    }
    auto after(double delay, std::function<void()> action) -> void {
        at(now() + delay, std::move(action));
    }

    auto watch(int fd, std::function<void()> on_readable) -> void {
        readers_[fd] = std::move(on_readable);
    }
    auto unwatch(int fd) -> void {
        readers_.erase(fd);
    }

    /// Writes one line to the record, with the time.
    auto record(const char *format, ...) -> void {
        if (record_ == nullptr)
            return;
        std::fprintf(record_, "%10.1f ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(record_, format, arguments);
        va_end(arguments);
        std::fputc('\n', record_);
        std::fflush(record_);
    }

    auto run_until(double end) -> void {
        while (now() < end)
            step(end);
    }

private:
    auto step(double end) -> void {
        auto wait = end - now();
        if (!timers_.empty())
            wait = std::min(wait, timers_.begin()->first - now());
        std::vector<pollfd> polled;
        for (const auto &[fd, reader] : readers_)
            polled.push_back({.fd = fd, .events = POLLIN, .revents = 0});
        poll(polled.data(), polled.size(),
             wait <= 0 ? 0 : static_cast<int>(wait) + 1);
        for (const auto &one : polled) {
            const auto found = readers_.find(one.fd);
            if (one.revents == 0 || found == readers_.end())
                continue;
            const auto reader = found->second;
            reader();
        }
        while (!timers_.empty() && timers_.begin()->first <= now()) {
            const auto action = timers_.begin()->second;
            timers_.erase(timers_.begin());
            action();
        }
    }

    std::chrono::steady_clock::time_point start_ =
        std::chrono::steady_clock::now();
    std::FILE *record_;
    std::multimap<double, std::function<void()>> timers_;
    std::map<int, std::function<void()>> readers_;
};

struct address {
    std::uint32_t ip = 0; ///< host byte order
    std::uint16_t port = 0;

    auto operator<=>(const address &) const = default;
};

inline auto ip_text(std::uint32_t ip) -> std::string {
    return std::to_string(ip >> 24U) + "." + std::to_string(ip >> 16U & 255U) +
           "." + std::to_string(ip >> 8U & 255U) + "." +
           std::to_string(ip & 255U);
}

inline auto text_of(const address &it) -> std::string {
    return ip_text(it.ip) + ":" + std::to_string(it.port);
}

inline auto to_sockaddr(const address &it) -> sockaddr_in {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(it.ip);
    result.sin_port = htons(it.port);
    return result;
}

/// Opens a non-blocking socket that is bound to `local`; -1 if that fails.
inline auto open_socket(int type, const address &local) -> int {
    const auto fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    const auto to = to_sockaddr(local);
    if (type == SOCK_STREAM)
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline auto send_to(int fd, const address &to, const std::string &bytes)
    -> void {
    const auto where = to_sockaddr(to);
    sendto(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr *>(&where), sizeof where);
}

} // namespace standin
