#include "sockets.hpp"

#include <cerrno>
#include <sys/socket.h>

namespace dogwoodtrack {

auto socket_address(const endpoint &value) -> sockaddr_in {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(value.port);
    address.sin_addr.s_addr = htonl(value.address);
    return address;
}

auto bind_to(int fd, const endpoint &local) -> bool {
    const auto address = socket_address(local);
    return bind(fd, reinterpret_cast<const sockaddr *>(&address),
                sizeof address) == 0;
}

auto start_connecting(int fd, const endpoint &to) -> bool {
    const auto address = socket_address(to);
    return connect(fd, reinterpret_cast<const sockaddr *>(&address),
                   sizeof address) == 0 ||
           errno == EINPROGRESS;
}

auto send_datagram(int fd, const endpoint &to, const void *data,
                   std::size_t size) -> void {
    const auto address = socket_address(to);
    sendto(fd, data, size, 0, reinterpret_cast<const sockaddr *>(&address),
           sizeof address);
}

} // namespace dogwoodtrack
