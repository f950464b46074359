#pragma once

#include "session.hpp"

namespace dogwoodtrack::scenario {

/// The outcome of a script.
struct script_outcome {
    bool passed = false;
    std::vector<std::string> failures; ///< each with the line of the script
    json report;
    json timeline;
};

/// Runs the Lua script at `path` with a session of its own. Errors of the
/// script are among the failures, each with its line. Throws
/// `scenario_error` if the fleet can't be opened.
auto run_script(const std::string &path, const session_options &options)
    -> script_outcome;

} // namespace dogwoodtrack::scenario
