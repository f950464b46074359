#include "carried/http_responder.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

#include "sockets.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Largest number of open connections; at the limit the oldest one is closed to
/// admit a new one.
constexpr std::size_t max_connections = 16;
constexpr int backlog = 64;
constexpr unsigned status_bad_request = 400;

auto reason_phrase(unsigned status) -> std::string_view {
    constexpr unsigned ok = 200;
    constexpr unsigned not_found = 404;
    constexpr unsigned unavailable = 503;
    switch (status) {
    case ok:
        return "OK";
    case not_found:
        return "Not Found";
    case unavailable:
        return "Service Unavailable";
    default:
        return "Bad Request";
    }
}

// Path of the request line; empty if the request is not a GET.
auto request_path(std::string_view request) -> std::string_view {
    constexpr std::string_view method = "GET ";
    if (request.substr(0, method.size()) != method)
        return {};
    request.remove_prefix(method.size());
    return request.substr(0, request.find(' '));
}

auto to_http(const http_reply &reply) -> std::string {
    return fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n{}",
        reply.status, reason_phrase(reply.status), reply.type,
        reply.body.size(), reply.body);
}

} // namespace

auto http_responder::open(const endpoint &local, event_loop &loop,
                          handler on_get)
    -> result<std::unique_ptr<http_responder>> {
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (fd < 0 || !bind_to(fd, local) || listen(fd, backlog) < 0) {
        const error why{error_kind::socket_failed,
                        fmt::format("cannot listen on {}: {}", to_string(local),
                                    std::strerror(errno))};
        if (fd >= 0)
            close(fd);
        return why;
    }
    return std::make_unique<http_responder>(fd, loop, std::move(on_get));
}

http_responder::http_responder(int fd, event_loop &loop, handler on_get)
    : listener_(fd), loop_(loop), on_get_(std::move(on_get)) {
    loop_.add(listener_, POLLIN, [this](short) { accept_connections(); });
}

http_responder::~http_responder() {
    while (!connections_.empty())
        close_connection(connections_.front());
    loop_.remove(listener_);
    close(listener_);
}

auto http_responder::accept_connections() -> void {
    while (true) {
        const auto fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
        if (fd < 0)
            return;
        if (connections_.size() >= max_connections)
            close_connection(connections_.front());
        connections_.push_back(fd);
        loop_.add(fd, POLLIN, [this, fd](short) { handle_request(fd); });
    }
}

// A request without a body fits into one TCP segment, so a single read gets all
// of it. Received data that does not contain the end of a header is ignored.
auto http_responder::handle_request(int fd) -> void {
    std::array<char, 2'048> buf;
    const auto n = recv(fd, buf.data(), buf.size(), 0);
    if (n < 0 && errno == EAGAIN)
        return;
    if (n <= 0)
        return close_connection(fd);
    const std::string_view text(buf.data(), static_cast<std::size_t>(n));
    if (text.find("\r\n\r\n") == std::string_view::npos)
        return;
    const auto path = request_path(text);
    const auto reply =
        to_http(path.empty() ? http_reply{.status = status_bad_request}
                             : on_get_(path));
    if (send(fd, reply.data(), reply.size(), MSG_NOSIGNAL) < 0)
        close_connection(fd);
}

auto http_responder::close_connection(int fd) -> void {
    loop_.remove(fd);
    close(fd);
    std::erase(connections_, fd);
}

} // namespace dogwoodtrack::carried
