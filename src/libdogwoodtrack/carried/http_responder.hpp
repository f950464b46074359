#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "carried/event_loop.hpp"
#include "dogwoodtrack/error.hpp"

namespace dogwoodtrack::carried {

/// Response to one HTTP request.
struct http_reply {
    unsigned status = 200;
    std::string body;
    std::string_view type = "text/plain";
};

/// Minimal HTTP/1.1 server for GET requests without bodies. Handles requests
/// on the thread of the event loop, and closes all connections when destroyed.
/// The event loop must outlive the server.
class http_responder {
public:
    using handler = std::function<http_reply(std::string_view path)>;

    /// Listens on `local` and calls `on_get` for each request. Fails with
    /// `error_kind::socket_failed`.
    static auto open(const endpoint &local, event_loop &loop, handler on_get)
        -> result<std::unique_ptr<http_responder>>;

    http_responder(int fd, event_loop &loop, handler on_get);
    http_responder(const http_responder &) = delete;
    auto operator=(const http_responder &) -> http_responder & = delete;
    ~http_responder();

private:
    auto accept_connections() -> void;
    auto handle_request(int fd) -> void;
    auto close_connection(int fd) -> void;

    int listener_;
    event_loop &loop_;
    handler on_get_;
    std::vector<int> connections_; ///< sockets, oldest first
};

} // namespace dogwoodtrack::carried
