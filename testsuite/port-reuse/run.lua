-- Callers use their ports again as soon as a flow is over, while answers to
-- the old flow may still be under way.
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

places.always()
expect("flows_broken", "==", 0)
