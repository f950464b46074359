#include "http_responder.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

#include "sockets.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Connections kept at once; the oldest go first.
constexpr std::size_t connections_max = 16;
constexpr int backlog = 64;
constexpr unsigned status_bad_request = 400;

auto reason_of(unsigned status) -> std::string_view {
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

// Path of a request line, or nothing if it is no GET.
auto path_of(std::string_view request) -> std::string_view {
    constexpr std::string_view method = "GET ";
    if (request.substr(0, method.size()) != method)
        return {};
    request.remove_prefix(method.size());
    return request.substr(0, request.find(' '));
}

auto to_text(const http_reply &reply) -> std::string {
    return fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n{}",
        reply.status, reason_of(reply.status), reply.type, reply.body.size(),
        reply.body);
}

} // namespace

auto http_responder::open(const endpoint &local, event_loop &loop,
                          handler answer)
    -> result<std::unique_ptr<http_responder>> {
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (fd < 0 || !bind_to(fd, local) || listen(fd, backlog) < 0) {
        const error why{
            error_kind::socket_failed,
            fmt::format("{}: {}", to_string(local), std::strerror(errno))};
        if (fd >= 0)
            close(fd);
        return why;
    }
    return std::make_unique<http_responder>(fd, loop, std::move(answer));
}

http_responder::http_responder(int fd, event_loop &loop, handler answer)
    : listener_(fd), loop_(loop), answer_(std::move(answer)) {
    loop_.add(listener_, POLLIN, [this](short) { accept_some(); });
}

http_responder::~http_responder() {
    while (!open_.empty())
        drop(open_.front());
    loop_.remove(listener_);
    close(listener_);
}

auto http_responder::accept_some() -> void {
    while (true) {
        const auto fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
        if (fd < 0)
            return;
        if (open_.size() >= connections_max)
            drop(open_.front());
        open_.push_back(fd);
        loop_.add(fd, POLLIN, [this, fd](short) { on_request(fd); });
    }
}

// Requests are one small segment, so the end of their head is enough to know.
auto http_responder::on_request(int fd) -> void {
    std::array<char, 2'048> buf;
    const auto n = recv(fd, buf.data(), buf.size(), 0);
    if (n < 0 && errno == EAGAIN)
        return;
    if (n <= 0)
        return drop(fd);
    const std::string_view text(buf.data(), static_cast<std::size_t>(n));
    if (text.find("\r\n\r\n") == std::string_view::npos)
        return;
    const auto path = path_of(text);
    const auto reply =
        to_text(path.empty() ? http_reply{.status = status_bad_request}
                             : answer_(path));
    if (send(fd, reply.data(), reply.size(), MSG_NOSIGNAL) < 0)
        drop(fd);
}

auto http_responder::drop(int fd) -> void {
    loop_.remove(fd);
    close(fd);
    std::erase(open_, fd);
}

} // namespace dogwoodtrack::carried
