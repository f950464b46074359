#pragma once

#include <cstdlib>
#include <filesystem>
#include <random>

#include "clients.hpp"

namespace review {

/// A small deployment on loopback addresses: 7 machines in 3 zones, 18 hosts of
/// two services, a store and the clients of each zone.
class deployment {
public:
    // Bounds of the deployment.
    static constexpr milliseconds drain_bound{3'000};
    static constexpr milliseconds stable_window{4'000};
    static constexpr milliseconds recovery_bound{12'000};

    explicit deployment(const std::string &record_path) : log(record_path) {
        pick_ports();
        host::client_port = ports_.link;
        entries = std::make_unique<store>(loop, store_address_);
        put_configuration();
        add_hosts();
        add_machines();
        for (unsigned zone = 0; zone < zones.size(); ++zone)
            sites.push_back(std::make_unique<client_site>(
                loop, log, zones[zone],
                endpoint{make_address(127, 77, zone, 10), ports_.link},
                machines));
    }

    ~deployment() {
        for (const auto &it : machines)
            it->send_signal(SIGKILL);
        for (const auto &it : machines) {
            while (!it->reap(false))
                usleep(1'000);
        }
        std::filesystem::remove_all(folder_);
    }
    deployment(const deployment &) = delete;
    auto operator=(const deployment &) -> deployment & = delete;

    /// Starts the machines and the checks of their readiness.
    auto start() -> void {
        for (const auto &it : machines)
            it->start();
        // Later starts are not the first start of the whole system.
        loop.after(milliseconds{2'000}, [this] { write_settings(false); });
        loop.every(milliseconds{50}, [this] {
            for (const auto &it : machines)
                it->reap(true);
        });
        loop.every(milliseconds{500}, [this] {
            for (const auto &it : machines)
                it->check_readiness();
        });
    }

    /// Opens flows from each zone: one per `interval`, the routes in turn.
    auto send_traffic(milliseconds interval, int requests_in_flow,
                      milliseconds pause) -> void {
        loop.every(interval, [this, requests_in_flow, pause] {
            if (traffic_stopped)
                return;
            for (std::size_t i = 0; i < sites.size(); ++i)
                sites[i]->open_flow(routes[(i + rounds_) % routes.size()],
                                    requests_in_flow, pause);
            ++rounds_;
        });
    }

    /// The settings files change: `bounds.grace_s` has this value. All
    /// processes get SIGHUP.
    auto change_grace(const std::string &seconds) -> void {
        grace_ = seconds;
        write_settings(false);
        log.line("the settings files change: grace_s %s", seconds.c_str());
        for (const auto &it : machines)
            it->send_signal(SIGHUP);
    }

    /// Kills all processes and starts them again after `pause`, as after a loss
    /// of power.
    auto kill_all(milliseconds pause) -> void {
        for (const auto &it : machines)
            it->send_signal(SIGKILL);
        write_settings(false);
        loop.after(pause, [this] {
            for (const auto &it : machines) {
                it->reap(false);
                it->start();
            }
            restarted_at = clock_type::now();
        });
    }

    /// Starts one more host, in the zones by turns.
    auto add_host(const std::string &service, milliseconds work) -> host & {
        const auto i = static_cast<unsigned>(hosts.size());
        const auto zone = i % 3;
        return add_host(
            0x7f3a0000U + i * 0x1357U, service, zones[zone],
            endpoint{make_address(127, 128, zone, 1 + i), host_port_}, work);
    }

    /// Starts a host with this number and address.
    auto add_host(std::uint32_t number, const std::string &service,
                  const std::string &zone, const endpoint &address,
                  milliseconds work) -> host & {
        char id[16];
        std::snprintf(id, sizeof id, "i-%08x", number);
        hosts.push_back(std::make_unique<host>(loop, *entries, log, id, service,
                                               zone, address, work));
        return *hosts.back();
    }

    auto find_host(const std::string &id) -> host * {
        for (const auto &it : hosts) {
            if (it->id() == id)
                return it.get();
        }
        return nullptr;
    }

    /// All runs, each with the time at which its flow's first SYN was sent.
    auto all_runs() const -> std::vector<run> {
        std::map<int, time_point> sent;
        for (const auto &site : sites) {
            for (const auto &it : site->requests())
                sent[it.id] = it.syn_sent;
        }
        std::vector<run> runs;
        for (const auto &one : hosts) {
            for (auto it : one->runs()) {
                it.syn_sent = sent[it.request];
                runs.push_back(it);
            }
        }
        return runs;
    }

    auto all_requests() const -> std::vector<request> {
        std::vector<request> all;
        for (const auto &site : sites)
            all.insert(all.end(), site->requests().begin(),
                       site->requests().end());
        return all;
    }

    /// The operator adds routes that see no traffic.
    auto grow_configuration(int routes_added) -> void {
        idle_routes_ += routes_added;
        put_configuration();
        log.line("the configuration grows by %d routes", routes_added);
    }

    /// The operator writes the configuration, with a new version.
    auto put_configuration() -> void {
        const std::string services[] = {"bestellung", "bestellung", "abholung"};
        std::string text;
        for (std::size_t i = 0; i < routes.size(); ++i)
            text += (i > 0 ? "," : "") + route_text(routes[i].name,
                                                    routes[i].address, kinds[i],
                                                    services[i]);
        for (int i = 0; i < idle_routes_; ++i)
            text += "," + route_text("idle-" + std::to_string(i),
                                     {make_address(127, 198, 1, 1),
                                      static_cast<std::uint16_t>(9'000 + i)},
                                     "safe", "abholung");
        entries->put("config", "main",
                     "{\"version\":" + std::to_string(version_ += 3) +
                         ",\"routes\":[" + text +
                         "],\"services\":[{\"name\":\"bestellung\","
                         "\"health_path\":\"/health\",\"max_flows\":2000},"
                         "{\"name\":\"abholung\",\"health_path\":\"/health\","
                         "\"max_flows\":2000}],\"limits\":"
                         "{\"idle_timeout_ms\":15000}}");
    }

    event_loop loop;
    record log;
    std::unique_ptr<store> entries;
    std::vector<std::unique_ptr<host>> hosts;
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<std::unique_ptr<client_site>> sites;
    bool traffic_stopped = false;
    time_point restarted_at{};

    const std::vector<std::string> zones{"mitte-a", "mitte-b", "mitte-c"};
    const std::vector<route> routes{
        {"stock-check",
         {make_address(127, 198, 0, 1), 8443},
         milliseconds{2'000}},
        {"reserve", {make_address(127, 198, 0, 1), 8080}, milliseconds{2'500}},
        {"pickup-list",
         {make_address(127, 198, 0, 2), 8443},
         milliseconds{5'000}}};
    const std::vector<std::string> kinds{"safe", "unsafe", "download"};

private:
    static auto route_text(const std::string &name, const endpoint &address,
                           const std::string &kind, const std::string &service)
        -> std::string {
        return "{\"name\":\"" + name + "\",\"host\":\"" +
               to_text(address.address) + "\",\"path_prefix\":\"/" +
               std::to_string(address.port) + "/\",\"route_type\":\"" + kind +
               "\",\"timeout_ms\":2000,\"target_latency_ms\":200,"
               "\"priority\":1,\"service\":\"" +
               service + "\",\"max_attempts\":2}";
    }

    static auto is_free(const endpoint &it, int type) -> bool {
        const auto fd = try_open_socket(type, it);
        if (fd >= 0)
            close(fd);
        return fd >= 0;
    }

    // Picks ports that are free on 127.0.0.1 and on the addresses used.
    auto pick_ports() -> void {
        std::random_device random;
        while (true) {
            const auto base =
                static_cast<std::uint16_t>(20'000 + random() % 10'000);
            ports_ = {.link = base,
                      .ready = static_cast<std::uint16_t>(base + 1),
                      .control = static_cast<std::uint16_t>(base + 2),
                      .internal = static_cast<std::uint16_t>(base + 3)};
            auto free = true;
            for (std::uint16_t port = base; port < base + 8; ++port) {
                for (const auto address :
                     {make_address(127, 0, 0, 1), machine_address(0, 0),
                      make_address(127, 200, 1, 7),
                      make_address(127, 77, 0, 10),
                      make_address(127, 128, 0, 1)})
                    free = free && is_free({address, port}, SOCK_DGRAM) &&
                           is_free({address, port}, SOCK_STREAM);
            }
            store_address_ = {make_address(127, 200, 1, 7),
                              static_cast<std::uint16_t>(base + 5)};
            host_port_ = static_cast<std::uint16_t>(base + 6);
            if (free)
                return;
        }
    }

    static auto machine_address(unsigned zone, unsigned n) -> std::uint32_t {
        return make_address(127, 1 + zone, 0, 10 + n);
    }

    auto add_hosts() -> void {
        for (int i = 0; i < 14; ++i)
            add_host("bestellung", milliseconds{40});
        for (int i = 0; i < 4; ++i)
            add_host("abholung", milliseconds{5});
    }

    auto add_machines() -> void {
        folder_ = std::filesystem::temp_directory_path() /
                  ("review-" + std::to_string(getpid()));
        std::filesystem::create_directories(folder_);
        const unsigned counts[] = {3, 2, 2};
        for (unsigned zone = 0; zone < zones.size(); ++zone) {
            for (unsigned n = 0; n < counts[zone]; ++n) {
                const auto name =
                    "front-" + zones[zone] + "-" + std::to_string(n + 1);
                machines.push_back(std::make_unique<machine>(
                    loop, log, name, zones[zone], machine_address(zone, n),
                    ports_, (folder_ / name).string()));
            }
        }
        write_settings(true);
    }

    static auto replace(std::string &text, const std::string &from,
                        const std::string &to) -> void {
        for (auto at = text.find(from); at != std::string::npos;
             at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
    }

    // Fills in the template of the deploy file.
    auto write_settings(bool bootstrap) -> void {
        std::ifstream file("deploy/settings.conf");
        std::stringstream whole;
        whole << file.rdbuf();
        std::string seeds;
        for (const unsigned zone : {0U, 1U, 2U})
            seeds += (zone > 0 ? ",\"" : "\"") +
                     to_text({machine_address(zone, 0), ports_.control}) + "\"";
        for (const auto &it : machines) {
            auto text = whole.str();
            replace(text, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds);
            replace(text, "{{node_id}}", it->name());
            replace(text, "{{zone}}", it->zone());
            replace(text, "{{ip}}", to_text(it->link().address));
            replace(text, "{{listen.datagram_addr}}", to_text(it->link()));
            replace(text, "{{listen.ready}}", to_text(it->ready()));
            replace(text, "{{internal_ports.0}}",
                    std::to_string(ports_.internal));
            replace(text, "{{internal_ports.1}}",
                    std::to_string(ports_.internal + 1));
            replace(text, "{{platform.address}}", to_text(store_address_));
            replace(text, "{{limits.cpu_share}}", "0.25");
            replace(text, "{{bootstrap}}", bootstrap ? "true" : "false");
            replace(text, "{{bounds.grace_s}}", grace_);
            replace(text, "{{bounds.flow_lifetime_s}}", "60");
            replace(text, "{{bounds.config_apply_ms}}", "3000");
            replace(text, "{{bounds.drain_ms}}", "3000");
            const auto path = folder_ / it->name();
            const auto draft = folder_ / "draft";
            std::ofstream(draft) << text;
            std::filesystem::rename(draft, path);
        }
    }

    int idle_routes_ = 8;
    std::string grace_ = "6";
    int version_ = 1;
    machine_ports ports_;
    endpoint store_address_;
    std::uint16_t host_port_ = 0;
    std::filesystem::path folder_;
    std::size_t rounds_ = 0;
};

} // namespace review
