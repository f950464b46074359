-- One owner is cut off from the other two balancers of its failure domain and
-- from the platform, but still receives packets. It may place no flow without
-- a majority, so that the connection limits hold.
local places = require "places"

places.brunner{connections = 25, tolerance = 0}
start()
flows{service = "ordering", rate = 120, life = 3, gap = 0.2}
run(4)
local isolated = owner("ordering", "mitte-a")
cut{instances = {isolated}, platform = true}
run(8)
check(not status(isolated).placing,
      "an instance without a majority places no flows")
heal()
run(6)
check(status(isolated).placing,
      "the instance places flows again 6 s after the cut has healed")
drain(25)

places.expect_invariants()
