-- Checks the imbalance (load of the busiest upstream divided by the mean load)
-- over 14 upstreams of unequal capacity at RATE new flows per second; meant to
-- be run at 200, the default, and at 2,000. TOLERANCE sets the imbalance
-- tolerance, MEAN and PEAK the upper bounds of the mean and of the peak
-- imbalance.
local places = require "places"
local tolerance = tonumber(os.getenv("TOLERANCE") or "0.005")
local rate = tonumber(os.getenv("RATE") or "200")
local mean = tonumber(os.getenv("MEAN") or "1.03")
local peak = tonumber(os.getenv("PEAK") or "1.05")

places.brunner{tolerance = tolerance, connections = 8000}
start()
flows{service = "ordering", rate = rate, life = 20, gap = 5}
run(30)
measure("ordering")
run(20)
expect("imbalance_mean", "<=", mean)
expect("imbalance_peak", "<=", peak)
-- An upstream leaves. The mean imbalance from 10 s to 18 s after that must be
-- at most PEAK.
leave{upstream = "ordering-9"}
run(10)
measure("ordering")
run(8)
expect("imbalance_mean", "<=", peak)
drain(40)

places.expect_invariants()
expect("flows_broken", "==", 0)
