-- Two of the three balancers of a failure domain are killed within a second.
-- Each flow record has two replicas, so the third balancer holds all records.
-- It places new flows alone only after the platform has confirmed that the
-- other two no longer run.
local places = require "places"

places.shantiniketan{replicas = 2}
start()
flows{service = "booking", rate = 100, life = 12, gap = 0.3}
run(4)
local first = owner("booking", "behala")
kill(first)
run(0.7)
for i = 1, 3 do
    local name = "behala-" .. i
    if name ~= first then
        kill(name)
        break
    end
end
run(8)
check(owner("booking", "behala") ~= "", "the surviving balancer owns booking")
drain(25)

places.expect_invariants()
expect("flows_broken_settled", "==", 0)
expect("flows_broken", "==", 0)
