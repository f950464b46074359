-- Non-idempotent requests over UDP. The owner of the service in one failure
-- domain is killed, and the owner in another domain stops as planned. No
-- request may reach two upstreams, even if its caller retransmits it or the
-- fabric duplicates its packet.
local places = require "places"

places.shantiniketan{protocol = "udp", idle_timeout = 20}
start()
fabric{duplicate = 0.02, reorder = 0.01}
flows{service = "booking", rate = 100, life = 5, gap = 0.2}
run(4)
kill(owner("booking", "salt-lake"))
run(4)
stop(owner("booking", "howrah"))
run(4)
drain(25)

places.expect_invariants()
expect("flows_broken", "==", 0)
