#pragma once

#include "board.hpp"

namespace dogwoodtrack::carried::test {

inline const time_point start{std::chrono::hours{1}};
inline const service_key bookings = hash_label("bookings");
inline const endpoint booking_address{.address = 0xc6120001, .port = 443};

/// A ready upstream with two slots in failure domain 1.
inline auto make_record(const std::string &id, std::uint64_t revision,
                        std::uint32_t failure_domain = 1) -> upstream_record {
    return {.id = id,
            .delivery_id = hash_label(id),
            .born = 1'000,
            .address = {.address = 0x0a800000 + hash_name(id) % 60'000,
                        .port = 8080},
            .service = bookings,
            .failure_domain = failure_domain,
            .slots = 2,
            .state = upstream_state::ready,
            .revision = revision,
            .changed_at = revision};
}

inline auto make_configuration(std::uint64_t revision)
    -> std::shared_ptr<configuration> {
    auto it = std::make_shared<configuration>();
    it->version = revision;
    it->revision = revision;
    it->routes.push_back({.address = booking_address,
                          .kind = request_kind::non_idempotent,
                          .services = {{.service = bookings}}});
    index_routes(*it);
    return it;
}

/// A board in failure domain 1 that has just started.
inline auto make_board(std::uint32_t address) -> board {
    board it;
    it.started = start;
    it.members.self = {.address = address, .failure_domain = 1, .heard = start};
    it.steering.position.failure_domain = 1;
    it.apply_within = milliseconds{3'000};
    return it;
}

inline auto list_of_upstreams(std::vector<upstream_record> records,
                              std::uint64_t as_of) -> store_answer {
    return {.what = feed::upstreams,
            .outcome = store_outcome::listed,
            .as_of = as_of,
            .records = std::move(records)};
}

inline auto list_of_configuration(std::uint64_t revision, std::uint64_t as_of)
    -> store_answer {
    return {.what = feed::configuration,
            .outcome = store_outcome::listed,
            .as_of = as_of,
            .settings = make_configuration(revision)};
}

inline auto failed(feed what) -> store_answer {
    return {.what = what, .outcome = store_outcome::failed};
}

inline auto opening(std::uint16_t port, std::uint32_t copy = 0) -> packet_head {
    return {.ends = {.caller = {.address = 0x64400007, .port = port},
                     .service = booking_address},
            .opens = true,
            .copy = copy};
}

/// A later packet of the flow that `opening(port)` opened.
inline auto later(std::uint16_t port, std::uint32_t binding,
                  std::uint16_t payload = 0, std::uint32_t acknowledged = 500)
    -> packet_head {
    auto it = opening(port);
    it.opens = false;
    it.binding = binding;
    it.payload = payload;
    it.acknowledged = acknowledged;
    return it;
}

} // namespace dogwoodtrack::carried::test
