-- Injects each fault alone and each pair of faults that can be combined,
-- including pairs of the same fault, in a fixed order on one fleet under load.
-- The second fault of a pair starts 0.3 s after the first. If both affect an
-- instance or both affect an upstream, they affect different ones. No flow may
-- break.
local places = require "places"

places.brunner{connections = 3000}
local function all_instances()
    local list = {}
    for _, domain in ipairs(places.brunner_domains) do
        for i = 1, 3 do list[#list + 1] = domain .. "-" .. i end
    end
    return list
end

local round = 0 -- number of injections so far
-- The instance that a fault affects in this round. `offset` is 1 for the first
-- fault of a pair and 2 for the second, which gives two different instances.
local function target(offset)
    local list = all_instances()
    return list[(round * 4 + offset * 3) % #list + 1]
end

-- For each fault, the function that starts it and the one that ends it. The
-- argument `n` of both functions, 1 or 2, selects the instance or upstream that
-- the fault affects.
local faults = {
    kill = {function(n) kill(target(n)) end, function(n) join(target(n)) end},
    stop = {function(n)
        local name = target(n)
        stop(name)
        wait_for(20, function() return (stopped(name)) end)
    end, function(n) join(target(n)) end},
    pause = {function(n) pause(target(n)) end,
             function(n) resume(target(n)) end},
    outage = {function() store{outage = true} end, function() store{} end},
    lost = {function() store{lose_answers = 1} end, function() store{} end},
    loss = {function() fabric{loss = 0.02, reorder = 0.01} end,
            function() fabric{} end},
    leave = {function(n) leave{upstream = "ordering-" .. n + 1,
                               via = "contract", limit = 6} end,
             function(n) leave{upstream = "ordering-" .. n + 1,
                               undo = true} end},
    down = {function(n) upstream{name = "pickup-" .. n + 1,
                                 service_ms = 300} end,
            function(n) upstream{name = "pickup-" .. n + 1,
                                 service_ms = 1} end},
}
local order = {"kill", "stop", "pause", "outage", "lost", "loss", "leave",
               "down"}

-- Whether two faults can't be combined. An outage excludes `leave`, which
-- writes a contract to the platform. It also excludes `lost`, because each call
-- of `store` replaces the faults that an earlier call set.
local function cannot_combine(a, b)
    return (a == "outage" and (b == "leave" or b == "lost")) or
           (b == "outage" and (a == "leave" or a == "lost"))
end

local function inject(a, b)
    faults[a][1](1)
    if b then
        run(0.3)
        faults[b][1](2)
    end
    run(4)
    faults[a][2](1)
    if b then faults[b][2](2) end
    run(3)
    round = round + 1
end

start()
flows{service = "ordering", rate = 60, life = 8, gap = 0.3}
flows{service = "pickup", rate = 20, life = 8, gap = 0.3}
run(3)
for i, a in ipairs(order) do
    inject(a)
    for k = i, #order do
        local b = order[k]
        if not cannot_combine(a, b) then
            print(a, b, value("flows_broken"), value("flows_unanswered"))
            inject(a, b)
        end
    end
end
drain(40)

places.expect_invariants()
expect("flows_broken", "==", 0)
