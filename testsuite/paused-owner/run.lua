-- An owner is frozen past its lease and wakes up unaware.
local places = require "places"

places.brunner{connections = 60, tolerance = 0.01}
start()
flows{service = "ordering", rate = 150, life = 4, gap = 0.2}
run(4)
local sleeper = owner("ordering", "mitte-a")
pause(sleeper)
run(4)
check(owner("ordering", "mitte-a") ~= "", "another balancer took over")
resume(sleeper)
run(0.5)
pause(sleeper)
run(3)
resume(sleeper)
run(4)
check(events("pause_noticed") >= 1, "the sleeper noticed")
drain(20)

places.always()
expect("flows_broken", "==", 0)
