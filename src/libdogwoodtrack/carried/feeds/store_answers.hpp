#pragma once

#include "carried/blackboard.hpp"

namespace dogwoodtrack::carried {

/// Applies an answer of the store and forwards state that is new to this
/// balancer to a few peers.
auto on_store_answer(blackboard &board, const store_answer &answer,
                     time_point now, std::vector<outgoing_message> &out)
    -> void;

} // namespace dogwoodtrack::carried
