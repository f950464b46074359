#include "carried/load/load_tracker.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

// Load of the service, or null if too many services are counted.
auto service_of(load_tracker &it, service_key service) -> service_load * {
    const auto found = it.services.find(service);
    if (found != it.services.end())
        return &found->second;
    if (it.services.size() >= max_tracked_services)
        return nullptr;
    auto &added = it.services[service];
    added.service = service;
    return &added;
}

auto upstream_of(load_tracker &it, service_key service, std::uint32_t code)
    -> tracked_upstream & {
    auto &found = it.upstreams[code];
    found.service = service;
    found.load.code = code;
    return found;
}

auto has_load(const service_load &it) -> bool {
    return it.in_flight > 0 || it.answers > 0 || it.rejections > 0 ||
           std::any_of(it.priorities.begin(), it.priorities.end(),
                       [](const priority_load &one) {
                           return one.openings > 0 || one.admitted > 0 ||
                                  one.requests > 0;
                       });
}

auto has_load(const upstream_load &it) -> bool {
    return it.in_flight > 0 || it.answers > 0 || it.rejections > 0;
}

// Copy for a report, with the mean service time in place of the sum.
template <typename Load>
auto with_mean(Load it) -> Load {
    if (it.answers > 0)
        it.service_ms /= static_cast<float>(it.answers);
    return it;
}

auto report_upstreams(const load_tracker &it, tracked_load &taken) -> void {
    for (const auto &[code, one] : it.upstreams) {
        if (has_load(one.load))
            taken.report.upstreams.push_back(with_mean(one.load));
        if (one.unanswered > 0)
            taken.unanswered.push_back({.code = code, .count = one.unanswered});
    }
}

auto clear_counts(load_tracker &it) -> void {
    boost::unordered::erase_if(it.services, [](const auto &entry) {
        return entry.second.in_flight == 0;
    });
    boost::unordered::erase_if(it.upstreams, [](const auto &entry) {
        return entry.second.load.in_flight == 0;
    });
    for (auto &[service, one] : it.services)
        one = {.service = service, .in_flight = one.in_flight};
    for (auto &[code, one] : it.upstreams)
        one = {.service = one.service,
               .load = {.code = code, .in_flight = one.load.in_flight}};
}

} // namespace

auto count_opening(load_tracker &it, service_key service, std::size_t priority,
                   bool admitted) -> void {
    if (!it.enabled)
        return;
    auto *load = service_of(it, service);
    if (load == nullptr)
        return;
    ++load->priorities[priority].openings;
    if (admitted)
        ++load->priorities[priority].admitted;
}

auto count_admission(load_tracker &it, service_key service,
                     std::size_t priority) -> void {
    if (!it.enabled)
        return;
    if (auto *load = service_of(it, service))
        ++load->priorities[priority].admitted;
}

auto begin_request(load_tracker &it, const tracked_request &request) -> void {
    if (!it.enabled)
        return;
    ++upstream_of(it, request.service, request.code).load.in_flight;
    auto *load = service_of(it, request.service);
    if (load == nullptr)
        return;
    ++load->in_flight;
    if (request.follows_up)
        ++load->priorities[request.priority].requests;
}

auto end_request(load_tracker &it, std::uint32_t code) -> void {
    const auto found = it.upstreams.find(code);
    if (found == it.upstreams.end() || found->second.load.in_flight == 0)
        return;
    --found->second.load.in_flight;
    const auto service = it.services.find(found->second.service);
    if (service != it.services.end() && service->second.in_flight > 0)
        --service->second.in_flight;
}

auto count_answer(load_tracker &it, service_key service, std::uint32_t code,
                  float ms) -> void {
    if (!it.enabled)
        return;
    auto &upstream = upstream_of(it, service, code).load;
    ++upstream.answers;
    upstream.service_ms += ms;
    if (auto *load = service_of(it, service)) {
        ++load->answers;
        load->service_ms += ms;
    }
}

auto count_rejection(load_tracker &it, service_key service, std::uint32_t code)
    -> void {
    if (!it.enabled)
        return;
    ++upstream_of(it, service, code).load.rejections;
    if (auto *load = service_of(it, service))
        ++load->rejections;
}

auto count_unanswered(load_tracker &it, service_key service, std::uint32_t code)
    -> void {
    if (it.enabled)
        ++upstream_of(it, service, code).unanswered;
}

auto take_report(load_tracker &it, time_point now) -> tracked_load {
    tracked_load taken;
    taken.report.sequence = ++it.sequence;
    if (it.last_taken != time_point{})
        taken.report.interval =
            std::chrono::duration_cast<milliseconds>(now - it.last_taken);
    it.last_taken = now;
    for (const auto &[service, one] : it.services) {
        if (has_load(one))
            taken.report.services.push_back(with_mean(one));
    }
    report_upstreams(it, taken);
    clear_counts(it);
    return taken;
}

auto has_traffic(const load_report &report) -> bool {
    return !report.services.empty() || !report.upstreams.empty();
}

} // namespace dogwoodtrack::carried
