#include <algorithm>
#include <limits>
#include <numeric>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "carried/explanation_report.hpp"
#include "carried/quota/cold_quota.hpp"
#include "carried/test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

const service_key other_service = hash_name64("memorial");

auto make_state(request_kind kind = request_kind::idempotent)
    -> steering_state {
    steering_state it;
    auto in_force = make_configuration(1);
    in_force->routes.front().kind = kind;
    in_force->routes.front().target_latency = milliseconds{500};
    it.in_force = in_force;
    it.configuration_confirmed = start;
    it.upstreams_known = true;
    it.position.failure_domain = 1;
    return it;
}

auto add(steering_state &state, const std::string &id,
         std::uint32_t failure_domain = 1) -> upstream & {
    const auto record = make_record(id, 1, failure_domain);
    apply_record(state.upstreams, record, start);
    return state.upstreams.all[state.upstreams.by_id[id]];
}

// Adds `n` upstreams, each after one of another service, so that the indices
// of a copy without those differ.
auto add_interleaved(steering_state &state, std::size_t n) -> void {
    for (std::size_t i = 0; i < n; ++i) {
        auto other = make_record("x-" + std::to_string(i), 1);
        other.service = other_service;
        apply_record(state.upstreams, other, start);
        add(state, "i-" + std::to_string(10 + i),
            static_cast<std::uint32_t>(1 + i % 2));
    }
}

auto explain(const steering_state &state, std::uint16_t port,
             time_point now = start) -> flow_explanation {
    return explain_new_flow(state, opening_packet(port).endpoints, now);
}

auto chosen_id(const flow_explanation &it) -> std::string {
    return it.rule == selection_rule::none ? "" : it.upstreams.front().id;
}

auto reason_of(const flow_explanation &it, const std::string &id) -> ruled_out {
    const auto found =
        std::find_if(it.upstreams.begin(), it.upstreams.end(),
                     [&](const auto &one) { return one.id == id; });
    REQUIRE(found != it.upstreams.end());
    return found->why;
}

auto number_of(const flow_explanation &it, ruled_out why) -> std::size_t {
    return it.reasons[static_cast<std::size_t>(why)];
}

// Explains and then opens a number of flows, and requires the same outcome.
auto check_explained(steering_state &state, selection_rule rule) -> void {
    std::size_t by_rule = 0;
    for (std::uint16_t port = 1; port <= 60; ++port) {
        const auto now = start + milliseconds{port};
        const auto first = explain(state, port, now);
        const auto second = explain(state, port, now);
        const auto placed = steer(state, opening_packet(port), now);
        CHECK(first.decision == placed.kind);
        CHECK(first.refused == placed.why);
        REQUIRE(placed.kind == verdict_kind::forward);
        const auto &id = state.upstreams.all[placed.to].record.id;
        CHECK(chosen_id(first) == id);
        CHECK(chosen_id(second) == id);
        by_rule += first.rule == rule ? 1 : 0;
    }
    CHECK(by_rule > 0);
}

} // namespace

// Guards against an explanation that names another upstream than the flow gets,
// and against one that changes the state by which flows are placed.
TEST_CASE("the explanation names the upstream that the next flow gets") {
    auto state = make_state();
    add_interleaved(state, 8);
    SUBCASE("without a plan") {
        check_explained(state, selection_rule::lowest_load);
    }
    SUBCASE("by a plan with spill shares, speeds and limits") {
        service_plan plan{.service = bookings,
                          .spill = {{.failure_domain = 2, .share = 0.3F}},
                          .limit = 16};
        for (const auto index : state.upstreams.placeable[bookings])
            plan.upstreams.push_back({.code = state.upstreams.all[index].code,
                                      .speed = index % 3 == 0 ? 0.6F : 1.4F,
                                      .limit = 4});
        use_plan(state.plans, plan, start);
        check_explained(state, selection_rule::load_plan);
    }
    SUBCASE("with an upstream on probation whose trial flow is due") {
        auto &stats = add(state, "i-00").stats;
        stats.ejections = 1;
        stats.failure_score = 100;
        stats.ejected_until = start - milliseconds{100};
        check_explained(state, selection_rule::trial);
    }
    SUBCASE("with an index that names an upstream of another service") {
        use_plan(state.plans, {.service = bookings}, start);
        steer(state, opening_packet(99), start);
        auto &one = state.upstreams.all[1];
        one.record.service = other_service;
        std::erase(state.upstreams.placeable[bookings], 1U);
        check_explained(state, selection_rule::load_plan);
    }
}

// Guards against operators who are told that an upstream has a high load when
// another rule keeps flows from it.
TEST_CASE("each upstream that is ruled out has the reason that applies") {
    auto state = make_state(request_kind::non_idempotent);
    add(state, "i-chosen");
    add(state, "i-busy").stats.open = 1;
    add(state, "i-equal");
    add(state, "i-other", 2);
    add(state, "i-evacuated", 3);
    set_evacuated_domains(state.upstreams, {3});
    auto draining = make_record("i-draining", 2);
    draining.state = upstream_state::draining;
    apply_record(state.upstreams, draining, start);
    add(state, "i-removed");
    auto removed = make_record("i-removed", 3);
    removed.state = upstream_state::gone;
    apply_record(state.upstreams, removed, start);
    add(state, "i-ejected").stats.ejected_until = start + seconds{1};
    auto &probation = add(state, "i-probation").stats;
    probation.ejections = 1;
    probation.failure_score = 100;
    probation.ejected_until = start - milliseconds{1};
    auto &silent = add(state, "i-silent").stats;
    silent.avoid_until = start + seconds{1};
    silent.last_trial = start;
    add(state, "i-unreachable", 2).death = upstream_death::cut_off;
    const auto it = explain(state, 7);
    CHECK(it.decision == verdict_kind::forward);
    CHECK(it.rule == selection_rule::lowest_load);
    CHECK(chosen_id(it) == "i-chosen");
    CHECK(it.upstreams.size() == 11);
    CHECK(it.left_out == 0);
    const auto expect = [&](const char *id, ruled_out why) {
        CAPTURE(id);
        CHECK(to_string(reason_of(it, id)) == to_string(why));
    };
    expect("i-chosen", ruled_out::chosen);
    expect("i-busy", ruled_out::higher_load);
    expect("i-equal", ruled_out::not_in_turn);
    expect("i-other", ruled_out::other_domain);
    expect("i-evacuated", ruled_out::evacuated);
    expect("i-draining", ruled_out::draining);
    expect("i-removed", ruled_out::removed);
    expect("i-ejected", ruled_out::ejected);
    expect("i-probation", ruled_out::on_probation);
    expect("i-silent", ruled_out::silent);
    expect("i-unreachable", ruled_out::cut_off);
}

// Guards against cold upstreams and those at their planned limit that look idle
// to operators.
TEST_CASE("cold upstreams beyond the quota and planned limits are reasons") {
    auto state = make_state();
    auto in_force = make_configuration(1);
    in_force->routes.front().services.front().cold_per_s = 0.1;
    state.in_force = in_force;
    update_cold_limits(state.upstreams.cold, in_force.get(), {.overage = 1});
    add(state, "i-warm");
    for (const auto domain : {1U, 2U}) {
        auto record =
            make_record("i-cold-" + std::to_string(domain), 1, domain);
        record.cold_remaining = seconds{5};
        apply_record(state.upstreams, record, start);
    }
    auto &full = add(state, "i-full");
    full.stats.open = 1;
    use_plan(state.plans,
             {.service = bookings,
              .upstreams = {{.code = full.code, .speed = 1, .limit = 1}}},
             start);
    const auto before = state.upstreams.cold.counters.over_share;
    const auto it = explain(state, 7);
    CHECK(chosen_id(it) == "i-warm");
    CHECK(reason_of(it, "i-cold-1") == ruled_out::cold_over_quota);
    CHECK(reason_of(it, "i-cold-2") == ruled_out::cold_other_domain);
    CHECK(reason_of(it, "i-full") == ruled_out::at_planned_limit);
    CHECK(state.upstreams.cold.counters.over_share == before);
}

// Guards against flows that go to an upstream that fails while the explanation
// calls it the least loaded one.
TEST_CASE("the last resort is called by its name") {
    auto state = make_state();
    for (const auto *id : {"i-0", "i-1"})
        add(state, id).stats.ejected_until = start + seconds{1};
    const auto it = explain(state, 7);
    CHECK(it.rule == selection_rule::last_resort);
    CHECK(chosen_id(it) == "i-0");
    CHECK(reason_of(it, "i-1") == ruled_out::ejected);
}

// Guards against a rejection by admission that is explained as if the flow was
// placed, and against the explanation of one opening that uses up the admission
// of another.
TEST_CASE("admission is explained and its state is not changed") {
    auto state = make_state();
    add(state, "i-0");
    use_plan(state.plans,
             {.service = bookings, .admit = {0.25F, 1, 1, 1}, .limit = 240},
             start);
    const auto now = start + milliseconds{250};
    SUBCASE("disabled: the fraction is shown, and all flows are placed") {
        const auto it = explain(state, 7, now);
        REQUIRE(it.admission);
        CHECK_FALSE(it.admission->enabled);
        CHECK(it.admission->fraction == 0.25F);
        CHECK(it.admission->on_average == admission_decision::admit);
        CHECK(it.decision == verdict_kind::forward);
    }
    SUBCASE("a part is admitted") {
        state.admission.enabled = true;
        std::size_t forwarded = 0;
        for (std::uint16_t port = 1; port <= 80; ++port) {
            const auto at = now + milliseconds{port};
            auto header = opening_packet(port);
            // Openings that follow a rejection of their caller do not count.
            header.endpoints.caller.address += port;
            const auto it = explain_new_flow(state, header.endpoints, at);
            const auto decision = steer(state, header, at);
            CHECK(it.decision == decision.kind);
            CHECK(it.refused == decision.why);
            REQUIRE(it.admission);
            CHECK((it.admission->now == admission_decision::admit) ==
                  (decision.kind == verdict_kind::forward));
            CHECK(it.admission->otherwise != admission_decision::admit);
            CHECK(it.admission->on_average == it.admission->otherwise);
            // Where it goes once it is admitted.
            CHECK(chosen_id(it) == "i-0");
            forwarded += decision.kind == verdict_kind::forward ? 1 : 0;
        }
        CHECK(forwarded >= 19);
        CHECK(forwarded <= 21);
    }
    SUBCASE("none is admitted") {
        state.admission.enabled = true;
        state.plans.services.front().plan.admit[0] = 0;
        const auto it = explain(state, 7, now);
        CHECK(it.decision == verdict_kind::reject);
        CHECK(it.refused == refusal::overload);
        CHECK(it.admission->on_average == admission_decision::reject);
        CHECK(it.admission->plan_age == milliseconds{250});
        CHECK(it.admission->origin == plan_origin::coordinator);
        CHECK(it.admission->limit == 240);
        CHECK(state.admission.services.empty());
        CHECK(state.admission.callers.all.empty());
        CHECK(state.admission.changes.empty());
    }
}

// Guards against a missing route, configuration or evacuation list that is
// taken for a lack of upstreams.
TEST_CASE("what is not known is told apart") {
    auto state = make_state();
    add(state, "i-0", 2);
    auto unknown = opening_packet(7).endpoints;
    unknown.service.port = 9;
    const auto no_route = explain_new_flow(state, unknown, start);
    CHECK_FALSE(no_route.route);
    CHECK(no_route.configuration_current);
    CHECK(no_route.decision == verdict_kind::reject);
    CHECK(no_route.refused == refusal::no_route);
    const auto late =
        explain_new_flow(state, unknown, start + configuration_max_age);
    CHECK_FALSE(late.configuration_current);
    CHECK(late.decision == verdict_kind::drop);

    state.evacuations_known = false;
    const auto held = explain(state, 7);
    CHECK(held.decision == verdict_kind::hold);
    CHECK_FALSE(held.evacuations_known);
    CHECK(held.rule == selection_rule::none);
    CHECK(reason_of(held, "i-0") == ruled_out::undecided);

    state.evacuations_known = true;
    set_evacuated_domains(state.upstreams, {2});
    const auto evacuated = explain(state, 7);
    CHECK(evacuated.decision == verdict_kind::reject);
    CHECK(evacuated.refused == refusal::evacuated);
    CHECK(reason_of(evacuated, "i-0") == ruled_out::evacuated);

    state.in_force = nullptr;
    const auto starting = explain(state, 7);
    CHECK(starting.decision == verdict_kind::hold);
    CHECK_FALSE(starting.configuration_known);
}

// Guards against answers of a megabyte in large fleets, and against numbers
// that leave out what is not listed.
TEST_CASE("at most 50 upstreams are listed, the chosen one first") {
    auto state = make_state();
    for (std::size_t i = 0; i < 60; ++i)
        add(state, "a-" + std::to_string(100 + i), 2);
    for (std::size_t i = 0; i < 20; ++i)
        add(state, "b-" + std::to_string(100 + i));
    const auto it = explain(state, 7);
    REQUIRE(it.upstreams.size() == max_explained_upstreams);
    CHECK(it.left_out == 30);
    CHECK(it.upstreams[0].why == ruled_out::chosen);
    CHECK(it.upstreams[19].failure_domain == 1);
    CHECK(it.upstreams[20].id == "a-100");
    CHECK(number_of(it, ruled_out::other_domain) == 60);
    CHECK(std::accumulate(it.reasons.begin(), it.reasons.end(),
                          std::size_t{0}) == 80);
}

// Guards against answers that are not valid JSON because of what another writer
// has put into the store.
TEST_CASE("the explanation is valid JSON whatever the names and numbers") {
    auto state = make_state();
    add(state, "i-\"0\"\n");
    use_plan(
        state.plans,
        {.service = bookings, .limit = std::numeric_limits<float>::infinity()},
        start);
    const auto reply =
        explain_reply(state, "b-0", "/explain?service=198.18.0.1:443", start);
    CHECK(reply.status == 200);
    const auto json = nlohmann::json::parse(reply.body);
    CHECK(json["instance"] == "b-0");
    CHECK(json["service"] == "198.18.0.1:443");
    CHECK(json["caller"].is_null());
    CHECK(json["route"]["kind"] == "idempotent");
    CHECK(json["route"]["target_latency_ms"] == 500);
    CHECK(json["admission"]["limit"].is_null());
    CHECK(json["decision"] == "forward");
    CHECK(json["chosen"] == "i-\"0\"\n");
    CHECK(json["upstreams"][0]["why"] == "chosen");
    CHECK(json["reasons"]["chosen"] == 1);
}

// Guards against typing errors that are answered for another flow than the
// operator asks about.
TEST_CASE("malformed requests are answered with what is wrong") {
    const auto state = make_state();
    const auto check_error = [&](const char *target, const char *part) {
        CAPTURE(target);
        const auto reply = explain_reply(state, "b-0", target, start);
        CHECK(reply.status == 400);
        const auto json = nlohmann::json::parse(reply.body);
        CHECK(json["error"].get<std::string>().find(part) != std::string::npos);
    };
    check_error("/explain", "service is missing");
    check_error("/explain?", "");
    check_error("/explain?service=", "service: ''");
    check_error("/explain?service=198.18.0.1", "service: '198.18.0.1'");
    check_error("/explain?service=booking:443", "service: 'booking:443'");
    check_error("/explain?service=198.18.0.1:443&caller=x", "caller: 'x'");
    check_error("/explain?service=198.18.0.1:443&service=198.18.0.1:443",
                "service is given twice");
    check_error("/explain?service=198.18.0.1:443&port=1", "'port'");
    check_error("/explain?service=%zz", "not a valid path");
    const auto parsed = parse_explain_target(
        "/explain?caller=100.64.0.7%3A7&service=198.18.0.1%3A443");
    REQUIRE(parsed);
    CHECK(parsed.value() == opening_packet(7).endpoints);
}
