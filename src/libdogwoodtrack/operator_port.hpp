#pragma once

#include <memory>
#include <thread>

#include "control_loop.hpp"

namespace dogwoodtrack {

/// HTTP on the operators' address: JSON for the command-line tool and
/// metrics as Prometheus text. With fault injection it also takes POST
/// /fault.
class operator_port {
public:
    /// Starts to listen. Fails with `error_kind::socket_failed`.
    static auto open(control_context &control)
        -> result<std::unique_ptr<operator_port>>;

    /// Stops listening and waits for requests to end.
    ~operator_port();

private:
    struct state;
    explicit operator_port(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack
