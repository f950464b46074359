#pragma once

#include "carried/blackboard.hpp"

namespace dogwoodtrack::carried::test {

inline const time_point start{std::chrono::hours{1}};
inline const service_key bookings = hash_name64("bookings");
inline const endpoint booking_address{.address = 0xc6120001, .port = 443};

inline auto make_revision(std::uint64_t number, std::uint64_t era = 0)
    -> store_revision {
    return {.era = era, .number = number};
}

/// Record of a ready upstream with two slots.
inline auto make_record(const std::string &id, std::uint64_t revision,
                        std::uint32_t failure_domain = 1) -> upstream_record {
    return {.id = id,
            .delivery_id = hash_name64(id),
            .born = 1'000,
            .address = {.address = 0x0a800000 + hash_name(id) % 60'000,
                        .port = 8080},
            .service = bookings,
            .failure_domain = failure_domain,
            .slots = 2,
            .state = upstream_state::ready,
            .revision = make_revision(revision),
            .changed_at = make_revision(revision)};
}

inline auto make_configuration(std::uint64_t revision)
    -> std::shared_ptr<configuration> {
    auto it = std::make_shared<configuration>();
    it->version = revision;
    it->revision = make_revision(revision);
    it->routes.push_back({.address = booking_address,
                          .kind = request_kind::non_idempotent,
                          .services = {{.service = bookings}}});
    sort_routes(*it);
    return it;
}

/// State of a balancer in failure domain 1 that has just started.
inline auto make_blackboard(std::uint32_t address) -> blackboard {
    blackboard it;
    it.started = start;
    it.members.self = {
        .address = address, .failure_domain = 1, .last_heard = start};
    it.steering.position.failure_domain = 1;
    it.apply_within = milliseconds{3'000};
    return it;
}

/// Store answer with a complete list: these upstreams, as of this revision.
inline auto make_upstream_list(std::vector<upstream_record> records,
                               std::uint64_t as_of) -> store_answer {
    return {.what = feed::upstreams,
            .outcome = store_outcome::listed,
            .as_of = make_revision(as_of),
            .records = std::move(records)};
}

/// Store answer with the configuration of this revision.
inline auto make_configuration_list(std::uint64_t revision, std::uint64_t as_of)
    -> store_answer {
    return {.what = feed::configuration,
            .outcome = store_outcome::listed,
            .as_of = make_revision(as_of),
            .latest_configuration = make_configuration(revision)};
}

inline auto make_failed_answer(feed what) -> store_answer {
    return {.what = what, .outcome = store_outcome::failed};
}

inline auto opening_packet(std::uint16_t port, std::uint32_t retransmission = 0)
    -> packet_header {
    return {.endpoints = {.caller = {.address = 0x64400007, .port = port},
                          .service = booking_address},
            .opens = true,
            .retransmission = retransmission};
}

/// A later packet of the flow opened by `opening_packet(port)`.
inline auto later_packet(std::uint16_t port, std::uint32_t binding,
                         std::uint16_t payload = 0,
                         std::uint32_t acknowledged = 500) -> packet_header {
    auto it = opening_packet(port);
    it.opens = false;
    it.binding = binding;
    it.payload = payload;
    it.acknowledged = acknowledged;
    return it;
}

/// Makes `plan` the coordinator's latest plan, received at `received`.
inline auto use_plan(load_plan_state &plans, service_plan plan,
                     time_point received) -> void {
    plans.enabled = true;
    plans.received = received;
    plans.services.push_back({.plan = std::move(plan), .received = received});
}

} // namespace dogwoodtrack::carried::test
