#include "carried/feeds/load_fields.hpp"
#include "carried/feeds/route_encoding.hpp"

namespace dogwoodtrack::carried {

namespace {

using namespace fields;

/// Upper limit for the estimated size of an encoded record, in bytes.
constexpr std::size_t max_record_size = 4'096;
/// Upper limit for the encoded size of a message without its items, in bytes.
constexpr std::size_t envelope_size = 120;

auto to_wire_ms(milliseconds value) -> std::uint64_t {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, value.count()));
}

// Writes a time of a balancer's clock, unless it is the default value.
template <typename Field>
auto write_time(builder<Field> &out, Field field, time_point it) -> void {
    if (it != time_point{})
        out.add_uint64(field, to_wire_ms(std::chrono::floor<milliseconds>(
                                  it.time_since_epoch())));
}

// Writes a revision and, unless it is 0, its era.
template <typename Field>
auto write_revision(builder<Field> &out, Field number, Field era,
                    const store_revision &it) -> void {
    out.add_uint64(number, it.number);
    if (it.era > 0)
        out.add_uint64(era, it.era);
}

auto write(builder<member_field> out, const fleet_member &it, milliseconds age)
    -> void {
    out.add_fixed32(member_field::address, it.address);
    out.add_fixed32(member_field::failure_domain, it.failure_domain);
    out.add_uint32(member_field::capacity, it.capacity);
    if (it.leaving)
        out.add_bool(member_field::leaving, true);
    out.add_uint64(member_field::age_ms, to_wire_ms(age));
}

auto write(builder<version_field> out, const reported_version &it) -> void {
    write_revision(out, version_field::content, version_field::content_era,
                   it.content);
    write_revision(out, version_field::as_of, version_field::as_of_era,
                   it.as_of);
    out.add_uint64(version_field::age_ms, to_wire_ms(it.age));
    out.add_bool(version_field::complete, it.complete);
    if (it.removals_since != store_revision{})
        write_revision(out, version_field::removals_since,
                       version_field::removals_since_era, it.removals_since);
    write_time(out, version_field::asked_at_ms, it.asked_at);
}

auto write(builder<record_field> out, const upstream_record &it) -> void {
    out.add_string(record_field::id, it.id);
    out.add_uint64(record_field::delivery_id, it.delivery_id);
    out.add_uint64(record_field::born, it.born);
    out.add_fixed32(record_field::address, it.address.address);
    out.add_uint32(record_field::port, it.address.port);
    out.add_fixed64(record_field::service, it.service);
    out.add_fixed32(record_field::failure_domain, it.failure_domain);
    out.add_uint32(record_field::slots, it.slots);
    out.add_uint32(record_field::state, static_cast<std::uint32_t>(it.state));
    out.add_uint64(record_field::cold_ms, to_wire_ms(it.cold_remaining));
    write_revision(out, record_field::revision, record_field::revision_era,
                   it.revision);
    write_revision(out, record_field::changed_at, record_field::changed_at_era,
                   it.changed_at);
    if (it.written_in_era)
        out.add_bool(record_field::written_in_era, true);
}

auto write(builder<route_field> out, const route_spec &it) -> void {
    out.add_fixed32(route_field::address, it.address.address);
    out.add_uint32(route_field::port, it.address.port);
    out.add_uint32(route_field::kind, static_cast<std::uint32_t>(it.kind));
    out.add_uint32(route_field::priority, it.priority);
    out.add_uint64(route_field::target_ms, to_wire_ms(it.target_latency));
    out.add_uint64(route_field::timeout_ms, to_wire_ms(it.timeout));
    for (const auto &share : it.services) {
        builder<weight_field> to(out, route_field::service);
        to.add_fixed64(weight_field::service, share.service);
        to.add_uint32(weight_field::weight, share.weight);
        if (share.cold_per_s <= 0)
            continue;
        to.add_uint64(weight_field::cold_start_ms,
                      to_wire_ms(share.cold_start));
        to.add_double(weight_field::cold_per_s, share.cold_per_s);
    }
}

auto write_body(builder<envelope_field> &envelope, const digest_message &it)
    -> void {
    builder<digest_field> out(envelope, envelope_field::digest);
    write({out, digest_field::sender}, it.sender, milliseconds{0});
    for (std::size_t i = 0; i < feed_count; ++i) {
        // The last of the versions is left out if there is nothing to report.
        if (static_cast<feed>(i) != feed::evacuations ||
            it.versions[i].complete)
            write({out, digest_field::version}, it.versions[i]);
    }
    for (const auto &reported : it.members)
        write({out, digest_field::member}, reported.member, reported.age);
    if (it.wants_state)
        out.add_bool(digest_field::wants_state, true);
    if (it.limit_binds)
        out.add_bool(digest_field::limit_binds, true);
    write_time(out, digest_field::asked_at_ms, it.asked_at);
}

auto write_body(builder<envelope_field> &envelope, const pull_message &it)
    -> void {
    builder<pull_field> out(envelope, envelope_field::pull);
    out.add_uint32(pull_field::what, static_cast<std::uint32_t>(it.what));
    write_revision(out, pull_field::since, pull_field::since_era, it.since);
    write_time(out, pull_field::asked_at_ms, it.asked_at);
}

auto write_body(builder<envelope_field> &envelope, const records_message &it)
    -> void {
    builder<batch_field> out(envelope, envelope_field::records);
    write_revision(out, batch_field::from, batch_field::from_era, it.from);
    write({out, batch_field::version}, it.version);
    out.add_uint32(batch_field::part, it.part);
    out.add_uint32(batch_field::parts, it.parts);
    for (const auto &record : it.records)
        write({out, batch_field::item}, record);
}

auto write_body(builder<envelope_field> &envelope, const routes_message &it)
    -> void {
    builder<batch_field> out(envelope, envelope_field::routes);
    out.add_uint64(batch_field::number, it.whole.version);
    write_revision(out, batch_field::revision, batch_field::revision_era,
                   it.whole.revision);
    out.add_uint64(batch_field::idle_ms, to_wire_ms(it.whole.idle_timeout));
    write({out, batch_field::version}, it.version);
    out.add_uint32(batch_field::part, 0);
    out.add_uint32(batch_field::parts, 1);
    for (const auto &route : it.whole.routes)
        write({out, batch_field::item}, route);
}

auto write_body(builder<envelope_field> &envelope, const outline_message &it)
    -> void {
    builder<outline_field> out(envelope, envelope_field::outline);
    const auto &head = it.outline.head;
    write({out, outline_field::version}, it.version);
    out.add_uint64(outline_field::number, head.version);
    write_revision(out, outline_field::revision, outline_field::revision_era,
                   head.revision);
    out.add_uint64(outline_field::idle_ms, to_wire_ms(head.idle_timeout));
    out.add_packed_fixed64(outline_field::name, it.outline.names.begin(),
                           it.outline.names.end());
}

auto write_body(builder<envelope_field> &envelope,
                const block_request_message &it) -> void {
    builder<block_field> out(envelope, envelope_field::block_request);
    out.add_packed_fixed64(block_field::name, it.names.begin(), it.names.end());
}

auto write_body(builder<envelope_field> &envelope, const block_message &it)
    -> void {
    builder<block_field> out(envelope, envelope_field::block);
    out.add_uint32(block_field::kind,
                   static_cast<std::uint32_t>(it.block.kind));
    out.add_bytes(block_field::content, it.block.content);
}

auto write_body(builder<envelope_field> &envelope, const outcomes_message &it)
    -> void {
    builder<list_field> out(envelope, envelope_field::outcomes);
    for (const auto &one : it.items) {
        builder<outcome_field> to(out, list_field::item);
        to.add_fixed32(outcome_field::code, one.code);
        to.add_uint32(outcome_field::failures, one.counts.failures);
        to.add_uint32(outcome_field::answers, one.counts.answers);
    }
}

auto write_body(builder<envelope_field> &envelope, const judgements_message &it)
    -> void {
    builder<list_field> out(envelope, envelope_field::judgements);
    for (const auto &one : it.items) {
        builder<judgement_field> to(out, list_field::item);
        to.add_fixed32(judgement_field::code, one.code);
        to.add_uint64(judgement_field::left_ms, to_wire_ms(one.status.left));
        to.add_uint32(judgement_field::ejections, one.status.ejections);
    }
}

auto write_body(builder<envelope_field> &envelope, const probe_message &it)
    -> void {
    builder<probe_field> out(envelope, envelope_field::probe);
    out.add_bool(probe_field::wants_answer, it.wants_answer);
    out.add_bool(probe_field::serves, it.serves);
    out.add_bool(probe_field::withdrawn, it.withdrawn);
    for (const auto domain : it.unresponsive_domains)
        out.add_fixed32(probe_field::unheard_domain, domain);
}

auto write_body(builder<envelope_field> &envelope,
                const evacuations_message &it) -> void {
    builder<evacuations_field> out(envelope, envelope_field::evacuations);
    write({out, evacuations_field::version}, it.version);
    out.add_uint32(evacuations_field::part, it.part);
    out.add_uint32(evacuations_field::parts, it.parts);
    for (const auto &one : it.domains) {
        builder<evacuated_field> to(out, evacuations_field::domain);
        to.add_fixed32(evacuated_field::domain, one.domain);
        to.add_string(evacuated_field::name, one.name);
    }
}

// Distributes the items over copies of the message `empty`, so that each stays
// within the datagram limit. `items_of` returns the list of a message to which
// its items are added; `size_of` estimates the encoded size of an item in
// bytes.
template <typename Message, typename Item>
auto split(const std::vector<Item> &items, const Message &empty,
           std::vector<Item> &(*items_of)(Message &),
           std::size_t (*size_of)(const Item &)) -> std::vector<Message> {
    std::vector<Message> parts{empty};
    auto size = envelope_size;
    for (const auto &it : items) {
        const auto item_size = size_of(it);
        if (size + item_size > max_peer_datagram_size) {
            parts.push_back(empty);
            size = envelope_size;
        }
        size += item_size;
        items_of(parts.back()).push_back(it);
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].part = static_cast<std::uint32_t>(i);
        parts[i].parts = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

} // namespace

auto message_name(const peer_message &message) -> std::string_view {
    static constexpr std::array<std::string_view,
                                std::variant_size_v<peer_message>>
        names{"digest",        "pull",       "records",      "routes",
              "outcomes",      "judgements", "probe",        "evacuations",
              "load_report",   "load_plan",  "domain_loads", "outline",
              "block_request", "block"};
    return names[message.index()];
}

auto encode(const peer_message &message) -> std::string {
    std::string buf;
    builder<envelope_field> envelope(buf);
    std::visit([&](const auto &body) { write_body(envelope, body); }, message);
    return buf;
}

auto split_records(const std::vector<upstream_record> &records,
                   const store_revision &from, const reported_version &version)
    -> std::vector<records_message> {
    constexpr std::size_t fixed_fields_size = 85;
    // Two eras and `written_in_era`, at most.
    constexpr std::size_t eras_size = 24;
    return split<records_message, upstream_record>(
        records, {.from = from, .version = version, .records = {}},
        [](records_message & it) -> auto & { return it.records; },
        [](const upstream_record &it) {
            const auto eras = it.changed_at.era > 0 ? eras_size : 0;
            return std::min(max_record_size,
                            fixed_fields_size + eras + it.id.size());
        });
}

auto fits_one_datagram(const configuration &whole) -> bool {
    auto size = envelope_size;
    return std::all_of(whole.routes.begin(), whole.routes.end(),
                       [&](const route_spec &it) {
                           size += encode_route(it).size();
                           return size <= max_peer_datagram_size;
                       });
}

auto encode_route(const route_spec &route) -> std::string {
    std::string buf;
    builder<batch_field> out(buf);
    write({out, batch_field::item}, route);
    return buf;
}

auto encode_names(std::span<const std::uint64_t> names) -> std::string {
    std::string buf;
    builder<block_field> out(buf);
    out.add_packed_fixed64(block_field::name, names.begin(), names.end());
    return buf;
}

auto split_evacuations(const std::vector<evacuated_domain> &domains,
                       const reported_version &version)
    -> std::vector<evacuations_message> {
    constexpr std::size_t fixed_fields_size = 12;
    return split<evacuations_message, evacuated_domain>(
        domains, {.version = version, .domains = {}},
        [](evacuations_message & it) -> auto & { return it.domains; },
        [](const evacuated_domain &it) {
            return std::min(max_record_size,
                            fixed_fields_size + it.name.size());
        });
}

} // namespace dogwoodtrack::carried
