-- One upstream resets every new connection while the platform's list still
-- shows it as healthy. The owner must eject the upstream. After the upstream
-- has stopped shedding and the ejection has ended, it must get flows again.
local places = require "places"

places.brunner()
start()
flows{service = "ordering", rate = 100, life = 2, gap = 0.2}
run(4)
upstream{name = "ordering-4", shedding = true}
run(6)
local refused = value("flows_refused")
run(4)
check(value("flows_refused") - refused < 40,
      "fewer than 40 flows are refused 6 s to 10 s after shedding begins")
check(events("upstream_ejected") >= 1,
      "the timeline has an upstream_ejected event")
upstream{name = "ordering-4", shedding = false}
run(14)
check(open_at("ordering-4") > 0,
      "ordering-4 gets flows again after it stops shedding")
drain(20)

expect("packets_misdelivered", "==", 0)
expect("payloads_duplicated", "==", 0)
expect("flows_broken", "==", 0)
