-- Sends ten million packets of three services of both customers, some with
-- large answers, while the fabric chooses a balancer for each packet. Checks
-- upper bounds of the share of relayed packets, of the CPU use of the control
-- plane and of the memory of a daemon. PACKETS sets the number of packets.
local places = require "places"
local packets = tonumber(os.getenv("PACKETS") or "10000000")

places.brunner{connections = 8000}
service{customer = "shantiniketan", name = "booking"}
upstreams{service = "booking", count = 14, domains = places.brunner_domains,
          capacity = places.capacities, connections = 8000}
start()
flows{service = "ordering", rate = 60, life = 20, gap = 0.1}
flows{service = "booking", rate = 60, life = 20, gap = 0.05,
      answer_size = 12000}
flows{service = "pickup", rate = 20, life = 20, gap = 0.1}
run(25)
measure("booking")
check(wait_for(600, function() return value("packets_sent") >= packets end),
      "the number of packets to measure is sent within 600 s")
expect("relayed_share", "<=", 0.02)
drain(40)

places.expect_invariants()
expect("packets_sent", ">=", packets)
expect("flows_broken", "==", 0)
expect("control_cpu_fraction_max", "<=", 0.016)
expect("daemon_rss_bytes_max", "<=", 128 * 1024 * 1024)
