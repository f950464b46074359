#include "carried/feeds/configuration_fields.hpp"
#include "carried/feeds/load_fields.hpp"

namespace dogwoodtrack::carried {

namespace fields {

namespace {

// Reads a time of a balancer's clock. One that no clock can show counts as
// none.
auto to_time_point(std::uint64_t ms) -> time_point {
    constexpr std::uint64_t max_ms = 1ULL << 42U;
    return ms > max_ms
               ? time_point{}
               : time_point{milliseconds{static_cast<std::int64_t>(ms)}};
}

} // namespace

auto read_version(reader<version_field> in) -> reported_version {
    reported_version it;
    while (in.next()) {
        switch (in.tag()) {
        case version_field::content:
            it.content.number = in.get_uint64();
            break;
        case version_field::content_era:
            it.content.era = in.get_uint64();
            break;
        case version_field::as_of:
            it.as_of.number = in.get_uint64();
            break;
        case version_field::as_of_era:
            it.as_of.era = in.get_uint64();
            break;
        case version_field::age_ms:
            it.age = to_milliseconds(in.get_uint64());
            break;
        case version_field::complete:
            it.complete = read_flag(in);
            break;
        case version_field::removals_since:
            it.removals_since.number = in.get_uint64();
            break;
        case version_field::removals_since_era:
            it.removals_since.era = in.get_uint64();
            break;
        case version_field::asked_at_ms:
            it.asked_at = to_time_point(in.get_uint64());
            break;
        default:
            in.skip();
        }
    }
    return it;
}

} // namespace fields

namespace {

using namespace fields;

constexpr std::uint32_t max_parts = 65'536;

auto read_member(reader<member_field> in) -> reported_member {
    reported_member it;
    while (in.next()) {
        switch (in.tag()) {
        case member_field::address:
            it.member.address = in.get_fixed32();
            break;
        case member_field::failure_domain:
            it.member.failure_domain = in.get_fixed32();
            break;
        case member_field::capacity:
            it.member.capacity = static_cast<std::uint16_t>(in.get_uint32());
            break;
        case member_field::leaving:
            it.member.leaving = read_flag(in);
            break;
        case member_field::age_ms:
            it.age = to_milliseconds(in.get_uint64());
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_state(std::uint32_t value) -> upstream_state {
    constexpr auto last = static_cast<std::uint32_t>(upstream_state::gone);
    return static_cast<upstream_state>(std::min(value, last));
}

auto read_record(reader<record_field> in) -> upstream_record {
    upstream_record it;
    while (in.next()) {
        switch (in.tag()) {
        case record_field::id:
            it.id = in.get_string();
            break;
        case record_field::delivery_id:
            it.delivery_id = in.get_uint64();
            break;
        case record_field::born:
            it.born = in.get_uint64();
            break;
        case record_field::address:
            it.address.address = in.get_fixed32();
            break;
        case record_field::port:
            it.address.port = static_cast<std::uint16_t>(in.get_uint32());
            break;
        case record_field::service:
            it.service = in.get_fixed64();
            break;
        case record_field::failure_domain:
            it.failure_domain = in.get_fixed32();
            break;
        case record_field::slots:
            it.slots = static_cast<std::uint16_t>(in.get_uint32());
            break;
        case record_field::state:
            it.state = read_state(in.get_uint32());
            break;
        case record_field::cold_ms:
            it.cold_remaining = to_milliseconds(in.get_uint64());
            break;
        case record_field::revision:
            it.revision.number = in.get_uint64();
            break;
        case record_field::revision_era:
            it.revision.era = in.get_uint64();
            break;
        case record_field::changed_at:
            it.changed_at.number = in.get_uint64();
            break;
        case record_field::changed_at_era:
            it.changed_at.era = in.get_uint64();
            break;
        case record_field::written_in_era:
            it.written_in_era = read_flag(in);
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_digest(reader<digest_field> in) -> digest_message {
    digest_message it;
    std::size_t version = 0;
    while (in.next()) {
        switch (in.tag()) {
        case digest_field::sender:
            it.sender = read_member(in.get_message()).member;
            break;
        case digest_field::version: {
            const auto reported = read_version(in.get_message());
            if (version < feed_count)
                it.versions[version++] = reported;
            break;
        }
        case digest_field::member:
            it.members.push_back(read_member(in.get_message()));
            break;
        case digest_field::wants_state:
            it.wants_state = read_flag(in);
            break;
        case digest_field::limit_binds:
            it.limit_binds = read_flag(in);
            break;
        case digest_field::asked_at_ms:
            it.asked_at = to_time_point(in.get_uint64());
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_feed(std::uint32_t value) -> feed {
    return value < feed_count ? static_cast<feed>(value) : feed::upstreams;
}

auto read_pull(reader<pull_field> in) -> pull_message {
    pull_message it;
    while (in.next()) {
        switch (in.tag()) {
        case pull_field::what:
            it.what = read_feed(in.get_uint32());
            break;
        case pull_field::since:
            it.since.number = in.get_uint64();
            break;
        case pull_field::since_era:
            it.since.era = in.get_uint64();
            break;
        case pull_field::asked_at_ms:
            it.asked_at = to_time_point(in.get_uint64());
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_records(reader<batch_field> in) -> records_message {
    records_message it;
    while (in.next()) {
        switch (in.tag()) {
        case batch_field::from:
            it.from.number = in.get_uint64();
            break;
        case batch_field::from_era:
            it.from.era = in.get_uint64();
            break;
        case batch_field::version:
            it.version = read_version(in.get_message());
            break;
        case batch_field::part:
            it.part = in.get_uint32();
            break;
        case batch_field::parts:
            it.parts = in.get_uint32();
            break;
        case batch_field::item:
            it.records.push_back(read_record(in.get_message()));
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_outcome(reader<outcome_field> in) -> reported_outcome {
    reported_outcome it;
    while (in.next()) {
        switch (in.tag()) {
        case outcome_field::code:
            it.code = in.get_fixed32();
            break;
        case outcome_field::failures:
            it.counts.failures = in.get_uint32();
            break;
        case outcome_field::answers:
            it.counts.answers = in.get_uint32();
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_judgement(reader<judgement_field> in) -> reported_ejection {
    reported_ejection it;
    while (in.next()) {
        switch (in.tag()) {
        case judgement_field::code:
            it.code = in.get_fixed32();
            break;
        case judgement_field::left_ms:
            it.status.left = to_milliseconds(in.get_uint64());
            break;
        case judgement_field::ejections:
            it.status.ejections = static_cast<std::uint8_t>(in.get_uint32());
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_probe(reader<probe_field> in) -> probe_message {
    probe_message it;
    while (in.next()) {
        switch (in.tag()) {
        case probe_field::wants_answer:
            it.wants_answer = read_flag(in);
            break;
        case probe_field::serves:
            it.serves = read_flag(in);
            break;
        case probe_field::withdrawn:
            it.withdrawn = read_flag(in);
            break;
        case probe_field::unheard_domain:
            it.unresponsive_domains.push_back(in.get_fixed32());
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_evacuated(reader<evacuated_field> in) -> evacuated_domain {
    evacuated_domain it;
    while (in.next()) {
        switch (in.tag()) {
        case evacuated_field::domain:
            it.domain = in.get_fixed32();
            break;
        case evacuated_field::name:
            it.name = in.get_string();
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_evacuations(reader<evacuations_field> in) -> evacuations_message {
    evacuations_message it;
    while (in.next()) {
        switch (in.tag()) {
        case evacuations_field::version:
            it.version = read_version(in.get_message());
            break;
        case evacuations_field::part:
            it.part = in.get_uint32();
            break;
        case evacuations_field::parts:
            it.parts = in.get_uint32();
            break;
        case evacuations_field::domain:
            it.domains.push_back(read_evacuated(in.get_message()));
            break;
        default:
            in.skip();
        }
    }
    return it;
}

template <typename Message, typename Field, typename Item>
auto read_list(reader<list_field> in, Item (*read_item)(reader<Field>))
    -> Message {
    Message it;
    while (in.next()) {
        if (in.tag() == list_field::item)
            it.items.push_back(read_item(in.get_message()));
        else
            in.skip();
    }
    return it;
}

template <typename Message>
auto validate_parts(Message message) -> std::optional<peer_message> {
    if (message.parts == 0 || message.parts > max_parts ||
        message.part >= message.parts)
        return std::nullopt;
    return message;
}

auto read_message(std::span<const char> bytes) -> std::optional<peer_message> {
    reader<envelope_field> in(bytes.data(), bytes.size());
    if (!in.next())
        return std::nullopt;
    switch (in.tag()) {
    case envelope_field::digest:
        return read_digest(in.get_message());
    case envelope_field::pull:
        return read_pull(in.get_message());
    case envelope_field::records:
        return validate_parts(read_records(in.get_message()));
    case envelope_field::routes:
        return read_routes(in.get_message());
    case envelope_field::outcomes:
        return read_list<outcomes_message>(in.get_message(), read_outcome);
    case envelope_field::judgements:
        return read_list<judgements_message>(in.get_message(), read_judgement);
    case envelope_field::probe:
        return read_probe(in.get_message());
    case envelope_field::evacuations:
        return validate_parts(read_evacuations(in.get_message()));
    case envelope_field::load_report:
        return read_load_report(in.get_message());
    case envelope_field::load_plan:
        return read_load_plan(in.get_message());
    case envelope_field::domain_loads:
        return read_domain_loads(in.get_message());
    case envelope_field::outline:
        return read_outline(in.get_message());
    case envelope_field::block_request:
        return read_block_request(in.get_message());
    case envelope_field::block:
        return read_block(in.get_message());
    default:
        return std::nullopt;
    }
}

} // namespace

auto decode_peer_message(std::span<const char> bytes)
    -> std::optional<peer_message> {
    try {
        return read_message(bytes);
    } catch (const protozero::exception &) {
        return std::nullopt;
    }
}

} // namespace dogwoodtrack::carried
