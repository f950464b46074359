#include "carried/feeds/configuration_fields.hpp"
#include "carried/feeds/route_encoding.hpp"

namespace dogwoodtrack::carried {

namespace fields {

namespace {

// Comparisons with a value that is not a number are false.
auto read_cold_rate(double value) -> double {
    return value > 0 && value <= max_cold_per_s ? value : 0;
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
        case weight_field::cold_start_ms:
            it.cold_start = to_milliseconds(in.get_uint64());
            break;
        case weight_field::cold_per_s:
            it.cold_per_s = read_cold_rate(in.get_double());
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

auto read_route(reader<route_field> in) -> route_spec {
    route_spec it;
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
            it.target_latency = to_milliseconds(in.get_uint64());
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

// Reads a packed list of names of blocks.
template <typename Field>
auto read_packed_names(reader<Field> &in) -> std::vector<block_name> {
    std::vector<block_name> names;
    for (const auto name : in.get_packed_fixed64()) {
        if (names.size() < max_block_names)
            names.push_back(name);
    }
    return names;
}

} // namespace

// Balancers of earlier versions split configurations into several parts, which
// are of no use: the configuration then comes from the store.
auto read_routes(reader<batch_field> in) -> std::optional<peer_message> {
    routes_message it;
    std::uint32_t parts = 1;
    while (in.next()) {
        switch (in.tag()) {
        case batch_field::number:
            it.whole.version = in.get_uint64();
            break;
        case batch_field::revision:
            it.whole.revision.number = in.get_uint64();
            break;
        case batch_field::revision_era:
            it.whole.revision.era = in.get_uint64();
            break;
        case batch_field::idle_ms:
            it.whole.idle_timeout = to_milliseconds(in.get_uint64());
            break;
        case batch_field::version:
            it.version = read_version(in.get_message());
            break;
        case batch_field::parts:
            parts = in.get_uint32();
            break;
        case batch_field::item:
            it.whole.routes.push_back(read_route(in.get_message()));
            break;
        default:
            in.skip();
        }
    }
    if (parts != 1)
        return std::nullopt;
    return it;
}

auto read_outline(reader<outline_field> in) -> outline_message {
    outline_message it;
    auto &head = it.outline.head;
    while (in.next()) {
        switch (in.tag()) {
        case outline_field::version:
            it.version = read_version(in.get_message());
            break;
        case outline_field::number:
            head.version = in.get_uint64();
            break;
        case outline_field::revision:
            head.revision.number = in.get_uint64();
            break;
        case outline_field::revision_era:
            head.revision.era = in.get_uint64();
            break;
        case outline_field::idle_ms:
            head.idle_timeout = to_milliseconds(in.get_uint64());
            break;
        case outline_field::name:
            it.outline.names = read_packed_names(in);
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_block_request(reader<block_field> in) -> block_request_message {
    block_request_message it;
    while (in.next()) {
        if (in.tag() == block_field::name)
            it.names = read_packed_names(in);
        else
            in.skip();
    }
    return it;
}

auto read_block(reader<block_field> in) -> block_message {
    block_message it;
    while (in.next()) {
        switch (in.tag()) {
        case block_field::kind:
            it.block.kind =
                in.get_uint32() == 0 ? block_kind::routes : block_kind::names;
            break;
        case block_field::content:
            it.block.content = in.get_bytes();
            break;
        default:
            in.skip();
        }
    }
    return it;
}

} // namespace fields

using namespace fields;

auto decode_routes(std::string_view bytes)
    -> std::optional<std::vector<route_spec>> {
    try {
        std::vector<route_spec> routes;
        reader<batch_field> in(bytes.data(), bytes.size());
        while (in.next(batch_field::item))
            routes.push_back(read_route(in.get_message()));
        return routes;
    } catch (const protozero::exception &) {
        return std::nullopt;
    }
}

auto decode_names(std::string_view bytes)
    -> std::optional<std::vector<std::uint64_t>> {
    try {
        reader<block_field> in(bytes.data(), bytes.size());
        if (!in.next(block_field::name))
            return std::nullopt;
        return read_packed_names(in);
    } catch (const protozero::exception &) {
        return std::nullopt;
    }
}

} // namespace dogwoodtrack::carried
