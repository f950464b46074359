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
    it.store_era.era = 3;
    CHECK(metrics_text(it, {}, start).find("\ndogwoodtrack_store_era 3\n") !=
          std::string::npos);
    CHECK(status["can_serve"] == false);
    CHECK(status["flows"] == 0);
    CHECK(status["feeds"]["upstreams"]["unconfirmed_ms"] == -1);
    CHECK(status["upstreams"][0]["ejected"] == true);
    CHECK(status["upstreams"][1]["ejected"] == false);
}
