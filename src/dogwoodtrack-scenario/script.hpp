#pragma once

#include "session.hpp"

namespace dogwoodtrack::scenario {

/// How a script ended.
struct script_outcome {
    bool passed = false;
    std::vector<std::string> failures; ///< each with its line
    json report;
    json timeline;
};

/// Runs the Lua script at `path`. Errors name the script's line.
auto run_script(const std::string &path, const session_options &options)
    -> script_outcome;

} // namespace dogwoodtrack::scenario
