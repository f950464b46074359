-- Non-idempotent bookings over UDP: no datagram reaches two upstreams, even
-- when the owner dies and callers repeat themselves.
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

places.always()
expect("flows_broken", "==", 0)
