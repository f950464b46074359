-- One of nine balancers is killed while 30,000 flows are open. At most one
-- settled flow in 10,000 may break. FLOWS sets the number of flows.
local places = require "places"
local count = tonumber(os.getenv("FLOWS") or "30000")

places.shantiniketan()
start()
flows{service = "booking", rate = 2500, count = count, life = 60, gap = 4}
run(count / 2500 + 14)
local victim = owner("booking", "howrah")
kill(victim)
run(20)
drain(60)

places.expect_invariants()
expect("flows_opened", ">=", count)
expect("flows_broken_settled", "<=", count / 10000)
