-- A balancer restarts while the platform is unreachable. It must take the
-- contract from its peers.
local places = require "places"

places.shantiniketan()
start()
flows{service = "booking", rate = 50, life = 4}
run(2)
store{outage = true}
stop("behala-1")
check(wait_for(15, function() return (stopped("behala-1")) end),
      "behala-1 stops within 15 s")
run(1)
join("behala-1")
run(3)
check(status("behala-1").contracts.shantiniketan == 1,
      "the restarted balancer has the contract")
store{}
run(2)
drain(20)

places.expect_invariants()
expect("flows_broken", "==", 0)
expect("flows_unanswered", "==", 0)
