-- Balancers die and new ones join; the newcomers copy the records and may
-- become owners; then the old owner stops.
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
end), "the newcomer owns again once it has the records")
run(2)
stop(victim)
run(4)
drain(25)

places.always()
expect("flows_broken_settled", "==", 0)
expect("flows_broken", "==", 0)
expect("flows_unanswered", "==", 0)
