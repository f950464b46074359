-- The fabric favours one balancer ten to one, and it is not the owner.
local places = require "places"

places.brunner()
start()
fabric{weights = {["mitte-a-1"] = 10, ["mitte-b-1"] = 0.1}}
flows{service = "ordering", rate = 100, life = 3, gap = 0.1}
run(5)
measure("ordering")
run(4)
drain(20)

places.always()
expect("flows_broken", "==", 0)
expect("flows_unanswered", "==", 0)
