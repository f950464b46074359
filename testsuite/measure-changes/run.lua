-- 100,000 established flows of both customers must survive every planned
-- change: an upstream leaves, an instance stops and joins, a contract changes.
-- The test makes one change at a time first, then two at a time. FLOWS sets the
-- number of flows, LIFE the duration of a flow in seconds.
local places = require "places"
local count = tonumber(os.getenv("FLOWS") or "100000")

places.brunner{connections = 20000}
service{customer = "shantiniketan", name = "booking"}
upstreams{service = "booking", count = 14, domains = places.brunner_domains,
          capacity = places.capacities, connections = 20000}
start()
local life = tonumber(os.getenv("LIFE") or "100")
flows{service = "ordering", rate = 1500, count = count / 2, life = life,
      gap = 12}
flows{service = "booking", rate = 1500, count = count / 2, life = life,
      gap = 12, answer_size = 3000}
run(count / 3000 + 8)
-- One change at a time.
leave{upstream = "ordering-3"}
run(4)
local first = owner("ordering", "mitte-a")
stop(first)
run(8)
join(first)
run(4)
upstream{name = "booking-2", capacity = 2.5}
apply("shantiniketan", 5)
run(3)
-- Two changes at a time.
local second = owner("booking", "mitte-b")
leave{upstream = "booking-5"}
stop(second)
run(8)
local third = owner("ordering", "mitte-c")
join(second)
stop(third)
upstream{name = "ordering-4", connections = 15000}
apply("brunner", 5)
run(6)
drain(150)

places.expect_invariants()
expect("flows_opened", ">=", count)
expect("flows_broken", "==", 0)
expect("flows_unanswered", "==", 0)
expect("flows_refused", "==", 0)
expect("new_flows_to_leaving_after_limit", "==", 0)
expect("contract_in_force_ms_max", "<=", 3000)
