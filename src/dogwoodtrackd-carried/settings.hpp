#pragma once

#include <string>

#include "carried/balancer.hpp"
#include "dogwoodtrack/event_log.hpp"

namespace dogwoodtrack {

/// Everything that can be set, checked.
struct carried_settings {
    carried::balancer_options balancer;
    endpoint ready; ///< readiness checks (HTTP)
    endpoint store;
    severity least_logged = severity::info;
    std::string file;  ///< empty if there is none
    std::string shown; ///< all settings in the form of a settings file
    bool only_check = false;
};

/// Reads flags, environment and the settings file, in this order of
/// precedence. Fails with `error_kind::bad_setting` or
/// `error_kind::bad_endpoint`; a request for help ends the process.
auto read_settings(int argc, char **argv) -> result<carried_settings>;

/// Whether the settings file changed since the last call, told by its time
/// and size.
class settings_watch {
public:
    explicit settings_watch(std::string file);
    auto changed() -> bool;

private:
    std::string file_;
    std::int64_t time_ns_ = 0;
    std::int64_t size_ = 0;
};

} // namespace dogwoodtrack
