#pragma once

#include <netinet/in.h>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// The kernel's form of an endpoint. Thread safe.
auto socket_address(const endpoint &it) -> sockaddr_in;

/// Binds a socket; errno tells why it failed. Thread safe.
auto bind_to(int fd, const endpoint &local) -> bool;

/// Starts to connect a non-blocking socket; errno tells why it failed.
/// Thread safe.
auto start_connecting(int fd, const endpoint &to) -> bool;

/// Sends one datagram. One that the kernel refuses is lost like one on the
/// way. Thread safe.
auto send_datagram(int fd, const endpoint &to, const void *data,
                   std::size_t size) -> void;

} // namespace dogwoodtrack
