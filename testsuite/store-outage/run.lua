-- The platform is unreachable while balancers serve flows: one is killed and
-- started again, and another one stops. No flow may break. After the outage, a
-- changed contract is written.
local places = require "places"

places.shantiniketan()
start()
flows{service = "booking", rate = 100, life = 6, gap = 0.2}
run(2)
store{outage = true}
run(3)
local victim = owner("booking", "salt-lake")
kill(victim)
run(4)
join(victim)
run(4)
check(status(victim).contracts.shantiniketan == 1,
      "a balancer started during the outage gets the contract from its peers")
stop(owner("booking", "behala"))
run(4)
store{}
run(1)
upstream{name = "booking-1", connections = 1500}
apply("shantiniketan", 10)
drain(20)

places.expect_invariants()
expect("flows_broken", "==", 0)
expect("flows_unanswered", "==", 0)
