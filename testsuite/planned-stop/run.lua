-- Two balancers, both owners, stop as planned 0.5 s apart. Both exit with
-- code 0, and no flow is broken, unanswered or refused.
local places = require "places"

places.brunner()
start()
flows{service = "ordering", rate = 150, life = 8, gap = 0.2}
flows{service = "pickup", rate = 50, life = 8, gap = 0.2}
run(4)
local first = owner("ordering", "mitte-a")
local second = owner("ordering", "mitte-b")
stop(first)
run(0.5)
stop(second)
check(wait_for(15, function()
    return stopped(first) and stopped(second)
end), "both balancers stop within 15 s")
local _, code = stopped(first)
check(code == 0, "the exit code of a planned stop is 0")
run(2)
drain(20)

places.expect_invariants()
expect("flows_broken", "==", 0)
expect("flows_unanswered", "==", 0)
expect("flows_refused", "==", 0)
