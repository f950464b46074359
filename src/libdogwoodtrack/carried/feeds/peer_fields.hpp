#pragma once

#include <algorithm>

#include <protozero/exception.hpp>
// Makes protozero throw an exception in every build if a field has an
// unexpected wire type. By default it only asserts, and only in debug builds.
#define protozero_assert(condition)                                            \
    do {                                                                       \
        if (!(condition))                                                      \
            throw protozero::unknown_pbf_wire_type_exception{};                \
    } while (false)
#include <protozero/pbf_builder.hpp>
#include <protozero/pbf_message.hpp>

#include "carried/feeds/peer_messages.hpp"

namespace dogwoodtrack::carried::fields {

// Field numbers, as in proto/carried.proto.
enum class envelope_field : protozero::pbf_tag_type {
    digest = 1,
    pull = 2,
    records = 3,
    routes = 4,
    outcomes = 5,
    judgements = 6,
    probe = 7,
    evacuations = 8,
    load_report = 9,
    load_plan = 10,
    domain_loads = 11,
    outline = 12,
    block_request = 13,
    block = 14
};
enum class member_field : protozero::pbf_tag_type {
    address = 1,
    failure_domain = 2,
    capacity = 3,
    leaving = 4,
    age_ms = 5
};
enum class version_field : protozero::pbf_tag_type {
    content = 1,
    as_of = 2,
    age_ms = 3,
    complete = 4,
    removals_since = 5,
    content_era = 6,
    as_of_era = 7,
    removals_since_era = 8,
    asked_at_ms = 9
};
enum class digest_field : protozero::pbf_tag_type {
    sender = 1,
    version = 2,
    member = 3,
    wants_state = 4,
    limit_binds = 6,
    asked_at_ms = 7
};
enum class pull_field : protozero::pbf_tag_type {
    what = 1,
    since = 2,
    since_era = 3,
    asked_at_ms = 4
};
enum class record_field : protozero::pbf_tag_type {
    id = 1,
    delivery_id = 2,
    born = 3,
    address = 4,
    port = 5,
    service = 6,
    failure_domain = 7,
    slots = 8,
    state = 9,
    cold_ms = 10,
    revision = 11,
    changed_at = 12,
    revision_era = 13,
    changed_at_era = 14,
    written_in_era = 15
};
enum class batch_field : protozero::pbf_tag_type {
    from = 1,
    version = 2,
    part = 3,
    parts = 4,
    item = 5,
    number = 6,
    revision = 7,
    idle_ms = 8,
    from_era = 9,
    revision_era = 10
};
enum class outline_field : protozero::pbf_tag_type {
    version = 1,
    number = 2,
    revision = 3,
    revision_era = 4,
    idle_ms = 5,
    name = 6
};
enum class block_field : protozero::pbf_tag_type {
    kind = 1,
    content = 2,
    name = 3
};
enum class route_field : protozero::pbf_tag_type {
    address = 1,
    port = 2,
    kind = 3,
    priority = 4,
    target_ms = 5,
    timeout_ms = 6,
    service = 7
};
enum class probe_field : protozero::pbf_tag_type {
    wants_answer = 1,
    serves = 2,
    withdrawn = 3,
    unheard_domain = 4
};
enum class list_field : protozero::pbf_tag_type { item = 1 };
enum class outcome_field : protozero::pbf_tag_type {
    code = 1,
    failures = 2,
    answers = 3
};
enum class judgement_field : protozero::pbf_tag_type {
    code = 1,
    left_ms = 2,
    ejections = 3
};
enum class evacuations_field : protozero::pbf_tag_type {
    version = 1,
    part = 2,
    parts = 3,
    domain = 4
};
enum class evacuated_field : protozero::pbf_tag_type { domain = 1, name = 2 };
enum class weight_field : protozero::pbf_tag_type {
    service = 1,
    weight = 2,
    cold_start_ms = 3,
    cold_per_s = 4
};

template <typename Field>
using builder = protozero::pbf_builder<Field>;
template <typename Field>
using reader = protozero::pbf_message<Field>;

} // namespace dogwoodtrack::carried::fields
