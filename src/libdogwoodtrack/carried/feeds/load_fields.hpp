#pragma once

#include "carried/feeds/peer_fields.hpp"

namespace dogwoodtrack::carried::fields {

// Field numbers of the messages about load, as in proto/carried.proto.
enum class load_report_field : protozero::pbf_tag_type {
    sequence = 1,
    interval_ms = 2,
    part = 3,
    service = 4,
    upstream = 5,
    unanswered = 6
};
enum class priority_load_field : protozero::pbf_tag_type {
    openings = 1,
    admitted = 2,
    requests = 3,
    priority = 4
};
enum class service_load_field : protozero::pbf_tag_type {
    service = 1,
    priority = 2,
    in_flight = 3,
    answers = 4,
    rejections = 5,
    service_ms = 6
};
enum class upstream_load_field : protozero::pbf_tag_type {
    code = 1,
    in_flight = 2,
    answers = 3,
    rejections = 4,
    service_ms = 5
};
enum class unanswered_field : protozero::pbf_tag_type { code = 1, count = 2 };
enum class load_plan_field : protozero::pbf_tag_type {
    sequence = 1,
    service = 2
};
enum class service_plan_field : protozero::pbf_tag_type {
    service = 1,
    admit = 2,
    spill = 3,
    upstream = 4,
    limit = 5,
    in_flight = 6,
    demand = 7
};
enum class spill_field : protozero::pbf_tag_type {
    failure_domain = 1,
    share = 2
};
enum class upstream_plan_field : protozero::pbf_tag_type {
    code = 1,
    speed = 2,
    limit = 3
};
enum class domain_loads_field : protozero::pbf_tag_type {
    sequence = 1,
    sent_us = 2,
    echo_us = 3,
    held_us = 4,
    load = 5
};
enum class domain_load_field : protozero::pbf_tag_type {
    service = 1,
    failure_domain = 2,
    limit = 3,
    in_flight = 4,
    demand = 5,
    service_ms = 6
};

auto write_body(builder<envelope_field> &envelope,
                const load_report_message &it) -> void;
auto write_body(builder<envelope_field> &envelope, const load_plan &it) -> void;
auto write_body(builder<envelope_field> &envelope,
                const domain_loads_message &it) -> void;

/// Decode the messages about load. Malformed fields throw
/// `protozero::exception`, which `decode_peer_message` catches. Quantities and
/// shares that are out of range are brought into range. `read_load_report`
/// returns nothing if the number of the part is out of range. Thread safe.
auto read_load_report(reader<load_report_field> in)
    -> std::optional<peer_message>;
auto read_load_plan(reader<load_plan_field> in) -> load_plan;
auto read_domain_loads(reader<domain_loads_field> in) -> domain_loads_message;

} // namespace dogwoodtrack::carried::fields
