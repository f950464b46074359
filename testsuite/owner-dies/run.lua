-- The owner of a service dies without a word; flows go on.
local places = require "places"

places.shantiniketan()
start()
flows{service = "booking", rate = 150, life = 12, gap = 0.3}
flows{service = "memorial", rate = 40, life = 12, gap = 0.2,
      answer_size = 6000}
run(5)
local victim = owner("booking", "howrah")
check(victim ~= "", "booking has an owner in howrah")
kill(victim)
run(6)
local heir = owner("booking", "howrah")
check(heir ~= "" and heir ~= victim, "another balancer owns booking")
drain(25)

places.always()
expect("flows_broken_settled", "==", 0)
expect("flows_broken", "==", 0)
expect("flows_unanswered", "==", 0)
