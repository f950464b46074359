-- Few slots: one domain fills up and flows go to another, then everything is
-- full and callers are told at once that nothing was run.
local places = require "places"

places.brunner{limit = "slots", tolerance = 0.0}
start()
flows{service = "ordering", rate = 30, life = 1, gap = 0.2}
measure("ordering")
run(5)
flows{service = "ordering", rate = 100, life = 1, gap = 0.2}
run(5)
drain(10)

places.always()
expect("flows_broken", "==", 0)
expect("flows_refused", ">=", 1)
