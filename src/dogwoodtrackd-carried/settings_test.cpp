#include <cstdlib>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

#include <doctest/doctest.h>

#include "settings.hpp"

using namespace dogwoodtrack;

namespace {

const std::string required_settings = R"(name = "a"
failure-domain = "z"
link = "127.0.0.1:1"
peers = "127.0.0.1:2"
ready = "127.0.0.1:3"
store = "127.0.0.1:5"
)";

// Reads the settings from a file with this content.
auto read(const std::string &content) -> result<carried_settings> {
    char path[] = "/tmp/dogwoodtrack-settings-XXXXXX";
    const auto fd = mkstemp(path);
    REQUIRE(fd >= 0);
    close(fd);
    std::ofstream(path) << content;
    std::string words[] = {"dogwoodtrackd-carried", "--settings", path};
    std::vector<char *> argv{words[0].data(), words[1].data(), words[2].data()};
    auto settings = read_settings(static_cast<int>(argv.size()), argv.data());
    unlink(path);
    return settings;
}

} // namespace

// Guards against a balancer that does not start once a time in the settings is
// a fraction.
TEST_CASE("times in the settings may be fractions") {
    const auto settings = read(required_settings + R"(stop-deadline = 6.5
flow-lifetime = 60.25
apply-within-ms = 3000.4
drain-within-ms = 2999.6
)");
    REQUIRE(settings);
    const auto &it = settings.value().balancer;
    CHECK(it.stop_deadline == milliseconds{5'800});
    CHECK(it.flow_lifetime == milliseconds{60'250});
    CHECK(it.apply_within == milliseconds{3'000});
}

TEST_CASE("times in the settings may be whole numbers in any notation") {
    const auto settings = read(required_settings + R"(stop-deadline = 7
flow-lifetime = 6e1
apply-within-ms = 2.5e3
drain-within-ms = 4000
evacuate-within-ms = 5000
)");
    REQUIRE(settings);
    const auto &it = settings.value().balancer;
    CHECK(it.stop_deadline == milliseconds{6'300});
    CHECK(it.flow_lifetime == milliseconds{60'000});
    CHECK(it.apply_within == milliseconds{2'500});
    CHECK(it.evacuate_within == milliseconds{5'000});
}

// Guards against a balancer that does not start because the platform knows no
// seed, or leaves a setting out.
TEST_CASE("a setting without a value counts as not given") {
    const auto settings = read(required_settings + R"(seed = []
operators = ""
cores =
first-start =
stop-deadline =
evacuate-within-ms =
)");
    REQUIRE(settings);
    const auto &it = settings.value().balancer;
    CHECK(it.seeds.empty());
    CHECK(it.operators.port == 0);
    CHECK_FALSE(it.first_start);
    CHECK(it.evacuate_within == milliseconds{0});
    CHECK_FALSE(it.admission);
    CHECK(it.stop_deadline == milliseconds{5'300});
}

// Guards against limits that apply on a platform that does not ask for them,
// and against settings that are not read.
TEST_CASE("limits of cold upstreams are off if their settings are empty") {
    const auto off = read(required_settings + R"(cold-overage =
cold-slack =
)");
    REQUIRE(off);
    CHECK(off.value().balancer.cold == carried::cold_bounds{});
    const auto on = read(required_settings + R"(cold-overage = 1.5
cold-slack = 5
)");
    REQUIRE(on);
    CHECK(on.value().balancer.cold.overage == 1.5);
    CHECK(on.value().balancer.cold.slack == 5);
}

// Guards against a daemon that exchanges load although its operator did not
// enable it.
TEST_CASE("the load exchange is off unless it is set") {
    const auto settings = read(required_settings + "load-plans =\n");
    REQUIRE(settings);
    CHECK_FALSE(settings.value().balancer.load_plans);
    const auto on = read(required_settings + R"(load-plans = true
domain-traffic-price = 0.25
min-share = 0.1
)");
    REQUIRE(on);
    CHECK(on.value().balancer.load_plans);
    CHECK(on.value().balancer.domain_traffic_price == 0.25);
    CHECK(on.value().balancer.min_share == 0.1);
}

TEST_CASE("a wrong setting is rejected with its name") {
    for (const std::string line :
         {"stop-deadline = -1", "stop-deadline = soon", "flow-lifetime = 0",
          "apply-within-ms = 99", "drain-within-ms = 1e9", "link = \"a:b\"",
          "evacuate-within-ms = 99", "evacuate-within-ms = -1",
          "cold-overage = -1", "cold-slack = much", "no-such-setting = 1",
          "link =", "load-plans = maybe", "domain-traffic-price = -1",
          "admission = maybe", "min-share = 0.5"}) {
        CAPTURE(line);
        auto content = required_settings;
        if (line.starts_with("link"))
            content.erase(content.find("link"),
                          content.find("peers") - content.find("link"));
        const auto settings = read(content + line + "\n");
        REQUIRE_FALSE(settings);
        CHECK_FALSE(settings.error().detail.empty());
    }
}

// Guards against a price that a typing error has made negative, which would
// send every flow away from its failure domain.
TEST_CASE("the price of traffic between failure domains is at least 0") {
    CHECK(read(required_settings).value().balancer.domain_traffic_price ==
          0.5F);
    const auto dear = read(required_settings + "domain-traffic-price = 12.5\n");
    REQUIRE(dear);
    CHECK(dear.value().balancer.domain_traffic_price == 12.5F);
    CHECK_FALSE(read(required_settings + "domain-traffic-price = -1\n"));
}
