-- Prints the largest control traffic, CPU use and memory of any daemon, and the
-- time to apply a contract, for a fleet of one size without traffic.
-- SIZE sets the number of balancers per failure domain, DOMAINS the number of
-- failure domains, SERVICES the number of services and SETTLE the time in
-- seconds between the start of the fleet and the measurement.
local size = tonumber(os.getenv("SIZE") or "3")
local domains = tonumber(os.getenv("DOMAINS") or "3")
local services = tonumber(os.getenv("SERVICES") or "2")

local names = {}
for d = 1, domains do
    names[d] = "domain-" .. d
    for i = 1, size do
        instance(names[d] .. "-" .. i, names[d])
    end
end
for s = 1, services do
    service{customer = "fleet", name = "s" .. s}
    upstreams{service = "s" .. s, count = 7, domains = names}
end
start()
run(tonumber(os.getenv("SETTLE") or "5"))
measure("s1")
run(15)
print("members", size * domains, "services", services,
      "control bytes/s", value("control_bytes_per_second_max"),
      "cpu", value("control_cpu_fraction_max"),
      "rss", value("daemon_rss_bytes_max"))
upstream{name = "s1-1", connections = 1000}
apply("fleet", 20)
print("in force ms", value("contract_in_force_ms_max"))
