#include "carried/report.hpp"

#include <algorithm>
#include <array>
#include <iterator>

#include <fmt/format.h>

#include "carried/admission/admission_report.hpp"
#include "carried/load/load_metrics.hpp"
#include "carried/load/spill_report.hpp"
#include "carried/members/rotation.hpp"
#include "carried/quota/cold_quota.hpp"
#include "carried/upstreams/outlier_ejection.hpp"
#include "carried/upstreams/upstream_speeds.hpp"

namespace dogwoodtrack::carried {

namespace {

using buffer = fmt::memory_buffer;

constexpr std::array state_names{"ready", "draining", "lapsed", "gone"};

auto write_counter(buffer &out, const char *name, std::uint64_t value) -> void {
    fmt::format_to(std::back_inserter(out),
                   "# TYPE dogwoodtrack_{0} counter\ndogwoodtrack_{0} {1}\n",
                   name, value);
}

auto write_gauge(buffer &out, const char *name, std::uint64_t value) -> void {
    fmt::format_to(std::back_inserter(out),
                   "# TYPE dogwoodtrack_{0} gauge\ndogwoodtrack_{0} {1}\n",
                   name, value);
}

auto write_refusals(buffer &out, const blackboard_counters &counters) -> void {
    fmt::format_to(std::back_inserter(out),
                   "# TYPE dogwoodtrack_refused_total counter\n");
    for (std::size_t i = 1; i < counters.refused.size(); ++i)
        fmt::format_to(std::back_inserter(out),
                       "dogwoodtrack_refused_total{{why=\"{}\"}} {}\n",
                       to_string(static_cast<refusal>(i)), counters.refused[i]);
}

auto write_feeds(buffer &out, const blackboard &it, time_point now) -> void {
    for (std::size_t i = 0; i < feed_count; ++i) {
        if (!is_enabled(it, static_cast<feed>(i)))
            continue;
        fmt::format_to(std::back_inserter(out),
                       "dogwoodtrack_feed_revision{{feed=\"{0}\"}} {1}\n"
                       "dogwoodtrack_feed_unconfirmed_ms{{feed=\"{0}\"}} {2}\n"
                       "dogwoodtrack_feed_behind_ms{{feed=\"{0}\"}} {3}\n"
                       "dogwoodtrack_feed_late_total{{feed=\"{0}\"}} {4}\n",
                       to_string(static_cast<feed>(i)),
                       it.versions[i].as_of.number,
                       age_ms(it.versions[i].confirmed, now),
                       behind_for(it, static_cast<feed>(i), now).count(),
                       it.progress[i].times_late);
    }
}

auto write_transfers(buffer &out, const configuration_transfer &it) -> void {
    write_counter(out, "configuration_blocks_received_total",
                  it.blocks_received);
    write_counter(out, "configuration_blocks_repeated_total",
                  it.blocks_repeated);
}

auto write_cold_quota(buffer &out, const upstream_table &upstreams,
                      time_point now) -> void {
    const auto &quota = upstreams.cold;
    if (quota.bounds.overage <= 0)
        return;
    const auto &counters = quota.counters;
    write_counter(out, "cold_openings_total", counters.openings);
    write_counter(out, "cold_requests_total", counters.requests);
    write_counter(out, "cold_requests_over_share_total",
                  counters.requests_over_share);
    fmt::format_to(std::back_inserter(out),
                   "# TYPE dogwoodtrack_cold_passed_over_total counter\n"
                   "dogwoodtrack_cold_passed_over_total{{why=\"over_share\"}} "
                   "{}\n"
                   "dogwoodtrack_cold_passed_over_total{{why=\"other_domain\"}}"
                   " {}\n",
                   counters.over_share, counters.other_domain);
    write_counter(out, "cold_without_result_total", counters.without_result);
    write_gauge(out, "cold_upstreams", count_cold_upstreams(upstreams, now));
    write_gauge(out, "quota_balancers", quota_divisor(quota.members));
}

// Spill shares of the plans in use, and upstreams that these plans call slow.
// Series exist only for domains that receive a share of some service.
auto write_plans(buffer &out, const steering_state &it, time_point now)
    -> void {
    std::vector<const service_plan *> plans;
    std::uint64_t slow = 0;
    for (const auto service : services_in_force(it.in_force.get())) {
        const auto *plan = plan_for(it.plans, service, now);
        if (plan == nullptr)
            continue;
        plans.push_back(plan);
        slow += static_cast<std::uint64_t>(std::count_if(
            plan->upstreams.begin(), plan->upstreams.end(),
            [](const auto &one) { return one.speed < slow_speed; }));
    }
    write_gauge(out, "slow_upstreams", slow);
    fmt::format_to(std::back_inserter(out),
                   "# TYPE dogwoodtrack_spill_share gauge\n");
    for (const auto &one : mean_shares(plans))
        fmt::format_to(std::back_inserter(out),
                       "dogwoodtrack_spill_share{{domain=\"{:08x}\"}} {:.4f}\n",
                       one.failure_domain, one.share);
}

auto write_upstream(buffer &out, const upstream &it, time_point now) -> void {
    fmt::format_to(
        std::back_inserter(out),
        R"({{"id":"{}","address":"{}","state":"{}","placeable":{},)"
        R"("evacuated":{},)"
        R"("open":{},"service_ms":{:.1f},"unanswered":{},"doubt":{:.1f},)"
        R"("ejected":{}}})",
        it.record.id, to_string(it.record.address),
        state_names[static_cast<std::size_t>(it.record.state)], it.placeable,
        it.withheld, it.stats.open, it.stats.service_ms, it.stats.unanswered,
        it.stats.failure_score, is_ejected(it, now));
}

} // namespace

auto metrics_text(const blackboard &it, const metric_set &metrics,
                  time_point now) -> std::string {
    buffer out;
    const auto &counters = it.counters;
    write_counter(out, "forwarded_total", counters.forwarded);
    write_counter(out, "tried_again_total", counters.retried_openings);
    write_counter(out, "bindings_corrected_total", counters.corrected_bindings);
    write_counter(out, "withdrawals_total", counters.withdrawals);
    write_counter(out, "flows_reset_total", counters.flows_reset);
    write_counter(out, "waited_for_state_total", counters.held);
    write_counter(out, "malformed_total", counters.malformed);
    write_counter(out, "store_calls_total", counters.store_calls);
    write_counter(out, "store_entries_rejected_total",
                  counters.rejected_entries);
    write_counter(out, "peer_messages_total", counters.peer_messages);
    write_counter(out, "flows_not_counted_total", it.steering.flows.overflowed);
    write_refusals(out, counters);
    write_gauge(out, "flows", it.steering.flows.all.size());
    write_gauge(out, "upstreams", it.steering.upstreams.by_id.size());
    write_gauge(out, "in_rotation", is_in_rotation(it) ? 1 : 0);
    write_gauge(out, "evacuated_domains", it.evacuations.domains.size());
    write_gauge(out, "members", count_live_members(it.members, now) + 1);
    write_gauge(out, "store_era", it.store_era.era);
    write_feeds(out, it, now);
    write_transfers(out, it.incoming_configuration);
    write_cold_quota(out, it.steering.upstreams, now);
    write_admission(out, it.steering, now);
    write_plans(out, it.steering, now);
    return fmt::to_string(out) + load_metrics_text(it, now) +
           metrics.to_prometheus();
}

auto status_json(const blackboard &it, const std::string &instance,
                 time_point now) -> std::string {
    buffer out;
    fmt::format_to(
        std::back_inserter(out),
        R"({{"instance":"{}","can_serve":{},"leaving":{},"in_rotation":{},"flows":{},)"
        R"("members":{},"feeds":{{)",
        instance, can_serve(it), it.leaving, is_in_rotation(it),
        it.steering.flows.all.size(), count_live_members(it.members, now) + 1);
    for (std::size_t i = 0; i < feed_count; ++i) {
        if (!is_enabled(it, static_cast<feed>(i)))
            continue;
        fmt::format_to(std::back_inserter(out),
                       R"({}"{}":{{"as_of":{},"unconfirmed_ms":{}}})",
                       i == 0 ? "" : ",", to_string(static_cast<feed>(i)),
                       it.versions[i].as_of.number,
                       age_ms(it.versions[i].confirmed, now));
    }
    fmt::format_to(std::back_inserter(out), R"(}},"upstreams":[)");
    auto first = true;
    for (const auto &one : it.steering.upstreams.all) {
        if (one.record.id.empty())
            continue;
        if (!std::exchange(first, false))
            out.push_back(',');
        write_upstream(out, one, now);
    }
    fmt::format_to(std::back_inserter(out), "]}}\n");
    return fmt::to_string(out);
}

} // namespace dogwoodtrack::carried
