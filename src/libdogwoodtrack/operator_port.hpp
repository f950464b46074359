#pragma once

#include <memory>
#include <thread>

#include "control_loop.hpp"

namespace dogwoodtrack {

/// HTTP server for operators: JSON for the command-line tool, and metrics in
/// the Prometheus text format. With fault injection enabled it also accepts
/// POST /fault.
class operator_port {
public:
    /// Starts to listen on `control.options.operators`. Fails with
    /// `error_kind::socket_failed`. Precondition: `control` outlives the
    /// returned object.
    static auto open(control_context &control)
        -> result<std::unique_ptr<operator_port>>;

    /// Stops listening and waits for pending requests. Precondition: the
    /// control thread still runs tasks.
    ~operator_port();

private:
    struct state;
    explicit operator_port(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack
