#include "dogwoodtrack/link.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sockets.hpp"

namespace dogwoodtrack {

namespace {

constexpr int socket_buffer_bytes = 8 << 20;

auto from_sockaddr(const sockaddr_in &address) -> endpoint {
    return {.address = ntohl(address.sin_addr.s_addr),
            .port = ntohs(address.sin_port)};
}

auto socket_error(const char *call, const endpoint &local) -> error {
    return {error_kind::socket_failed, std::string(call) + " on " +
                                           to_string(local) + ": " +
                                           std::strerror(errno)};
}

} // namespace

struct link::state {
    int fd = -1;
    std::vector<packet_buffer> received{link_batch};
    std::vector<mmsghdr> receive_headers{link_batch};
    std::vector<iovec> receive_vectors{link_batch};
    std::vector<sockaddr_in> sources{link_batch};
    std::vector<mmsghdr> send_headers{link_batch};
    std::vector<iovec> send_vectors{link_batch};
    std::vector<sockaddr_in> destinations{link_batch};
    std::vector<packet_buffer> copies{link_batch};
    std::size_t queued = 0;
    std::uint64_t send_errors = 0;

    ~state() {
        if (fd >= 0)
            ::close(fd);
    }
};

link::link(std::unique_ptr<state> s) : state_(std::move(s)) {}
link::link(link &&) noexcept = default;
auto link::operator=(link &&) noexcept -> link & = default;
link::~link() = default;

auto link::open(const endpoint &local, bool shared) -> result<link> {
    auto s = std::make_unique<state>();
    s->fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (s->fd < 0)
        return socket_error("socket", local);
    const int enabled = 1;
    if (shared)
        ::setsockopt(s->fd, SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof enabled);
    ::setsockopt(s->fd, SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes,
                 sizeof socket_buffer_bytes);
    ::setsockopt(s->fd, SOL_SOCKET, SO_RCVBUFFORCE, &socket_buffer_bytes,
                 sizeof socket_buffer_bytes);
    const auto address = socket_address(local);
    if (::bind(s->fd, reinterpret_cast<const sockaddr *>(&address),
               sizeof address) != 0)
        return socket_error("bind", local);
    for (std::size_t i = 0; i < link_batch; ++i) {
        s->receive_vectors[i] = {.iov_base = s->received[i].bytes.data() +
                                             packet_headroom,
                                 .iov_len = packet_limit};
        auto &header = s->receive_headers[i].msg_hdr;
        header.msg_iov = &s->receive_vectors[i];
        header.msg_iovlen = 1;
        auto &out = s->send_headers[i].msg_hdr;
        out.msg_iov = &s->send_vectors[i];
        out.msg_iovlen = 1;
        out.msg_name = &s->destinations[i];
        out.msg_namelen = sizeof(sockaddr_in);
    }
    return link(std::move(s));
}

auto link::receive(milliseconds timeout) -> std::span<packet_buffer> {
    auto &s = *state_;
    for (std::size_t i = 0; i < link_batch; ++i) {
        auto &header = s.receive_headers[i].msg_hdr;
        header.msg_name = &s.sources[i];
        header.msg_namelen = sizeof(sockaddr_in);
    }
    auto n = ::recvmmsg(s.fd, s.receive_headers.data(), link_batch,
                        MSG_DONTWAIT, nullptr);
    if (n < 0 && timeout.count() > 0) {
        pollfd poll_request{.fd = s.fd, .events = POLLIN, .revents = 0};
        if (::poll(&poll_request, 1, static_cast<int>(timeout.count())) > 0)
            n = ::recvmmsg(s.fd, s.receive_headers.data(), link_batch,
                           MSG_DONTWAIT, nullptr);
    }
    if (n < 0)
        return {};
    for (int i = 0; i < n; ++i) {
        s.received[i].offset = packet_headroom;
        s.received[i].size = s.receive_headers[i].msg_len;
    }
    return {s.received.data(), static_cast<std::size_t>(n)};
}

auto link::source_of(std::size_t index) const -> endpoint {
    return from_sockaddr(state_->sources[index]);
}

auto link::send(const endpoint &to, std::span<const std::uint8_t> outer)
    -> void {
    auto &s = *state_;
    s.destinations[s.queued] = socket_address(to);
    s.send_vectors[s.queued] = {.iov_base =
                                    const_cast<std::uint8_t *>(outer.data()),
                                .iov_len = outer.size()};
    if (++s.queued == link_batch)
        flush();
}

auto link::send_copy(const endpoint &to, std::span<const std::uint8_t> outer)
    -> void {
    auto &s = *state_;
    auto &copy = s.copies[s.queued];
    std::memcpy(copy.bytes.data(), outer.data(), outer.size());
    send(to, {copy.bytes.data(), outer.size()});
}

auto link::flush() -> void {
    auto &s = *state_;
    std::size_t processed = 0;
    while (processed < s.queued) {
        const auto n =
            ::sendmmsg(s.fd, s.send_headers.data() + processed,
                       static_cast<unsigned>(s.queued - processed), 0);
        if (n <= 0) {
            // sendmmsg fails on the first packet it is given, so that one is
            // skipped.
            ++s.send_errors;
            ++processed;
            continue;
        }
        processed += static_cast<std::size_t>(n);
    }
    s.queued = 0;
}

auto link::send_failures() const -> std::uint64_t {
    return state_->send_errors;
}

auto link::local() const -> endpoint {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(state_->fd, reinterpret_cast<sockaddr *>(&address), &size);
    return from_sockaddr(address);
}

} // namespace dogwoodtrack
