#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "carried/report.hpp"
#include "carried/test_support.hpp"
#include "carried/upstreams/outlier_ejection.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

TEST_CASE("the status is valid JSON with the fields that `dogwoodtrack status` "
          "reads") {
    auto it = make_blackboard(1);
    auto &upstreams = it.steering.upstreams;
    for (int i = 0; i < 5; ++i)
        apply_record(upstreams, make_record("i-" + std::to_string(i), 7 + i),
                     start);
    for (int n = 0; n < 3; ++n)
        record_outcome(upstreams, 0, request_outcome::error, start);
    const auto status =
        nlohmann::json::parse(status_json(it, "balancer-1", start));
    CHECK(status["instance"] == "balancer-1");
    CHECK(status["can_serve"] == false);
    CHECK(status["flows"] == 0);
    CHECK(status["feeds"]["upstreams"]["unconfirmed_ms"] == -1);
    CHECK(status["upstreams"][0]["ejected"] == true);
    CHECK(status["upstreams"][1]["ejected"] == false);
}

// Guards against operators who cannot see why openings are rejected.
TEST_CASE("the metrics show the plan and the outcomes of admission, if it is "
          "enabled") {
    auto it = make_blackboard(1);
    it.steering.in_force = make_configuration(1);
    it.steering.plans.last.services.push_back(
        {.service = bookings, .admit = {1, 0.5F, 0, 0}, .limit = 240});
    const auto contains = [&](const char *text) {
        return metrics_text(it, {}, start).find(text) != std::string::npos;
    };
    CHECK(contains("dogwoodtrack_refused_total{why=\"overload\"} 0"));
    CHECK_FALSE(contains("dogwoodtrack_admission_total"));
    it.steering.admission.enabled = true;
    CHECK(contains("dogwoodtrack_admission_total{outcome=\"displaced\","));
    CHECK(contains("priority=\"1\"} 0.500"));
    CHECK(contains("dogwoodtrack_queued_openings 0"));
    CHECK(contains("dogwoodtrack_load_limit{service="));
}
