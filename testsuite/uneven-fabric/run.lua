-- The fabric sends one balancer ten times as many packets as most others, and
-- another one a tenth as many, regardless of which balancers are owners. No
-- flow may be broken or unanswered.
local places = require "places"

places.brunner()
start()
fabric{weights = {["mitte-a-1"] = 10, ["mitte-b-1"] = 0.1}}
flows{service = "ordering", rate = 100, life = 3, gap = 0.1}
run(5)
measure("ordering")
run(4)
drain(20)

places.expect_invariants()
expect("flows_broken", "==", 0)
expect("flows_unanswered", "==", 0)
