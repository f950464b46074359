#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

/// IPv4 address and port, both in host byte order.
struct endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;
};

inline auto make_address(unsigned a, unsigned b, unsigned c, unsigned d)
    -> std::uint32_t {
    return a << 24 | b << 16 | c << 8 | d;
}

inline auto to_text(std::uint32_t address) -> std::string {
    const in_addr raw{htonl(address)};
    return inet_ntoa(raw);
}

inline auto to_text(const endpoint &it) -> std::string {
    return to_text(it.address) + ":" + std::to_string(it.port);
}

inline auto to_sockaddr(const endpoint &it) -> sockaddr_in {
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(it.address);
    raw.sin_port = htons(it.port);
    return raw;
}

/// Opens a non-blocking socket bound to `local`; -1 if the address is taken.
inline auto try_open_socket(int type, const endpoint &local) -> int {
    const auto fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM)
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    constexpr int buffer_size = 1 << 20;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_size, sizeof buffer_size);
    const auto raw = to_sockaddr(local);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&raw), sizeof raw) == 0)
        return fd;
    close(fd);
    return -1;
}

/// Like `try_open_socket`, but throws if the address is taken.
inline auto open_socket(int type, const endpoint &local) -> int {
    const auto fd = try_open_socket(type, local);
    if (fd < 0)
        throw std::runtime_error("cannot open a socket on " + to_text(local));
    return fd;
}

inline auto send_datagram(int fd, const endpoint &to, const std::string &bytes)
    -> void {
    const auto raw = to_sockaddr(to);
    sendto(fd, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr *>(&raw), sizeof raw);
}

} // namespace review
