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

auto on_stop(int) -> void {
    stop_requested = true;
}

auto on_reload(int) -> void {
    reload_requested = true;
}

auto fail(const error &why, int code) -> int {
    log_event(severity::failure, to_string(why.kind),
              {{"message", why.message()}});
    return code;
}

// New settings if the file changed or SIGHUP came. Bad ones are logged, and
// those in effect stay.
auto reload(settings_watch &watch, int argc, char **argv)
    -> std::optional<carried::balancer_options> {
    const auto asked = reload_requested.exchange(false);
    if (!watch.changed() && !asked)
        return std::nullopt;
    const auto next = read_settings(argc, argv);
    if (!next) {
        fail(next.error(), exit_bad_setting);
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
    return carried::run_balancer(it.balancer, platform::packet_codec(), *store,
                                 loop, stop_requested, ready);
}

} // namespace

auto main(int argc, char **argv) -> int {
    auto settings = read_settings(argc, argv);
    if (!settings)
        return fail(settings.error(), exit_bad_setting);
    auto &it = settings.value();
    open_log({.instance = it.balancer.name, .least = it.least_logged});
    if (it.only_check) {
        fmt::print("{}", it.shown);
        return 0;
    }
    settings_watch watch(it.file);
    it.balancer.reload = [&] { return reload(watch, argc, argv); };
    std::signal(SIGTERM, on_stop);
    std::signal(SIGINT, on_stop);
    std::signal(SIGHUP, on_reload);
    if (const auto ended = run(it); !ended)
        return fail(ended.error(), exit_cannot_listen);
    return 0;
}
