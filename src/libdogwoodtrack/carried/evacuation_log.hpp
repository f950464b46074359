#pragma once

#include "carried/blackboard.hpp"

namespace dogwoodtrack::carried {

/// Logs `evacuation_changed` if the set of evacuated failure domains has
/// changed since `evacuation_state::changes` was `before`. `cause` is the
/// outcome of a store call or the kind of a peer's message, and `from` the
/// address of the peer, 0 for the store.
auto log_evacuation_change(const blackboard &board, std::uint64_t before,
                           std::string_view cause, std::uint32_t from,
                           time_point now) -> void;

/// Logs `evacuation_unknown` for each evacuated failure domain that
/// `take_unknown_evacuations` returns.
auto log_unknown_evacuations(blackboard &board, time_point now) -> void;

/// Logs `all_upstreams_evacuated` if this is the first opening packet since the
/// last change of the set that is refused because of evacuations. `service` is
/// the address that the packet was sent to.
auto log_evacuation_refusal(blackboard &board, const endpoint &service) -> void;

} // namespace dogwoodtrack::carried
