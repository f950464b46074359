#pragma once

#include "carried/blackboard.hpp"

namespace dogwoodtrack::carried {

/// Applies an answer, if its era is believed (see `observe_store_era`),
/// and forwards state that is new to this balancer to a few peers. A watch
/// whose answer has another era than its `since` counts as
/// `store_outcome::history_gone`.
auto on_store_answer(blackboard &board, const store_answer &received,
                     time_point now, std::vector<outgoing_message> &out)
    -> void;

} // namespace dogwoodtrack::carried
