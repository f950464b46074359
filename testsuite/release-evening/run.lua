-- Rolling release under load: every balancer stops and joins again, and after
-- each one an upstream leaves and returns. No flow is broken, unanswered or
-- refused.
local places = require "places"

places.brunner()
start()
flows{service = "ordering", rate = 80, life = 10, gap = 0.3}
flows{service = "pickup", rate = 20, life = 20, gap = 0.5}
run(3)
for i, domain in ipairs(places.brunner_domains) do
    for k = 1, 3 do
        local name = domain .. "-" .. k
        stop(name)
        check(wait_for(20, function() return (stopped(name)) end),
              name .. " stops within 20 s")
        join(name)
        local host = "ordering-" .. ((i - 1) * 3 + k)
        leave{upstream = host}
        run(1)
        leave{upstream = host, undo = true}
    end
end
drain(40)

places.expect_invariants()
expect("flows_broken", "==", 0)
expect("flows_unanswered", "==", 0)
expect("flows_refused", "==", 0)
