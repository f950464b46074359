#include "fleet_model.hpp"

#include <nlohmann/json.hpp>

#include "fleet_simulation.hpp"

namespace dogwoodtrack::model {

auto simulate(const model_options &options) -> model_report {
    return simulation(options).run();
}

auto to_json(const model_report &report) -> std::string {
    const nlohmann::ordered_json it{
        {"asked", report.asked},
        {"in_time", report.in_time},
        {"late", report.late},
        {"failed", report.failed},
        {"errors", report.errors},
        {"hung", report.hung},
        {"shed", report.shed},
        {"resets", report.resets},
        {"freed", report.freed},
        {"withdrawals", report.withdrawals},
        {"store_calls", report.store_calls},
        {"peer_messages", report.peer_messages},
        {"late_placements", report.late_placements},
        {"old_configurations", report.old_configurations},
        {"stale_balancers", report.stale_balancers},
        {"evacuated_placements", report.evacuated_placements},
        {"final_placements_in_first_domain",
         report.final_placements_in_first_domain},
        {"busiest_to_mean", report.busiest_to_mean},
        {"asked_by_second", report.asked_by_second},
        {"in_time_by_second", report.in_time_by_second}};
    return it.dump(2);
}

} // namespace dogwoodtrack::model
