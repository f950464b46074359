#pragma once

#include <boost/unordered/unordered_flat_map.hpp>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::carried {

/// Recent openings and rejections of one caller address.
struct caller_record {
    std::uint32_t openings = 0;          ///< in the current window
    std::uint32_t previous_openings = 0; ///< in the previous window
    /// Rejections that the caller has not followed by an opening.
    std::uint32_t unreturned = 0;
    time_point last_rejected{};
};

/// Callers seen while openings are limited, at most `limit`. Callers beyond
/// that are treated as ordinary. Not thread safe.
struct caller_history {
    boost::unordered_flat_map<std::uint32_t, caller_record> all; ///< by address
    std::size_t limit = 1'024;
    std::uint32_t previous_total = 0;   ///< openings in the previous window
    std::uint32_t previous_callers = 0; ///< callers in the previous window
    time_point window_began{};
};

/// How an opening compares with those of other callers.
struct caller_standing {
    /// The opening follows a recent rejection of the same caller address: as
    /// many openings count as returning as were rejected.
    bool returning = false;
    /// Part of an ordinary opening's chance, from 0 to 1; below 1 for callers
    /// that open far more flows than the others.
    float weight = 1;
};

/// Records an opening of the caller with this address.
auto record_caller_opening(caller_history &callers, std::uint32_t address,
                           time_point now) -> caller_standing;

/// Records that an opening of this caller was rejected.
auto record_caller_rejection(caller_history &callers, std::uint32_t address,
                             time_point now) -> void;

} // namespace dogwoodtrack::carried
