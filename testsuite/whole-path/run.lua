-- Two services of one customer behind nine balancers, without faults. No flow
-- is broken, unanswered or refused.
local places = require "places"

places.brunner()
start()
flows{service = "ordering", rate = 100, life = 2}
flows{service = "pickup", rate = 50, life = 1, answer_size = 5000}
run(4)
drain(10)

places.expect_invariants()
expect("flows_broken", "==", 0)
expect("flows_unanswered", "==", 0)
expect("flows_refused", "==", 0)
expect("flows_opened", ">=", 400)
