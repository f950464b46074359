-- An owner is killed, the platform fails for 2 s, another owner stops and an
-- upstream leaves; the capacity is not exhausted, so no condition may be
-- reported. Then all slots are occupied for a while: one condition must be set,
-- and cleared after that.
local places = require "places"

places.brunner{limit = "slots", tolerance = 0}
start()
flows{service = "ordering", rate = 10, life = 1, gap = 0.2}
run(3)
kill(owner("ordering", "mitte-a"))
run(3)
store{outage = true}
run(2)
store{}
stop(owner("ordering", "mitte-b"))
leave{upstream = "ordering-7"}
run(5)
expect("conditions_reported", "==", 0)
flows{service = "ordering", rate = 200, count = 3000, life = 1, gap = 0.2}
run(14)
expect("conditions_reported", "==", 1)
check(wait_for(30, function()
    return value("conditions_reported") == 2
end), "the condition is cleared within 30 s")
drain(20)
expect("conditions_reported", "==", 2)
places.expect_invariants()
