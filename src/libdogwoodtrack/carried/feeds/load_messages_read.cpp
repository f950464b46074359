#include <cmath>

#include "carried/feeds/load_fields.hpp"

namespace dogwoodtrack::carried::fields {

namespace {

/// Largest value that is accepted for a number of requests or a time in
/// milliseconds. Larger ones, negative ones and those that are no numbers are
/// brought into range.
constexpr float max_quantity = 1e9F;

template <typename Field>
auto read_quantity(reader<Field> &in, float max = max_quantity) -> float {
    const auto value = in.get_float();
    return std::isnan(value) ? 0 : std::clamp(value, 0.0F, max);
}

template <typename Field>
auto read_share(reader<Field> &in) -> float {
    return read_quantity(in, 1);
}

// Reads the load of one priority into its element. Loads of unknown priorities
// are ignored.
auto read_priority(reader<priority_load_field> in, service_load &to) -> void {
    priority_load it;
    std::size_t priority = 0;
    while (in.next()) {
        switch (in.tag()) {
        case priority_load_field::openings:
            it.openings = in.get_uint32();
            break;
        case priority_load_field::admitted:
            it.admitted = in.get_uint32();
            break;
        case priority_load_field::requests:
            it.requests = in.get_uint32();
            break;
        case priority_load_field::priority:
            priority = in.get_uint32();
            break;
        default:
            in.skip();
        }
    }
    if (priority < priority_count)
        to.priorities[priority] = it;
}

auto read_service_load(reader<service_load_field> in) -> service_load {
    service_load it;
    while (in.next()) {
        switch (in.tag()) {
        case service_load_field::service:
            it.service = in.get_fixed64();
            break;
        case service_load_field::priority:
            read_priority(in.get_message(), it);
            break;
        case service_load_field::in_flight:
            it.in_flight = in.get_uint32();
            break;
        case service_load_field::answers:
            it.answers = in.get_uint32();
            break;
        case service_load_field::rejections:
            it.rejections = in.get_uint32();
            break;
        case service_load_field::service_ms:
            it.service_ms = read_quantity(in);
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_upstream_load(reader<upstream_load_field> in) -> upstream_load {
    upstream_load it;
    while (in.next()) {
        switch (in.tag()) {
        case upstream_load_field::code:
            it.code = in.get_fixed32();
            break;
        case upstream_load_field::in_flight:
            it.in_flight = in.get_uint32();
            break;
        case upstream_load_field::answers:
            it.answers = in.get_uint32();
            break;
        case upstream_load_field::rejections:
            it.rejections = in.get_uint32();
            break;
        case upstream_load_field::service_ms:
            it.service_ms = read_quantity(in);
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_unanswered(reader<unanswered_field> in) -> unanswered_openings {
    unanswered_openings it;
    while (in.next()) {
        switch (in.tag()) {
        case unanswered_field::code:
            it.code = in.get_fixed32();
            break;
        case unanswered_field::count:
            it.count = in.get_uint32();
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_spill(reader<spill_field> in) -> spill_share {
    spill_share it;
    while (in.next()) {
        switch (in.tag()) {
        case spill_field::failure_domain:
            it.failure_domain = in.get_fixed32();
            break;
        case spill_field::share:
            it.share = read_share(in);
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_upstream_plan(reader<upstream_plan_field> in) -> upstream_plan {
    constexpr std::uint32_t max_limit = 65'535;
    upstream_plan it;
    while (in.next()) {
        switch (in.tag()) {
        case upstream_plan_field::code:
            it.code = in.get_fixed32();
            break;
        case upstream_plan_field::speed:
            it.speed = read_quantity(in);
            break;
        case upstream_plan_field::limit:
            it.limit = static_cast<std::uint16_t>(
                std::min(in.get_uint32(), max_limit));
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_service_plan(reader<service_plan_field> in) -> service_plan {
    service_plan it;
    std::size_t priority = 0;
    while (in.next()) {
        switch (in.tag()) {
        case service_plan_field::service:
            it.service = in.get_fixed64();
            break;
        case service_plan_field::admit: {
            const auto part = read_share(in);
            if (priority < priority_count)
                it.admit[priority++] = part;
            break;
        }
        case service_plan_field::spill:
            it.spill.push_back(read_spill(in.get_message()));
            break;
        case service_plan_field::upstream:
            it.upstreams.push_back(read_upstream_plan(in.get_message()));
            break;
        case service_plan_field::limit:
            it.limit = read_quantity(in);
            break;
        case service_plan_field::in_flight:
            it.in_flight = read_quantity(in);
            break;
        case service_plan_field::demand:
            it.demand = read_quantity(in);
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_domain_load(reader<domain_load_field> in) -> domain_load {
    domain_load it;
    while (in.next()) {
        switch (in.tag()) {
        case domain_load_field::service:
            it.service = in.get_fixed64();
            break;
        case domain_load_field::failure_domain:
            it.failure_domain = in.get_fixed32();
            break;
        case domain_load_field::limit:
            it.limit = read_quantity(in);
            break;
        case domain_load_field::in_flight:
            it.in_flight = read_quantity(in);
            break;
        case domain_load_field::demand:
            it.demand = read_quantity(in);
            break;
        case domain_load_field::service_ms:
            it.service_ms = read_quantity(in);
            break;
        default:
            in.skip();
        }
    }
    return it;
}

} // namespace

auto read_load_report(reader<load_report_field> in)
    -> std::optional<peer_message> {
    constexpr std::uint64_t max_interval_ms = 1'000'000;
    load_report_message it;
    while (in.next()) {
        switch (in.tag()) {
        case load_report_field::sequence:
            it.report.sequence = in.get_uint32();
            break;
        case load_report_field::interval_ms:
            it.report.interval = milliseconds{static_cast<std::int64_t>(
                std::min(in.get_uint64(), max_interval_ms))};
            break;
        case load_report_field::part:
            it.part = in.get_uint32();
            break;
        case load_report_field::service:
            it.report.services.push_back(read_service_load(in.get_message()));
            break;
        case load_report_field::upstream:
            it.report.upstreams.push_back(read_upstream_load(in.get_message()));
            break;
        case load_report_field::unanswered:
            it.unanswered.push_back(read_unanswered(in.get_message()));
            break;
        default:
            in.skip();
        }
    }
    if (it.part >= max_report_parts)
        return std::nullopt;
    return it;
}

auto read_load_plan(reader<load_plan_field> in) -> load_plan {
    load_plan it;
    while (in.next()) {
        switch (in.tag()) {
        case load_plan_field::sequence:
            it.sequence = in.get_uint32();
            break;
        case load_plan_field::service:
            it.services.push_back(read_service_plan(in.get_message()));
            break;
        default:
            in.skip();
        }
    }
    return it;
}

auto read_domain_loads(reader<domain_loads_field> in) -> domain_loads_message {
    domain_loads_message it;
    while (in.next()) {
        switch (in.tag()) {
        case domain_loads_field::sequence:
            it.sequence = in.get_uint32();
            break;
        case domain_loads_field::sent_us:
            it.sent_us = in.get_uint64();
            break;
        case domain_loads_field::echo_us:
            it.echo_us = in.get_uint64();
            break;
        case domain_loads_field::held_us:
            it.held_us = in.get_uint64();
            break;
        case domain_loads_field::load:
            it.loads.push_back(read_domain_load(in.get_message()));
            break;
        default:
            in.skip();
        }
    }
    return it;
}

} // namespace dogwoodtrack::carried::fields
