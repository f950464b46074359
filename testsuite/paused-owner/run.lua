-- An owner is paused until its lease has expired, and resumes after another
-- balancer has taken over. It must detect the pause and not place flows with
-- its expired lease, so that the connection limits hold.
local places = require "places"

places.brunner{connections = 60, tolerance = 0.01}
start()
flows{service = "ordering", rate = 150, life = 4, gap = 0.2}
run(4)
local paused = owner("ordering", "mitte-a")
pause(paused)
run(4)
check(owner("ordering", "mitte-a") ~= "",
      "another balancer is the owner during the pause")
resume(paused)
run(0.5)
pause(paused)
run(3)
resume(paused)
run(4)
check(events("pause_noticed") >= 1, "the resumed owner reports the pause")
drain(20)

places.expect_invariants()
expect("flows_broken", "==", 0)
