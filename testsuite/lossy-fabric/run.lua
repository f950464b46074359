-- The fabric loses, duplicates and reorders packets, so answers arrive late
-- and out of order. Every caller must still get the complete answer to its
-- own request.
local places = require "places"

places.shantiniketan()
start()
fabric{loss = 0.01, duplicate = 0.02, reorder = 0.04}
flows{service = "booking", rate = 60, life = 4, gap = 0.1,
      answer_size = 4000}
flows{service = "memorial", rate = 30, life = 4, gap = 0.1,
      answer_size = 12000}
run(6)
fabric{}
drain(25)

places.expect_invariants()
expect("flows_broken", "==", 0)
expect("flows_unanswered", "==", 0)
