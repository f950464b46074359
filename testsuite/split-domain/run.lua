-- One balancer is cut off from the two others of its own failure domain and
-- from the platform, and still gets packets. The limit holds on both sides.
local places = require "places"

places.brunner{connections = 25, tolerance = 0}
start()
flows{service = "ordering", rate = 120, life = 3, gap = 0.2}
run(4)
local alone = owner("ordering", "mitte-a")
cut{instances = {alone}, platform = true}
run(8)
check(not status(alone).placing, "a minority places nothing")
heal()
run(6)
check(status(alone).placing, "it places again after the cut")
drain(25)

places.always()
