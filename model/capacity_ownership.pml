/* One upstream with a limit of two flows, and three balancers of one failure
 * domain.
 *
 * A balancer may place flows only while it holds the lease, that is while it
 * has received messages from a majority within the last lease duration. It may
 * be paused for any time between checking the lease and sending the packet. A
 * flow opens at the upstream only if every replica passes the packet on.
 * Fencing: a replica drops the packets of a balancer that is not the owner in
 * the replica's own view. A partition separates one balancer from the other
 * two. The mutant does not fence.
 *
 * Property: the flows open at the upstream never exceed the limit. */

#define N 3
#define LIMIT 2

byte open = 0;              /* open flows at the upstream */
byte recorded[N];           /* open flows in each balancer's records */
byte owner[N];              /* owner in each balancer's view */
bool partitioned = false;   /* balancer 0 receives no messages */
bool lease_expired = false; /* of balancer 0, by its own clock */
bool exceeded = false;      /* the upstream had more open flows than LIMIT */

/* Models renew_lease: the lease of balancers in a minority expires before the
 * majority takes over ownership. */
#define holds_lease(me) \
    ((me == 0 && !lease_expired) || (me != 0 && owner[me] == me))

proctype balancer(byte me) {
    byte attempts = 0;
    byte replica;
    bool fenced;
    do
    :: attempts < 3 && owner[me] == me && holds_lease(me) ->
        attempts++;
        atomic {
            /* Models choose_upstream, which counts the flow before the packet
               is sent. */
            if
            :: recorded[me] < LIMIT -> recorded[me]++
            :: else -> goto at_limit
            fi
        };
        /* The process may be paused here for any length of time. */
        atomic {
            fenced = false;
            replica = 0;
            do
            :: replica < N && replica != me ->
                if
                /* Partition: balancer 0, alone on its side and so without a
                   majority, does not count the replica as dead yet. It sends
                   the packet to the replica, and the packet is lost. */
                :: (me == 0 || replica == 0) && partitioned && me == 0 ->
                    fenced = true
#ifndef MUTANT
                :: !((me == 0 || replica == 0) && partitioned && me == 0) &&
                   owner[replica] != me && !(partitioned && replica == 0) ->
                    fenced = true
#endif
                :: else ->
                    if
                    :: !(partitioned && replica == 0) &&
                       recorded[replica] < recorded[me] ->
                        recorded[replica] = recorded[me]
                    :: else
                    fi
                fi;
                replica++
            :: replica < N && replica == me -> replica++
            :: replica == N -> break
            od;
            if
            :: !fenced -> open++;
                if
                :: open > LIMIT -> exceeded = true
                :: else
                fi
            :: fenced
            fi;
            replica = 0
        };
at_limit: skip
    :: attempts == 3 || owner[me] != me -> break
    od
}

proctype faults() {
    if
    :: skip
    :: partitioned = true;
       lease_expired = true;             /* before the others replace balancer
                                            0, as lease < dead_after */
       atomic { owner[1] = 1; owner[2] = 1; run balancer(1) };
       partitioned = false               /* The partition has healed, but
                                            balancer 0 still has its old
                                            view. */
    :: lease_expired = false;            /* balancer 0 is paused while it places
                                            a flow */
       atomic { owner[1] = 1; owner[2] = 1; run balancer(1) }
    fi
}

init {
    atomic {
        owner[0] = 0; owner[1] = 0; owner[2] = 0;
        run balancer(0);
        run faults()
    }
}

ltl never_exceeded { [] !exceeded }
