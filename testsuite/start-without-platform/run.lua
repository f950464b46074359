-- A balancer starts while the platform is down, first with peers to learn
-- from, then alone in its failure domain.
local places = require "places"

places.shantiniketan()
start()
flows{service = "booking", rate = 50, life = 4}
run(2)
store{outage = true}
stop("behala-1")
check(wait_for(15, function() return (stopped("behala-1")) end), "stops")
run(1)
join("behala-1")
run(3)
check(status("behala-1").contracts.shantiniketan == 1, "it has the contract")
store{}
run(2)
drain(20)

places.always()
expect("flows_broken", "==", 0)
expect("flows_unanswered", "==", 0)
