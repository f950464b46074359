#pragma once

#include "carried/blackboard.hpp"
#include "carried/feeds/peer_messages.hpp"

namespace dogwoodtrack::carried {

/// Exchange of load within and between failure domains. Each balancer reports
/// its load to the load coordinator of its domain, which it elects. The
/// coordinator sends plans to the balancers of its domain, and the load of the
/// domain to the coordinators of the others. Nothing is sent, and nothing
/// received is used, unless the setting `load-plans` is on.

/// Time between two reports, and between two plans while a limit binds.
inline constexpr milliseconds report_interval{250};
/// Time between two plans while none limits or redirects new flows.
inline constexpr milliseconds idle_plan_interval{1'000};

/// Turns the exchange on or off.
auto enable_load_exchange(blackboard &board, bool enabled) -> void;

/// Does what is due: reports, plans, sends loads to other domains and updates
/// the plans that this balancer follows. Cheap if nothing is due, see
/// `load_exchange_state::next_step`.
auto exchange_load(blackboard &board, time_point now,
                   std::vector<outgoing_message> &out) -> void;

/// Handles messages of the exchange. `from` is the sender's address.
auto on_load_report(blackboard &board, std::uint32_t from,
                    const load_report_message &message, time_point now) -> void;
auto on_load_plan(blackboard &board, std::uint32_t from, const load_plan &plan,
                  time_point now) -> void;
auto on_domain_loads(blackboard &board, std::uint32_t from,
                     const domain_loads_message &message, time_point now)
    -> void;

/// Records what the digest of a peer says about limits in its domain.
auto on_limit_flag(blackboard &board, const fleet_member &sender, bool binds,
                   time_point now) -> void;

} // namespace dogwoodtrack::carried
