#pragma once

#include <fmt/format.h>

#include "carried/flows/steering.hpp"

namespace dogwoodtrack::carried {

/// Writes the metrics of admission as Prometheus text: the plan of each service
/// in force, the number of queued openings, and the outcomes by reason and
/// priority. If admission is disabled, writes only the fractions of the plans.
auto write_admission(fmt::memory_buffer &out, const steering_state &state,
                     time_point now) -> void;

/// Logs and removes `admission_state::changes`.
auto log_admission_changes(steering_state &state, time_point now) -> void;

} // namespace dogwoodtrack::carried
