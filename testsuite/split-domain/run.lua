-- One owner is cut off from all other balancers and from the platform, but
-- still receives packets. It must not place flows while it can't reach a
-- majority of its failure domain, so that the connection limits hold.
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
      "the instance places flows again 6 s after the cut ends")
drain(25)

places.expect_invariants()
