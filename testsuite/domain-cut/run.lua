-- One failure domain is cut off from the others and from the platform while a
-- contract changes. Flows in all domains must continue, and the domain that was
-- cut off must have the new contract in force within 10 s after the cut ends.
local places = require "places"

places.brunner()
start()
for _, domain in ipairs(places.brunner_domains) do
    flows{service = "ordering", rate = 50, life = 20, gap = 0.3,
          side = domain}
end
run(4)
stop_opening()
run(1)
cut{domain = "mitte-b", platform = true}
run(3)
flows{service = "ordering", rate = 30, life = 3, gap = 0.2, side = "mitte-b"}
flows{service = "ordering", rate = 30, life = 3, gap = 0.2, side = "mitte-a"}
upstream{name = "ordering-1", connections = 1900}
apply("brunner", 6)
run(3)
heal()
check(wait_for(10, function() return in_force("brunner") end),
      "the contract is in force in the healed domain within 10 s")
drain(30)

places.expect_invariants()
expect("flows_broken", "==", 0)
