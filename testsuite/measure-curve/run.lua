-- Prints imbalance, relayed share and control traffic for one imbalance
-- tolerance. Then kills one of nine balancers and prints the number of broken
-- flows. TOLERANCE sets the tolerance, REPLICAS the number of replicas of each
-- flow record.
local places = require "places"
local tolerance = tonumber(os.getenv("TOLERANCE") or "0.05")

places.brunner{tolerance = tolerance, connections = 8000,
               replicas = tonumber(os.getenv("REPLICAS") or "2")}
start()
flows{service = "ordering", rate = 500, life = 8, gap = 0.5}
run(12)
measure("ordering")
run(12)
print("tolerance", tolerance, "mean", value("imbalance_mean"),
      "peak", value("imbalance_peak"), "relayed", value("relayed_share"),
      "bytes/s", value("control_bytes_per_second_max"))
kill(owner("ordering", "mitte-a"))
run(4)
drain(30)
print("broken", value("flows_broken"), "settled",
      value("flows_broken_settled"), "opened", value("flows_opened"))
