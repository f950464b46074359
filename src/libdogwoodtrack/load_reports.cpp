#include "load_reports.hpp"

namespace dogwoodtrack {

namespace {

auto count_open(const routing_view &view, const domain_route &domain)
    -> std::uint32_t {
    std::uint32_t open = 0;
    for (const auto index : domain.upstreams) {
        // Flows at an upstream that is out of service put no load on the
        // upstreams in service.
        const auto &upstream = view.upstreams[index];
        open += upstream.in_service ? upstream.load->open.load() : 0;
    }
    return open;
}

// Returns the load reports about the services that this instance owns: one for
// each owner of any of these services in another reachable failure domain. The
// key is the member id of that owner.
auto collect_reports(const blackboard &board)
    -> std::map<std::uint32_t, wire::Envelope> {
    std::map<std::uint32_t, wire::Envelope> reports;
    for (const auto &service : board.view->services) {
        const domain_route *own = nullptr;
        for (const auto &domain : service.domains) {
            if (domain.failure_domain == board.self.failure_domain &&
                domain.owner == board.self.id)
                own = &domain;
        }
        if (own == nullptr)
            continue;
        for (const auto &domain : service.domains) {
            if (&domain == own || domain.owner == 0 || !domain.reachable)
                continue;
            auto &report = *reports[domain.owner].mutable_loads();
            report.set_failure_domain(board.self.failure_domain);
            auto *load = report.add_loads();
            load->set_service(service.id);
            load->set_open(own->load->open.load());
        }
    }
    return reports;
}

} // namespace

auto update_own_loads(blackboard &board) -> void {
    if (!board.view)
        return;
    for (const auto &service : board.view->services) {
        for (const auto &domain : service.domains) {
            if (domain.failure_domain != board.self.failure_domain)
                continue;
            domain.load->open.store(count_open(*board.view, domain));
            domain.load->known.store(is_synced(board, service.id));
        }
    }
}

auto send_load_reports(blackboard &board, time_point now,
                       control_actions &actions) -> void {
    if (!board.view || now < board.next_load_report)
        return;
    board.next_load_report = now + board.options.load_report;
    for (const auto &[owner, report] : collect_reports(board)) {
        const auto peer = board.peers.find(owner);
        if (peer != board.peers.end())
            send_to(actions, peer->second, report);
    }
}

auto on_load_report(blackboard &board, const wire::LoadReport &report) -> void {
    for (const auto &it : report.loads()) {
        const auto found =
            board.domain_loads.find({it.service(), report.failure_domain()});
        if (found == board.domain_loads.end())
            continue;
        found->second->open.store(it.open());
        found->second->known.store(true);
    }
}

} // namespace dogwoodtrack
