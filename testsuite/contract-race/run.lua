-- Two operators write the same contract concurrently. Later, the platform
-- applies a write but answers it with an error, and then serves stale reads.
-- Exactly one of the two concurrent writes must be accepted, and no instance
-- may go back to an older contract.
local places = require "places"

places.brunner()
start()
flows{service = "ordering", rate = 50, life = 2}
run(1)
check(race("brunner") == 1, "exactly one of two concurrent writes is accepted")
check(wait_for(3, function() return in_force("brunner") end),
      "the accepted contract is in force within 3 s")
store{lose_answers = 1}
upstream{name = "ordering-2", connections = 1800}
apply("brunner", 5)
store{stale_reads = true}
local victim = owner("ordering", "mitte-c")
kill(victim)
run(2)
join(victim)
run(3)
store{}
upstream{name = "ordering-2", connections = 1700}
apply("brunner", 5)
for i = 1, 5 do
    upstream{name = "ordering-4", connections = 1000 + i}
    apply("brunner", 5)
end
drain(10)

places.expect_invariants()
expect("contract_in_force_ms_max", "<=", 3000)
expect("flows_broken", "==", 0)
