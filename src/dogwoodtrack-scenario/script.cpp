#include "script.hpp"

#include <fmt/format.h>
#include <lua.hpp>

namespace dogwoodtrack::scenario {

namespace {

struct script_state {
    session &current;
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

using api_function = int (*)(lua_State *, session &);

// Calls `Body` and turns its exceptions into Lua errors, whose message starts
// with the file and line of the Lua code. lua_error() does not return, so it is
// called only after the C++ exception has been handled and destroyed.
template <api_function Body>
auto raising_errors(lua_State *lua) -> int {
    std::string message;
    try {
        return Body(lua, state_of(lua).current);
    } catch (const scenario_error &it) {
        message = it.detail;
    } catch (const json::exception &it) {
        message = it.what();
    }
    luaL_where(lua, 1);
    lua_pushstring(lua, message.c_str());
    lua_concat(lua, 2);
    return lua_error(lua);
}

auto string_argument(lua_State *lua, int index) -> std::string {
    const auto *value = lua_tostring(lua, index);
    if (value == nullptr)
        throw scenario_error{fmt::format("argument {} is not a string", index)};
    return value;
}

auto number_argument(lua_State *lua, int index) -> double {
    if (lua_isnumber(lua, index) == 0)
        throw scenario_error{fmt::format("argument {} is not a number", index)};
    return lua_tonumber(lua, index);
}

auto table_argument(lua_State *lua) -> json {
    if (lua_istable(lua, 1) == 0)
        throw scenario_error{"argument 1 is not a table"};
    return to_json(lua, 1);
}

auto api_instance(lua_State *lua, session &current) -> int {
    current.add_instance(string_argument(lua, 1), string_argument(lua, 2));
    return 0;
}

auto api_service(lua_State *lua, session &current) -> int {
    current.add_service(table_argument(lua));
    return 0;
}

auto api_upstreams(lua_State *lua, session &current) -> int {
    current.add_upstreams(table_argument(lua));
    return 0;
}

auto api_start(lua_State *, session &current) -> int {
    current.start();
    return 0;
}

auto api_run(lua_State *lua, session &current) -> int {
    current.run(number_argument(lua, 1));
    return 0;
}

auto api_drain(lua_State *lua, session &current) -> int {
    current.drain(number_argument(lua, 1));
    return 0;
}

auto api_wait_for(lua_State *lua, session &current) -> int {
    auto failed = false;
    const auto ready = current.wait_for(number_argument(lua, 1), [&] {
        lua_pushvalue(lua, 2);
        failed = lua_pcall(lua, 0, 1, 0) != LUA_OK;
        const auto value = failed || lua_toboolean(lua, -1) != 0;
        if (!failed)
            lua_pop(lua, 1);
        return value;
    });
    if (failed)
        throw scenario_error{string_argument(lua, -1)};
    lua_pushboolean(lua, ready ? 1 : 0);
    return 1;
}

auto api_stop(lua_State *lua, session &current) -> int {
    current.stop_instance(string_argument(lua, 1));
    return 0;
}

auto api_kill(lua_State *lua, session &current) -> int {
    current.kill_instance(string_argument(lua, 1));
    return 0;
}

auto api_pause(lua_State *lua, session &current) -> int {
    current.pause_instance(string_argument(lua, 1), true);
    return 0;
}

auto api_resume(lua_State *lua, session &current) -> int {
    current.pause_instance(string_argument(lua, 1), false);
    return 0;
}

auto api_join(lua_State *lua, session &current) -> int {
    current.join_instance(string_argument(lua, 1));
    return 0;
}

auto api_stopped(lua_State *lua, session &current) -> int {
    const auto name = string_argument(lua, 1);
    const auto stopped = current.has_stopped(name);
    lua_pushboolean(lua, stopped ? 1 : 0);
    lua_pushinteger(lua, stopped ? current.exit_code_of(name) : -1);
    return 2;
}

auto api_flows(lua_State *lua, session &current) -> int {
    current.add_flows(table_argument(lua));
    return 0;
}

auto api_stop_opening(lua_State *, session &current) -> int {
    current.network().stop_opening();
    return 0;
}

auto api_store(lua_State *lua, session &current) -> int {
    current.set_store(table_argument(lua));
    return 0;
}

auto api_fabric(lua_State *lua, session &current) -> int {
    current.set_fabric(table_argument(lua));
    return 0;
}

auto api_upstream(lua_State *lua, session &current) -> int {
    current.set_upstream(table_argument(lua));
    return 0;
}

auto api_leave(lua_State *lua, session &current) -> int {
    current.leave(table_argument(lua));
    return 0;
}

auto api_cut(lua_State *lua, session &current) -> int {
    current.cut(table_argument(lua));
    return 0;
}

auto api_heal(lua_State *, session &current) -> int {
    current.heal();
    return 0;
}

auto api_measure(lua_State *lua, session &current) -> int {
    current.measure(string_argument(lua, 1));
    return 0;
}

auto api_apply(lua_State *lua, session &current) -> int {
    current.apply(string_argument(lua, 1), number_argument(lua, 2));
    return 0;
}

auto api_race(lua_State *lua, session &current) -> int {
    lua_pushinteger(lua, current.race(string_argument(lua, 1)));
    return 1;
}

auto api_in_force(lua_State *lua, session &current) -> int {
    lua_pushboolean(lua, current.in_force(string_argument(lua, 1)) ? 1 : 0);
    return 1;
}

auto api_owner(lua_State *lua, session &current) -> int {
    const auto name =
        current.owner_of(string_argument(lua, 1), string_argument(lua, 2));
    lua_pushstring(lua, name.c_str());
    return 1;
}

auto api_open_at(lua_State *lua, session &current) -> int {
    lua_pushinteger(lua, current.network().open_at(string_argument(lua, 1)));
    return 1;
}

auto api_counted_at(lua_State *lua, session &current) -> int {
    lua_pushinteger(lua, current.counted_at(string_argument(lua, 1)));
    return 1;
}

auto api_lag(lua_State *lua, session &current) -> int {
    current.set_lag(string_argument(lua, 1), number_argument(lua, 2));
    return 0;
}

auto api_status(lua_State *lua, session &current) -> int {
    push_json(lua, current.status_of(string_argument(lua, 1)));
    return 1;
}

auto api_events(lua_State *lua, session &current) -> int {
    lua_pushinteger(lua, current.count_events(string_argument(lua, 1)));
    return 1;
}

auto api_value(lua_State *lua, session &current) -> int {
    lua_pushnumber(lua, current.value_of(string_argument(lua, 1)));
    return 1;
}

// Line of the Lua code that calls the current API function: a line of the
// script or of a module that it uses.
auto current_line(lua_State *lua) -> int {
    lua_Debug info{};
    lua_getstack(lua, 1, &info);
    lua_getinfo(lua, "l", &info);
    return info.currentline;
}

auto api_expect(lua_State *lua, session &current) -> int {
    const auto measure = string_argument(lua, 1);
    const auto relation = string_argument(lua, 2);
    const auto bound = number_argument(lua, 3);
    const auto line = current_line(lua);
    if (!current.expect(measure, relation, bound, line))
        state_of(lua).outcome.failures.push_back(
            fmt::format("line {}: {} is {}, expected {} {}", line, measure,
                        current.value_of(measure), relation, bound));
    return 0;
}

auto api_check(lua_State *lua, session &) -> int {
    if (lua_toboolean(lua, 1) == 0)
        state_of(lua).outcome.failures.push_back(fmt::format(
            "line {}: {}", current_line(lua),
            lua_isnoneornil(lua, 2) ? "check failed" : lua_tostring(lua, 2)));
    return 0;
}

constexpr luaL_Reg api_functions[] = {
    {"instance", raising_errors<api_instance>},
    {"service", raising_errors<api_service>},
    {"upstreams", raising_errors<api_upstreams>},
    {"start", raising_errors<api_start>},
    {"run", raising_errors<api_run>},
    {"drain", raising_errors<api_drain>},
    {"wait_for", raising_errors<api_wait_for>},
    {"stop", raising_errors<api_stop>},
    {"kill", raising_errors<api_kill>},
    {"pause", raising_errors<api_pause>},
    {"resume", raising_errors<api_resume>},
    {"join", raising_errors<api_join>},
    {"stopped", raising_errors<api_stopped>},
    {"flows", raising_errors<api_flows>},
    {"stop_opening", raising_errors<api_stop_opening>},
    {"store", raising_errors<api_store>},
    {"fabric", raising_errors<api_fabric>},
    {"upstream", raising_errors<api_upstream>},
    {"leave", raising_errors<api_leave>},
    {"cut", raising_errors<api_cut>},
    {"heal", raising_errors<api_heal>},
    {"measure", raising_errors<api_measure>},
    {"apply", raising_errors<api_apply>},
    {"race", raising_errors<api_race>},
    {"in_force", raising_errors<api_in_force>},
    {"owner", raising_errors<api_owner>},
    {"open_at", raising_errors<api_open_at>},
    {"counted_at", raising_errors<api_counted_at>},
    {"lag", raising_errors<api_lag>},
    {"status", raising_errors<api_status>},
    {"events", raising_errors<api_events>},
    {"value", raising_errors<api_value>},
    {"expect", raising_errors<api_expect>},
    {"check", raising_errors<api_check>},
    {nullptr, nullptr}};

auto open_lua(script_state *state, const std::string &path) -> lua_State * {
    auto *lua = luaL_newstate();
    luaL_openlibs(lua);
    *static_cast<script_state **>(lua_getextraspace(lua)) = state;
    lua_pushglobaltable(lua);
    luaL_setfuncs(lua, api_functions, 0);
    lua_pop(lua, 1);
    // Lets scripts load modules from their own folder and from the one above.
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
    session current(options);
    script_state state{.current = current, .outcome = outcome};
    auto *lua = open_lua(&state, path);
    if (luaL_dofile(lua, path.c_str()) != LUA_OK)
        outcome.failures.emplace_back(lua_tostring(lua, -1));
    lua_close(lua);
    outcome.report = current.report();
    outcome.timeline = current.timeline();
    outcome.passed = outcome.failures.empty();
    return outcome;
}

} // namespace dogwoodtrack::scenario
