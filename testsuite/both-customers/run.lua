-- Services of both customers share the balancers, over TCP and UDP. No packet
-- or answer may reach the other customer while an owner is killed and an
-- upstream leaves.
local places = require "places"

places.brunner()
service{customer = "shantiniketan", name = "booking"}
upstreams{service = "booking", count = 6, domains = places.brunner_domains}
service{customer = "shantiniketan", name = "notices", protocol = "udp",
        idle_timeout = 20}
upstreams{service = "notices", count = 3, domains = places.brunner_domains}
start()
flows{service = "ordering", rate = 60, life = 2}
flows{service = "pickup", rate = 60, life = 2}
flows{service = "booking", rate = 60, life = 2}
flows{service = "notices", rate = 60, life = 2}
run(3)
kill(owner("booking", "mitte-b"))
leave{upstream = "ordering-2"}
run(4)
drain(20)

places.expect_invariants()
expect("flows_broken", "==", 0)
