-- The platform answers with a delay and limits the rate of calls. A contract
-- must still be in force within 3 s after the platform has accepted it.
local places = require "places"

places.shantiniketan()
start()
flows{service = "booking", rate = 50, life = 3}
store{delay = 0.4, calls_per_second = 20}
run(2)
local victim = owner("booking", "salt-lake")
kill(victim)
run(2)
join(victim)
upstream{name = "booking-3", connections = 1000}
apply("shantiniketan", 8)
store{}
drain(20)

places.expect_invariants()
expect("flows_broken", "==", 0)
expect("contract_in_force_ms_max", "<=", 3000)
