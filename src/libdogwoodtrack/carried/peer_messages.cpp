#include "peer_messages.hpp"

#include <algorithm>

#include <protozero/exception.hpp>
// A field of another wire type is malformed input, in every build.
#define protozero_assert(condition)                                            \
    do {                                                                       \
        if (!(condition))                                                      \
            throw protozero::unknown_pbf_wire_type_exception{};                \
    } while (false)
#include <protozero/pbf_builder.hpp>
#include <protozero/pbf_message.hpp>

namespace dogwoodtrack::carried {

namespace {

// Field numbers, as in proto/carried.proto.
enum class envelope_field : protozero::pbf_tag_type {
    digest = 1,
    pull = 2,
    records = 3,
    routes = 4
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
    complete = 4
};
enum class digest_field : protozero::pbf_tag_type {
    sender = 1,
    version = 2,
    member = 3,
    wants_state = 4
};
enum class pull_field : protozero::pbf_tag_type { what = 1, since = 2 };
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
    changed_at = 12
};
enum class batch_field : protozero::pbf_tag_type {
    from = 1,
    version = 2,
    part = 3,
    parts = 4,
    item = 5,
    number = 6,
    revision = 7,
    idle_ms = 8
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
enum class weight_field : protozero::pbf_tag_type { service = 1, weight = 2 };

template <typename Field>
using builder = protozero::pbf_builder<Field>;
template <typename Field>
using reader = protozero::pbf_message<Field>;

constexpr std::size_t record_limit = 4'096;
constexpr std::uint32_t parts_limit = 65'536;

auto to_count(milliseconds value) -> std::uint64_t {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, value.count()));
}

auto to_milliseconds(std::uint64_t value) -> milliseconds {
    constexpr std::uint64_t longest = 1'000'000'000;
    return milliseconds{static_cast<std::int64_t>(std::min(value, longest))};
}

// ---- writing

auto write(builder<member_field> out, const fleet_member &it, milliseconds age)
    -> void {
    out.add_fixed32(member_field::address, it.address);
    out.add_fixed32(member_field::failure_domain, it.failure_domain);
    out.add_uint32(member_field::capacity, it.capacity);
    if (it.leaving)
        out.add_bool(member_field::leaving, true);
    out.add_uint64(member_field::age_ms, to_count(age));
}

auto write(builder<version_field> out, const told_version &it) -> void {
    out.add_uint64(version_field::content, it.content);
    out.add_uint64(version_field::as_of, it.as_of);
    out.add_uint64(version_field::age_ms, to_count(it.age));
    out.add_bool(version_field::complete, it.complete);
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
    out.add_uint64(record_field::cold_ms, to_count(it.cold_left));
    out.add_uint64(record_field::revision, it.revision);
    out.add_uint64(record_field::changed_at, it.changed_at);
}

auto write(builder<route_field> out, const route_terms &it) -> void {
    out.add_fixed32(route_field::address, it.address.address);
    out.add_uint32(route_field::port, it.address.port);
    out.add_uint32(route_field::kind, static_cast<std::uint32_t>(it.kind));
    out.add_uint32(route_field::priority, it.priority);
    out.add_uint64(route_field::target_ms, to_count(it.target));
    out.add_uint64(route_field::timeout_ms, to_count(it.timeout));
    for (const auto &share : it.services) {
        builder<weight_field> to(out, route_field::service);
        to.add_fixed64(weight_field::service, share.service);
        to.add_uint32(weight_field::weight, share.weight);
    }
}

auto write_body(builder<envelope_field> &envelope, const digest_message &it)
    -> void {
    builder<digest_field> out(envelope, envelope_field::digest);
    write({out, digest_field::sender}, it.sender, milliseconds{0});
    for (const auto &version : it.versions)
        write({out, digest_field::version}, version);
    for (const auto &told : it.members)
        write({out, digest_field::member}, told.member, told.age);
    if (it.wants_state)
        out.add_bool(digest_field::wants_state, true);
}

auto write_body(builder<envelope_field> &envelope, const pull_message &it)
    -> void {
    builder<pull_field> out(envelope, envelope_field::pull);
    out.add_uint32(pull_field::what, static_cast<std::uint32_t>(it.what));
    out.add_uint64(pull_field::since, it.since);
}

auto write_body(builder<envelope_field> &envelope, const records_message &it)
    -> void {
    builder<batch_field> out(envelope, envelope_field::records);
    out.add_uint64(batch_field::from, it.from);
    write({out, batch_field::version}, it.version);
    out.add_uint32(batch_field::part, it.part);
    out.add_uint32(batch_field::parts, it.parts);
    for (const auto &record : it.records)
        write({out, batch_field::item}, record);
}

auto write_body(builder<envelope_field> &envelope, const routes_message &it)
    -> void {
    builder<batch_field> out(envelope, envelope_field::routes);
    out.add_uint64(batch_field::number, it.settings.version);
    out.add_uint64(batch_field::revision, it.settings.revision);
    out.add_uint64(batch_field::idle_ms, to_count(it.settings.idle_timeout));
    write({out, batch_field::version}, it.version);
    out.add_uint32(batch_field::part, it.part);
    out.add_uint32(batch_field::parts, it.parts);
    for (const auto &route : it.settings.routes)
        write({out, batch_field::item}, route);
}

// ---- reading

// `get_bool` of the library reads past the end of a message that ends with
// the field's tag.
template <typename Field>
auto read_flag(reader<Field> &in) -> bool {
    return in.get_uint32() != 0;
}

auto read_member(reader<member_field> in) -> told_member {
    told_member it;
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

auto read_version(reader<version_field> in) -> told_version {
    told_version it;
    while (in.next()) {
        switch (in.tag()) {
        case version_field::content:
            it.content = in.get_uint64();
            break;
        case version_field::as_of:
            it.as_of = in.get_uint64();
            break;
        case version_field::age_ms:
            it.age = to_milliseconds(in.get_uint64());
            break;
        case version_field::complete:
            it.complete = read_flag(in);
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
            it.cold_left = to_milliseconds(in.get_uint64());
            break;
        case record_field::revision:
            it.revision = in.get_uint64();
            break;
        case record_field::changed_at:
            it.changed_at = in.get_uint64();
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_share(reader<weight_field> in) -> weighted_service {
    weighted_service it;
    while (in.next()) {
        switch (in.tag()) {
        case weight_field::service:
            it.service = in.get_fixed64();
            break;
        case weight_field::weight:
            it.weight = in.get_uint32();
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_kind(std::uint32_t value) -> request_kind {
    constexpr auto last = static_cast<std::uint32_t>(request_kind::download);
    return static_cast<request_kind>(std::min(value, last));
}

auto read_route(reader<route_field> in) -> route_terms {
    route_terms it;
    while (in.next()) {
        switch (in.tag()) {
        case route_field::address:
            it.address.address = in.get_fixed32();
            break;
        case route_field::port:
            it.address.port = static_cast<std::uint16_t>(in.get_uint32());
            break;
        case route_field::kind:
            it.kind = read_kind(in.get_uint32());
            break;
        case route_field::priority:
            it.priority = static_cast<std::uint8_t>(in.get_uint32());
            break;
        case route_field::target_ms:
            it.target = to_milliseconds(in.get_uint64());
            break;
        case route_field::timeout_ms:
            it.timeout = to_milliseconds(in.get_uint64());
            break;
        case route_field::service:
            it.services.push_back(read_share(in.get_message()));
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
            const auto told = read_version(in.get_message());
            if (version < feed_count)
                it.versions[version++] = told;
            break;
        }
        case digest_field::member:
            it.members.push_back(read_member(in.get_message()));
            break;
        case digest_field::wants_state:
            it.wants_state = read_flag(in);
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_pull(reader<pull_field> in) -> pull_message {
    pull_message it;
    while (in.next()) {
        switch (in.tag()) {
        case pull_field::what:
            it.what =
                in.get_uint32() == 0 ? feed::configuration : feed::upstreams;
            break;
        case pull_field::since:
            it.since = in.get_uint64();
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
            it.from = in.get_uint64();
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

auto read_routes(reader<batch_field> in) -> routes_message {
    routes_message it;
    while (in.next()) {
        switch (in.tag()) {
        case batch_field::number:
            it.settings.version = in.get_uint64();
            break;
        case batch_field::revision:
            it.settings.revision = in.get_uint64();
            break;
        case batch_field::idle_ms:
            it.settings.idle_timeout = to_milliseconds(in.get_uint64());
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
            it.settings.routes.push_back(read_route(in.get_message()));
            break;
        default:
            in.skip();
        }
    }
    return it;
}

template <typename Message>
auto checked_parts(Message message) -> std::optional<peer_message> {
    if (message.parts == 0 || message.parts > parts_limit ||
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
        return checked_parts(read_records(in.get_message()));
    case envelope_field::routes:
        return checked_parts(read_routes(in.get_message()));
    default:
        return std::nullopt;
    }
}

// Gives each message so many items that it stays under the datagram limit.
template <typename Message, typename Item>
auto split(const std::vector<Item> &items, const Message &empty,
           std::vector<Item> &(*items_of)(Message &),
           std::size_t (*size_of)(const Item &)) -> std::vector<Message> {
    constexpr std::size_t head_size = 100;
    std::vector<Message> parts{empty};
    auto size = head_size;
    for (const auto &it : items) {
        const auto more = size_of(it);
        if (size + more > peer_datagram_limit) {
            parts.push_back(empty);
            size = head_size;
        }
        size += more;
        items_of(parts.back()).push_back(it);
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].part = static_cast<std::uint32_t>(i);
        parts[i].parts = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

} // namespace

auto encode(const peer_message &message) -> std::string {
    std::string buf;
    builder<envelope_field> envelope(buf);
    std::visit([&](const auto &body) { write_body(envelope, body); }, message);
    return buf;
}

auto decode_peer_message(std::span<const char> bytes)
    -> std::optional<peer_message> {
    try {
        return read_message(bytes);
    } catch (const protozero::exception &) {
        return std::nullopt;
    }
}

auto split_records(const std::vector<upstream_record> &records,
                   std::uint64_t from, const told_version &version)
    -> std::vector<records_message> {
    constexpr std::size_t fixed_size = 85;
    return split<records_message, upstream_record>(
        records, {.from = from, .version = version, .records = {}},
        [](records_message & it) -> auto & { return it.records; },
        [](const upstream_record &it) {
            return std::min(record_limit, fixed_size + it.id.size());
        });
}

auto split_routes(const configuration &whole, const told_version &version)
    -> std::vector<routes_message> {
    constexpr std::size_t fixed_size = 40;
    constexpr std::size_t share_size = 18;
    auto settings = whole;
    settings.routes.clear();
    return split<routes_message, route_terms>(
        whole.routes, {.settings = settings, .version = version},
        [](routes_message & it) -> auto & { return it.settings.routes; },
        [](const route_terms &it) {
            return fixed_size + share_size * it.services.size();
        });
}

} // namespace dogwoodtrack::carried
