#include "carried/feeds/load_fields.hpp"

namespace dogwoodtrack::carried {

using namespace fields;

namespace {

/// Upper limits of encoded sizes in bytes.
constexpr std::size_t envelope_size = 64;
constexpr std::size_t service_load_size = 128;
constexpr std::size_t upstream_load_size = 30;
constexpr std::size_t unanswered_size = 13;
constexpr std::size_t service_plan_size = 52;
constexpr std::size_t spill_size = 12;
constexpr std::size_t upstream_plan_size = 16;
constexpr std::size_t domain_load_size = 36;

template <typename Field>
auto add_count(builder<Field> &out, Field field, std::uint64_t value) -> void {
    if (value > 0)
        out.add_uint64(field, value);
}

auto write(builder<service_load_field> out, const service_load &it) -> void {
    out.add_fixed64(service_load_field::service, it.service);
    // Each one names its priority, since protozero leaves out empty messages.
    for (std::size_t i = 0; i < priority_count; ++i) {
        const auto &one = it.priorities[i];
        builder<priority_load_field> to(out, service_load_field::priority);
        add_count(to, priority_load_field::openings, one.openings);
        add_count(to, priority_load_field::admitted, one.admitted);
        add_count(to, priority_load_field::requests, one.requests);
        add_count(to, priority_load_field::priority, i);
    }
    add_count(out, service_load_field::in_flight, it.in_flight);
    add_count(out, service_load_field::answers, it.answers);
    add_count(out, service_load_field::rejections, it.rejections);
    if (it.answers > 0)
        out.add_float(service_load_field::service_ms, it.service_ms);
}

auto write(builder<upstream_load_field> out, const upstream_load &it) -> void {
    out.add_fixed32(upstream_load_field::code, it.code);
    add_count(out, upstream_load_field::in_flight, it.in_flight);
    add_count(out, upstream_load_field::answers, it.answers);
    add_count(out, upstream_load_field::rejections, it.rejections);
    if (it.answers > 0)
        out.add_float(upstream_load_field::service_ms, it.service_ms);
}

auto write(builder<service_plan_field> out, const service_plan &it) -> void {
    out.add_fixed64(service_plan_field::service, it.service);
    for (const auto part : it.admit)
        out.add_float(service_plan_field::admit, part);
    for (const auto &one : it.spill) {
        builder<spill_field> to(out, service_plan_field::spill);
        to.add_fixed32(spill_field::failure_domain, one.failure_domain);
        to.add_float(spill_field::share, one.share);
    }
    for (const auto &one : it.upstreams) {
        builder<upstream_plan_field> to(out, service_plan_field::upstream);
        to.add_fixed32(upstream_plan_field::code, one.code);
        to.add_float(upstream_plan_field::speed, one.speed);
        to.add_uint32(upstream_plan_field::limit, one.limit);
    }
    out.add_float(service_plan_field::limit, it.limit);
    out.add_float(service_plan_field::in_flight, it.in_flight);
    out.add_float(service_plan_field::demand, it.demand);
}

auto write(builder<domain_load_field> out, const domain_load &it) -> void {
    out.add_fixed64(domain_load_field::service, it.service);
    out.add_fixed32(domain_load_field::failure_domain, it.failure_domain);
    out.add_float(domain_load_field::limit, it.limit);
    out.add_float(domain_load_field::in_flight, it.in_flight);
    out.add_float(domain_load_field::demand, it.demand);
    out.add_float(domain_load_field::service_ms, it.service_ms);
}

// Parts of a message, filled one after the other up to the datagram limit.
template <typename Message>
struct parts_builder {
    Message empty; ///< copied for each part
    std::vector<Message> parts{empty};
    std::size_t size = envelope_size;

    /// Part with room for an item of this size, and `reserved` bytes besides in
    /// a part that is begun for it.
    auto part_for(std::size_t item_size, std::size_t reserved = 0)
        -> Message & {
        if (size + item_size > max_peer_datagram_size) {
            parts.push_back(empty);
            size = envelope_size + reserved;
        }
        size += item_size;
        return parts.back();
    }
};

auto add_plan(parts_builder<load_plan> &to, const service_plan &plan) -> void {
    auto head = plan;
    head.upstreams.clear();
    const auto head_size = service_plan_size + spill_size * plan.spill.size();
    to.part_for(head_size).services.push_back(head);
    for (const auto &one : plan.upstreams) {
        auto &part = to.part_for(upstream_plan_size, head_size);
        if (part.services.empty())
            part.services.push_back(head);
        part.services.back().upstreams.push_back(one);
    }
}

} // namespace

namespace fields {

auto write_body(builder<envelope_field> &envelope,
                const load_report_message &it) -> void {
    builder<load_report_field> out(envelope, envelope_field::load_report);
    out.add_uint32(load_report_field::sequence, it.report.sequence);
    out.add_uint64(load_report_field::interval_ms,
                   static_cast<std::uint64_t>(
                       std::max<std::int64_t>(0, it.report.interval.count())));
    if (it.part > 0)
        out.add_uint32(load_report_field::part, it.part);
    for (const auto &one : it.report.services)
        write({out, load_report_field::service}, one);
    for (const auto &one : it.report.upstreams)
        write({out, load_report_field::upstream}, one);
    for (const auto &one : it.unanswered) {
        builder<unanswered_field> to(out, load_report_field::unanswered);
        to.add_fixed32(unanswered_field::code, one.code);
        to.add_uint32(unanswered_field::count, one.count);
    }
}

auto write_body(builder<envelope_field> &envelope, const load_plan &it)
    -> void {
    builder<load_plan_field> out(envelope, envelope_field::load_plan);
    out.add_uint32(load_plan_field::sequence, it.sequence);
    for (const auto &one : it.services)
        write({out, load_plan_field::service}, one);
}

auto write_body(builder<envelope_field> &envelope,
                const domain_loads_message &it) -> void {
    builder<domain_loads_field> out(envelope, envelope_field::domain_loads);
    out.add_uint32(domain_loads_field::sequence, it.sequence);
    out.add_uint64(domain_loads_field::sent_us, it.sent_us);
    if (it.echo_us > 0) {
        out.add_uint64(domain_loads_field::echo_us, it.echo_us);
        out.add_uint64(domain_loads_field::held_us, it.held_us);
    }
    for (const auto &one : it.loads)
        write({out, domain_loads_field::load}, one);
}

} // namespace fields

auto split_report(const tracked_load &load)
    -> std::vector<load_report_message> {
    const auto &report = load.report;
    parts_builder<load_report_message> to{
        .empty = {.report = {.sequence = report.sequence,
                             .interval = report.interval}}};
    for (const auto &one : report.services)
        to.part_for(service_load_size).report.services.push_back(one);
    for (const auto &one : report.upstreams)
        to.part_for(upstream_load_size).report.upstreams.push_back(one);
    for (const auto &one : load.unanswered)
        to.part_for(unanswered_size).unanswered.push_back(one);
    if (to.parts.size() > max_report_parts)
        to.parts.resize(max_report_parts);
    for (std::size_t i = 0; i < to.parts.size(); ++i)
        to.parts[i].part = static_cast<std::uint32_t>(i);
    return std::move(to.parts);
}

auto split_plan(const load_plan &plan) -> std::vector<load_plan> {
    parts_builder<load_plan> to{.empty = {.sequence = plan.sequence}};
    for (const auto &service : plan.services)
        add_plan(to, service);
    return std::move(to.parts);
}

auto split_domain_loads(const domain_loads_message &whole)
    -> std::vector<domain_loads_message> {
    auto empty = whole;
    empty.loads.clear();
    parts_builder<domain_loads_message> to{.empty = empty};
    for (const auto &one : whole.loads)
        to.part_for(domain_load_size).loads.push_back(one);
    return std::move(to.parts);
}

} // namespace dogwoodtrack::carried
