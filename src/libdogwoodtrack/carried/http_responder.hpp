#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "dogwoodtrack/error.hpp"
#include "event_loop.hpp"

namespace dogwoodtrack::carried {

/// An answer to one HTTP request.
struct http_reply {
    unsigned status = 200;
    std::string body;
    std::string_view type = "text/plain";
};

/// Answers HTTP/1.1 GET requests without bodies on one endpoint, on the
/// thread of the event loop. Lives until it is destroyed.
class http_responder {
public:
    using handler = std::function<http_reply(std::string_view path)>;

    /// Fails with `error_kind::socket_failed`.
    static auto open(const endpoint &local, event_loop &loop, handler answer)
        -> result<std::unique_ptr<http_responder>>;

    http_responder(int fd, event_loop &loop, handler answer);
    http_responder(const http_responder &) = delete;
    auto operator=(const http_responder &) -> http_responder & = delete;
    ~http_responder();

private:
    auto accept_some() -> void;
    auto on_request(int fd) -> void;
    auto drop(int fd) -> void;

    int listener_;
    event_loop &loop_;
    handler answer_;
    std::vector<int> open_;
};

} // namespace dogwoodtrack::carried
