#pragma once

#include <string>

#include "carried/balancer.hpp"
#include "dogwoodtrack/event_log.hpp"

namespace dogwoodtrack {

/// All settings of the process, validated.
struct carried_settings {
    carried::balancer_options balancer;
    endpoint ready; ///< serves readiness checks (HTTP)
    endpoint store; ///< the platform's store (HTTP)
    severity min_severity = severity::info;
    std::string file; ///< settings file; empty if there is none
    /// The settings in effect, in the format of a settings file; set only with
    /// `check_only`.
    std::string effective_settings;
    bool check_only = false; ///< print the settings in effect and exit
};

/// Reads flags, environment variables and the settings file, in this order of
/// precedence. Fails with `error_kind::bad_setting` or
/// `error_kind::bad_endpoint`. `--help` prints the help and ends the process.
auto read_settings(int argc, char **argv) -> result<carried_settings>;

/// Detects changes of the settings file by the modification time and size of
/// the file. Not thread safe.
class settings_file_watch {
public:
    explicit settings_file_watch(std::string file);

    /// Returns whether the file has changed since the last call of this
    /// function, or since construction.
    auto changed() -> bool;

private:
    std::string file_;
    std::int64_t modified_ns_ = 0;
    std::int64_t size_ = 0;
};

} // namespace dogwoodtrack
