#pragma once

#include <memory>
#include <thread>

#include "control_loop.hpp"

namespace dogwoodtrack {

/// HTTP server for operators: JSON for the command-line tool, and metrics in
/// the Prometheus text format. With fault injection enabled it also accepts
/// POST /fault.
class operator_server {
public:
    /// Starts to listen on `control.options.operators`. Fails with
    /// `error_kind::socket_failed`. Precondition: `control` outlives the
    /// returned object.
    static auto open(control_context &control)
        -> result<std::unique_ptr<operator_server>>;

    /// Stops listening and waits for pending requests. Precondition: the
    /// control thread still runs tasks.
    ~operator_server();

private:
    struct state;
    explicit operator_server(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack
