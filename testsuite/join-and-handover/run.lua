-- An owner is killed and its replacement joins. The replacement copies the
-- flow records, becomes owner and then stops as planned. No flow may break.
local places = require "places"

places.brunner()
start()
flows{service = "ordering", rate = 100, life = 15, gap = 0.3}
run(4)
local victim = owner("ordering", "mitte-a")
kill(victim)
run(4)
join(victim)
check(wait_for(30, function()
    return owner("ordering", "mitte-a") == victim
end), "the joined instance becomes owner again within 30 s")
run(2)
stop(victim)
run(4)
drain(25)

places.expect_invariants()
expect("flows_broken_settled", "==", 0)
expect("flows_broken", "==", 0)
expect("flows_unanswered", "==", 0)
