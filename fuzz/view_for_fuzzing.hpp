#pragma once

#include <limits>

#include "dogwoodtrack/forwarding.hpp"

namespace dogwoodtrack {

/// State of a balancer that owns one service over TCP and UDP. It is small and
/// the service is at 1.1.1.1:257, so that short inputs reach every branch.
struct forwarding_fixture {
    placement_lease lease;
    packet_counters counters;
    time_point now{std::chrono::hours{1}};
    std::unique_ptr<packet_state> state;

    forwarding_fixture() {
        lease.valid_until = std::numeric_limits<time_point::rep>::max();
        state = std::make_unique<packet_state>(
            forwarding_options{.flow_capacity = 64}, now, lease, counters);
        auto view = std::make_shared<routing_view>();
        view->self = 1;
        view->failure_domain = 2;
        const endpoint service{.address = 0x01010101, .port = 257};
        const endpoint upstream{.address = 0x02020202, .port = 514};
        for (const auto protocol : {transport::tcp, transport::udp}) {
            const auto index =
                static_cast<std::uint32_t>(view->services.size());
            view->by_service[route_key(service, protocol)] = index;
            view->by_upstream[route_key(upstream, protocol)] = index;
            view->upstreams.push_back(
                {.address = upstream,
                 .id = 9,
                 .service = index,
                 .failure_domain = 2,
                 .limit = 20,
                 .load = std::make_shared<upstream_load>()});
            view->services.push_back(
                {.id = 3,
                 .address = service,
                 .protocol = protocol,
                 .idle_timeout = seconds{1},
                 .domains = {{.failure_domain = 2,
                              .capacity = 1,
                              .reachable = true,
                              .load = std::make_shared<domain_load>(),
                              .upstreams = {index},
                              .owner = 1}}});
        }
        state->view = std::move(view);
    }
};

} // namespace dogwoodtrack
