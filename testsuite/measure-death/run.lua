-- One of nine balancers dies suddenly while 30,000 flows are open.
local places = require "places"
local count = tonumber(os.getenv("FLOWS") or "30000")

places.shantiniketan()
start()
flows{service = "booking", rate = 2500, count = count, life = 60, gap = 4}
run(count / 2500 + 14)
local victim = owner("booking", "howrah")
kill(victim)
run(20)
drain(60)

places.always()
expect("flows_opened", ">=", count)
expect("flows_broken_settled", "<=", count / 10000)
