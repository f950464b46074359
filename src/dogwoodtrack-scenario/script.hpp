#pragma once

#include "session.hpp"

namespace dogwoodtrack::scenario {

/// The result of running a script.
struct script_outcome {
    bool passed = false; ///< whether there are no failures
    /// Messages, each with the line of the Lua code where the failure occurred.
    std::vector<std::string> failures;
    json report;
    json timeline;
};

/// Runs the Lua script at `path` with a session of its own. An error that ends
/// the script is recorded as a failure. Throws `scenario_error` if the fleet
/// can't be opened.
auto run_script(const std::string &path, const session_options &options)
    -> script_outcome;

} // namespace dogwoodtrack::scenario
