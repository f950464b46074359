-- Two upstreams leave under load, one by the contract and one by the platform's
-- list, which shows this 1 s later. Their flows must continue, and new flows
-- must go to other upstreams at the latest 3 s (contract) and 4 s (list) after
-- the upstream leaves.
local places = require "places"

places.brunner()
start()
flows{service = "ordering", rate = 200, life = 6, gap = 0.2}
run(3)
lag("live", 10)
leave{upstream = "ordering-3", via = "contract", limit = 3}
run(2)
lag("live", 1)
leave{upstream = "ordering-5", via = "list", limit = 4}
run(8)
check(open_at("ordering-3") == 0,
      "ordering-3 has no open flows 10 s after it left")
drain(20)

places.expect_invariants()
expect("flows_broken", "==", 0)
expect("flows_refused", "==", 0)
expect("new_flows_to_leaving_after_limit", "==", 0)
