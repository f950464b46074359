-- The owner of a service in one failure domain is killed. Another balancer of
-- this domain must become owner, and no flow may break.
local places = require "places"

places.shantiniketan()
start()
flows{service = "booking", rate = 150, life = 12, gap = 0.3}
flows{service = "memorial", rate = 40, life = 12, gap = 0.2,
      answer_size = 6000}
run(5)
local victim = owner("booking", "howrah")
check(victim ~= "", "booking has an owner in howrah before the kill")
kill(victim)
run(6)
local new_owner = owner("booking", "howrah")
check(new_owner ~= "" and new_owner ~= victim,
      "another balancer in howrah owns booking 6 s after the kill")
drain(25)

places.expect_invariants()
expect("flows_broken_settled", "==", 0)
expect("flows_broken", "==", 0)
expect("flows_unanswered", "==", 0)
