#pragma once

#include <netinet/in.h>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// Converts an endpoint to a socket address. Thread safe.
auto socket_address(const endpoint &it) -> sockaddr_in;

/// Binds a socket. Returns false on failure, with the reason in errno. Thread
/// safe.
auto bind_to(int fd, const endpoint &local) -> bool;

/// Starts to connect a non-blocking socket. Returns false on failure, with the
/// reason in errno. Thread safe.
auto start_connecting(int fd, const endpoint &to) -> bool;

/// Sends one datagram. Errors are ignored, as datagrams may be lost on the
/// network in any case. Thread safe.
auto send_datagram(int fd, const endpoint &to, const void *data,
                   std::size_t size) -> void;

} // namespace dogwoodtrack
