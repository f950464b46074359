-- The service limits the flows of an upstream to its slots. When one failure
-- domain is full, new flows go to another; when all are full, new flows are
-- refused at once and their requests are not run.
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
