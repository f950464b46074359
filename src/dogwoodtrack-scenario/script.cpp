#include "script.hpp"

#include <fmt/format.h>
#include <lua.hpp>

namespace dogwoodtrack::scenario {

namespace {

struct script_state {
    session &play;
    script_outcome &outcome;
    bool verbose = false;
};

auto state_of(lua_State *lua) -> script_state & {
    return **static_cast<script_state **>(lua_getextraspace(lua));
}

auto to_json(lua_State *lua, int index) -> json;

auto table_to_json(lua_State *lua, int index) -> json {
    const auto at = lua_absindex(lua, index);
    const auto length = lua_rawlen(lua, at);
    json value = length > 0 ? json::array() : json::object();
    for (lua_Unsigned i = 1; i <= length; ++i) {
        lua_rawgeti(lua, at, static_cast<lua_Integer>(i));
        value.push_back(to_json(lua, -1));
        lua_pop(lua, 1);
    }
    if (length > 0)
        return value;
    lua_pushnil(lua);
    while (lua_next(lua, at) != 0) {
        if (lua_type(lua, -2) == LUA_TSTRING)
            value[lua_tostring(lua, -2)] = to_json(lua, -1);
        lua_pop(lua, 1);
    }
    return value;
}

auto to_json(lua_State *lua, int index) -> json {
    switch (lua_type(lua, index)) {
    case LUA_TBOOLEAN:
        return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
        if (lua_isinteger(lua, index) != 0)
            return lua_tointeger(lua, index);
        return lua_tonumber(lua, index);
    case LUA_TSTRING:
        return lua_tostring(lua, index);
    case LUA_TTABLE:
        return table_to_json(lua, index);
    default:
        return nullptr;
    }
}

auto push_json(lua_State *lua, const json &value) -> void {
    if (value.is_object()) {
        lua_newtable(lua);
        for (const auto &[key, it] : value.items()) {
            push_json(lua, it);
            lua_setfield(lua, -2, key.c_str());
        }
    } else if (value.is_number_integer()) {
        lua_pushinteger(lua, value.get<lua_Integer>());
    } else if (value.is_number()) {
        lua_pushnumber(lua, value.get<double>());
    } else if (value.is_boolean()) {
        lua_pushboolean(lua, value.get<bool>() ? 1 : 0);
    } else if (value.is_string()) {
        lua_pushstring(lua, value.get<std::string>().c_str());
    } else {
        lua_pushnil(lua);
    }
}

using word_body = int (*)(lua_State *, session &);

// Turns what goes wrong into a Lua error, which carries the line. The C++
// exception is over before Lua jumps.
template <word_body Body>
auto guarded(lua_State *lua) -> int {
    std::string problem;
    try {
        return Body(lua, state_of(lua).play);
    } catch (const scenario_problem &it) {
        problem = it.detail;
    } catch (const json::exception &it) {
        problem = it.what();
    }
    luaL_where(lua, 1);
    lua_pushstring(lua, problem.c_str());
    lua_concat(lua, 2);
    return lua_error(lua);
}

auto string_argument(lua_State *lua, int index) -> std::string {
    const auto *value = lua_tostring(lua, index);
    if (value == nullptr)
        throw scenario_problem{fmt::format("argument {} is not a text", index)};
    return value;
}

auto number_argument(lua_State *lua, int index) -> double {
    if (lua_isnumber(lua, index) == 0)
        throw scenario_problem{
            fmt::format("argument {} is not a number", index)};
    return lua_tonumber(lua, index);
}

auto table_argument(lua_State *lua) -> json {
    if (lua_istable(lua, 1) == 0)
        throw scenario_problem{"the argument is not a table"};
    return to_json(lua, 1);
}

auto say_instance(lua_State *lua, session &play) -> int {
    play.add_instance(string_argument(lua, 1), string_argument(lua, 2));
    return 0;
}

auto say_service(lua_State *lua, session &play) -> int {
    play.add_service(table_argument(lua));
    return 0;
}

auto say_upstreams(lua_State *lua, session &play) -> int {
    play.add_upstreams(table_argument(lua));
    return 0;
}

auto say_start(lua_State *, session &play) -> int {
    play.start();
    return 0;
}

auto say_run(lua_State *lua, session &play) -> int {
    play.run(number_argument(lua, 1));
    return 0;
}

auto say_drain(lua_State *lua, session &play) -> int {
    play.drain(number_argument(lua, 1));
    return 0;
}

auto say_wait_for(lua_State *lua, session &play) -> int {
    auto failed = false;
    const auto ready = play.wait_for(number_argument(lua, 1), [&] {
        lua_pushvalue(lua, 2);
        failed = lua_pcall(lua, 0, 1, 0) != LUA_OK;
        const auto value = failed || lua_toboolean(lua, -1) != 0;
        if (!failed)
            lua_pop(lua, 1);
        return value;
    });
    if (failed)
        throw scenario_problem{string_argument(lua, -1)};
    lua_pushboolean(lua, ready ? 1 : 0);
    return 1;
}

auto say_stop(lua_State *lua, session &play) -> int {
    play.stop_instance(string_argument(lua, 1));
    return 0;
}

auto say_kill(lua_State *lua, session &play) -> int {
    play.kill_instance(string_argument(lua, 1));
    return 0;
}

auto say_pause(lua_State *lua, session &play) -> int {
    play.pause_instance(string_argument(lua, 1), true);
    return 0;
}

auto say_resume(lua_State *lua, session &play) -> int {
    play.pause_instance(string_argument(lua, 1), false);
    return 0;
}

auto say_join(lua_State *lua, session &play) -> int {
    play.join_instance(string_argument(lua, 1));
    return 0;
}

auto say_stopped(lua_State *lua, session &play) -> int {
    const auto name = string_argument(lua, 1);
    const auto stopped = play.has_stopped(name);
    lua_pushboolean(lua, stopped ? 1 : 0);
    lua_pushinteger(lua, stopped ? play.exit_code_of(name) : -1);
    return 2;
}

auto say_flows(lua_State *lua, session &play) -> int {
    play.add_flows(table_argument(lua));
    return 0;
}

auto say_stop_opening(lua_State *, session &play) -> int {
    play.network().stop_opening();
    return 0;
}

auto say_store(lua_State *lua, session &play) -> int {
    play.set_store(table_argument(lua));
    return 0;
}

auto say_fabric(lua_State *lua, session &play) -> int {
    play.set_fabric(table_argument(lua));
    return 0;
}

auto say_upstream(lua_State *lua, session &play) -> int {
    play.set_upstream(table_argument(lua));
    return 0;
}

auto say_leave(lua_State *lua, session &play) -> int {
    play.leave(table_argument(lua));
    return 0;
}

auto say_cut(lua_State *lua, session &play) -> int {
    play.cut(table_argument(lua));
    return 0;
}

auto say_heal(lua_State *, session &play) -> int {
    play.heal();
    return 0;
}

auto say_measure(lua_State *lua, session &play) -> int {
    play.measure(string_argument(lua, 1));
    return 0;
}

auto say_apply(lua_State *lua, session &play) -> int {
    play.apply(string_argument(lua, 1), number_argument(lua, 2));
    return 0;
}

auto say_race(lua_State *lua, session &play) -> int {
    lua_pushinteger(lua, play.race(string_argument(lua, 1)));
    return 1;
}

auto say_in_force(lua_State *lua, session &play) -> int {
    lua_pushboolean(lua, play.in_force(string_argument(lua, 1)) ? 1 : 0);
    return 1;
}

auto say_owner(lua_State *lua, session &play) -> int {
    const auto name =
        play.owner_of(string_argument(lua, 1), string_argument(lua, 2));
    lua_pushstring(lua, name.c_str());
    return 1;
}

auto say_open_at(lua_State *lua, session &play) -> int {
    lua_pushinteger(lua, play.network().open_at(string_argument(lua, 1)));
    return 1;
}

auto say_counted_at(lua_State *lua, session &play) -> int {
    lua_pushinteger(lua, play.counted_at(string_argument(lua, 1)));
    return 1;
}

auto say_lag(lua_State *lua, session &play) -> int {
    play.set_lag(string_argument(lua, 1), number_argument(lua, 2));
    return 0;
}

auto say_status(lua_State *lua, session &play) -> int {
    push_json(lua, play.status_of(string_argument(lua, 1)));
    return 1;
}

auto say_events(lua_State *lua, session &play) -> int {
    lua_pushinteger(lua, play.events_named(string_argument(lua, 1)));
    return 1;
}

auto say_value(lua_State *lua, session &play) -> int {
    lua_pushnumber(lua, play.value_of(string_argument(lua, 1)));
    return 1;
}

auto current_line(lua_State *lua) -> int {
    lua_Debug info{};
    lua_getstack(lua, 1, &info);
    lua_getinfo(lua, "l", &info);
    return info.currentline;
}

auto say_expect(lua_State *lua, session &play) -> int {
    const auto measure = string_argument(lua, 1);
    const auto relation = string_argument(lua, 2);
    const auto bound = number_argument(lua, 3);
    const auto line = current_line(lua);
    if (!play.expect(measure, relation, bound, line))
        state_of(lua).outcome.failures.push_back(
            fmt::format("line {}: {} is {}, expected {} {}", line, measure,
                        play.value_of(measure), relation, bound));
    return 0;
}

auto say_check(lua_State *lua, session &) -> int {
    if (lua_toboolean(lua, 1) == 0)
        state_of(lua).outcome.failures.push_back(fmt::format(
            "line {}: {}", current_line(lua),
            lua_isnoneornil(lua, 2) ? "check failed" : lua_tostring(lua, 2)));
    return 0;
}

constexpr luaL_Reg words[] = {{"instance", guarded<say_instance>},
                              {"service", guarded<say_service>},
                              {"upstreams", guarded<say_upstreams>},
                              {"start", guarded<say_start>},
                              {"run", guarded<say_run>},
                              {"drain", guarded<say_drain>},
                              {"wait_for", guarded<say_wait_for>},
                              {"stop", guarded<say_stop>},
                              {"kill", guarded<say_kill>},
                              {"pause", guarded<say_pause>},
                              {"resume", guarded<say_resume>},
                              {"join", guarded<say_join>},
                              {"stopped", guarded<say_stopped>},
                              {"flows", guarded<say_flows>},
                              {"stop_opening", guarded<say_stop_opening>},
                              {"store", guarded<say_store>},
                              {"fabric", guarded<say_fabric>},
                              {"upstream", guarded<say_upstream>},
                              {"leave", guarded<say_leave>},
                              {"cut", guarded<say_cut>},
                              {"heal", guarded<say_heal>},
                              {"measure", guarded<say_measure>},
                              {"apply", guarded<say_apply>},
                              {"race", guarded<say_race>},
                              {"in_force", guarded<say_in_force>},
                              {"owner", guarded<say_owner>},
                              {"open_at", guarded<say_open_at>},
                              {"counted_at", guarded<say_counted_at>},
                              {"lag", guarded<say_lag>},
                              {"status", guarded<say_status>},
                              {"events", guarded<say_events>},
                              {"value", guarded<say_value>},
                              {"expect", guarded<say_expect>},
                              {"check", guarded<say_check>},
                              {nullptr, nullptr}};

auto open_lua(script_state *state, const std::string &path) -> lua_State * {
    auto *lua = luaL_newstate();
    luaL_openlibs(lua);
    *static_cast<script_state **>(lua_getextraspace(lua)) = state;
    lua_pushglobaltable(lua);
    luaL_setfuncs(lua, words, 0);
    lua_pop(lua, 1);
    // `require "places"` finds the scenes that scripts share.
    const auto folder = path.substr(0, path.rfind('/') + 1);
    lua_getglobal(lua, "package");
    lua_pushstring(lua, (folder + "?.lua;" + folder + "../?.lua").c_str());
    lua_setfield(lua, -2, "path");
    lua_pop(lua, 1);
    lua_pushinteger(lua, 0);
    return lua;
}

} // namespace

auto run_script(const std::string &path, const session_options &options)
    -> script_outcome {
    script_outcome outcome;
    session play(options);
    script_state state{.play = play, .outcome = outcome};
    auto *lua = open_lua(&state, path);
    if (luaL_dofile(lua, path.c_str()) != LUA_OK)
        outcome.failures.emplace_back(lua_tostring(lua, -1));
    lua_close(lua);
    outcome.report = play.report();
    outcome.timeline = play.timeline();
    outcome.passed = outcome.failures.empty();
    return outcome;
}

} // namespace dogwoodtrack::scenario
