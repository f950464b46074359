-- Set-ups and checks that the cases share: failure domains, instances and
-- services of both customers, and the invariants under faults.

local places = {}

places.brunner_domains = {"mitte-a", "mitte-b", "mitte-c"}
places.shantiniketan_domains = {"salt-lake", "howrah", "behala"}
-- Relative capacities of the upstreams of a service. If a service has more
-- upstreams than the list has capacities, the list is repeated.
places.capacities = {0.5, 1, 2, 1, 0.7, 1.5, 1, 1, 2, 0.5, 1, 1.3, 0.8, 1}

function places.add_instances(domains, per_domain)
    for _, domain in ipairs(domains) do
        for i = 1, per_domain do
            instance(domain .. "-" .. i, domain)
        end
    end
end

-- Customer brunner: service ordering on `hosts` upstreams, 14 by default, and
-- service pickup on 4.
function places.brunner(options)
    options = options or {}
    places.add_instances(places.brunner_domains, options.per_domain or 3)
    service{customer = "brunner", name = "ordering",
            imbalance_tolerance = options.tolerance or 0.02,
            limit = options.limit or "connections",
            overload = options.overload or "place",
            idle_timeout = options.idle_timeout or 14400,
            replicas = options.replicas or 2}
    upstreams{service = "ordering", count = options.hosts or 14,
              domains = places.brunner_domains,
              capacity = options.capacities or places.capacities,
              connections = options.connections or 2000, slots = 3}
    service{customer = "brunner", name = "pickup",
            imbalance_tolerance = options.tolerance or 0.02,
            replicas = options.replicas or 2}
    upstreams{service = "pickup", count = 4,
              domains = places.brunner_domains,
              connections = options.connections or 2000}
end

-- Customer shantiniketan: service booking on 14 upstreams and service memorial
-- on 4 upstreams.
function places.shantiniketan(options)
    options = options or {}
    places.add_instances(places.shantiniketan_domains, options.per_domain or 3)
    service{customer = "shantiniketan", name = "booking",
            imbalance_tolerance = options.tolerance or 0.05,
            protocol = options.protocol or "tcp",
            idle_timeout = options.idle_timeout or 14400,
            replicas = options.replicas or 2}
    upstreams{service = "booking", count = 14,
              domains = places.shantiniketan_domains,
              capacity = places.capacities,
              connections = options.connections or 2000}
    service{customer = "shantiniketan", name = "memorial",
            imbalance_tolerance = options.tolerance or 0.05,
            replicas = options.replicas or 2}
    upstreams{service = "memorial", count = 4,
              domains = places.shantiniketan_domains,
              connections = options.connections or 2000}
end

-- Checks the invariants that hold for any combination of injected faults.
function places.expect_invariants()
    expect("packets_misdelivered", "==", 0)
    expect("answers_mixed", "==", 0)
    expect("payloads_duplicated", "==", 0)
    expect("refused_but_run", "==", 0)
    expect("refused_midflow", "==", 0)
    expect("contract_reverts", "==", 0)
    expect("capacity_exceeded", "==", 0)
    expect("bad_checksums", "==", 0)
end

return places
