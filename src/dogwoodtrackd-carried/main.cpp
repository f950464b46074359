#include <atomic>
#include <csignal>

#include <fmt/format.h>

#include "packet_codec.hpp"
#include "readiness.hpp"
#include "settings.hpp"
#include "store_client.hpp"

namespace {

using namespace dogwoodtrack;

constexpr int exit_bad_setting = 2;
constexpr int exit_cannot_listen = 3;

std::atomic<bool> stop_requested{false};
std::atomic<bool> reload_requested{false};

auto on_stop_signal(int) -> void {
    stop_requested = true;
}

auto on_reload_signal(int) -> void {
    reload_requested = true;
}

auto log_failure(const error &why, int code) -> int {
    log_event(severity::failure, to_string(why.kind),
              {{"message", why.message()}});
    return code;
}

// Returns the new settings if the settings file has changed or SIGHUP was
// received. Invalid settings are logged, and the current ones stay in effect.
auto reload(settings_file_watch &watch, int argc, char **argv)
    -> std::optional<carried::balancer_options> {
    const auto requested = reload_requested.exchange(false);
    if (!watch.changed() && !requested)
        return std::nullopt;
    const auto next = read_settings(argc, argv);
    if (!next) {
        log_failure(next.error(), exit_bad_setting);
        return std::nullopt;
    }
    return next.value().balancer;
}

auto run(const carried_settings &it) -> result<void> {
    carried::event_loop loop;
    std::atomic<bool> ready{false};
    const auto store = platform::make_store_client(it.store, loop);
    BOOST_OUTCOME_TRY(const auto port,
                      carried::http_responder::open(
                          it.ready, loop, [&](std::string_view path) {
                              return platform::readiness_reply(path, ready);
                          }));
    return carried::run_balancer(it.balancer, platform::make_packet_codec(),
                                 *store, loop, stop_requested, ready);
}

} // namespace

auto main(int argc, char **argv) -> int {
    auto settings = read_settings(argc, argv);
    if (!settings)
        return log_failure(settings.error(), exit_bad_setting);
    auto &it = settings.value();
    open_log({.instance = it.balancer.name, .min_severity = it.min_severity});
    if (it.check_only) {
        fmt::print("{}", it.effective_settings);
        return 0;
    }
    settings_file_watch watch(it.file);
    it.balancer.reload = [&] { return reload(watch, argc, argv); };
    std::signal(SIGTERM, on_stop_signal);
    std::signal(SIGINT, on_stop_signal);
    std::signal(SIGHUP, on_reload_signal);
    if (const auto outcome = run(it); !outcome)
        return log_failure(outcome.error(), exit_cannot_listen);
    return 0;
}
