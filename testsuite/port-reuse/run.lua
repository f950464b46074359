-- Callers reuse a port as soon as its flow is closed, while answers to the
-- old flow may still be in transit. No such answer may reach or break the new
-- flow.
local places = require "places"

places.brunner{hosts = 14}
start()
fabric{reorder = 0.03, duplicate = 0.01}
flows{service = "ordering", rate = 100, life = 0.3, gap = 0.05,
      reuse_ports = true}
run(8)
kill(owner("ordering", "mitte-c"))
run(5)
fabric{}
drain(20)

places.expect_invariants()
expect("flows_broken", "==", 0)
