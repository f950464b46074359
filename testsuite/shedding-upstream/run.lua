-- One host sheds every connection and one answers nothing; the platform's
-- list calls both healthy. New flows go elsewhere after a while.
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
      "a shedding host is ejected: at most its share of a second a probe")
check(events("upstream_ejected") >= 1, "the time line names it")
upstream{name = "ordering-4", shedding = false}
run(14)
check(open_at("ordering-4") > 0, "it returns")
drain(20)

expect("packets_misdelivered", "==", 0)
expect("payloads_duplicated", "==", 0)
expect("flows_broken", "==", 0)
