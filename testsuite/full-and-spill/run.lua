-- The number of open flows of an upstream is limited to the upstream's slots.
-- When all upstreams of one failure domain are full, new flows go to another
-- domain. When all domains are full, new flows are refused immediately, and
-- their requests are not run.
local places = require "places"

places.brunner{limit = "slots", tolerance = 0.0}
start()
flows{service = "ordering", rate = 30, life = 1, gap = 0.2}
measure("ordering")
run(5)
flows{service = "ordering", rate = 100, life = 1, gap = 0.2}
run(5)
drain(10)

places.expect_invariants()
expect("flows_broken", "==", 0)
expect("flows_refused", ">=", 1)
