/* One upstream with two places, three balancers of one failure domain.
 *
 * A balancer may place only while it holds the lease: a majority heard since
 * its lease began. Between the check and the send it may be paused for any
 * time. A placement counts at the upstream only when the replicas let it
 * pass, each of which fences owners it has replaced. A cut separates one
 * balancer from the other two.
 *
 * Property: the flows open at the upstream never exceed the limit. */

#define N 3
#define LIMIT 2

byte open = 0;             /* at the upstream */
byte counted[N];           /* by each balancer's records */
byte owner[N];
bool cut_off = false;      /* balancer 0 hears nobody */
bool lease_over = false;   /* of balancer 0, by its own clock */
bool exceeded = false;

/* renew_lease: a minority's lease ends before the majority takes over */
#define holds_lease(me) \
    ((me == 0 && !lease_over) || (me != 0 && owner[me] == me))

proctype placer(byte me) {
    byte tries = 0;
    byte r;
    bool fenced;
    do
    :: tries < 3 && owner[me] == me && holds_lease(me) ->
        tries++;
        atomic {
            /* choose_upstream: the count is raised before the send */
            if
            :: counted[me] < LIMIT -> counted[me]++
            :: else -> goto no_room
            fi
        };
        /* a pause of any length may happen here */
        atomic {
            fenced = false;
            r = 0;
            do
            :: r < N && r != me ->
                if
                /* cut off: a replica not yet known dead loses the packet;
                   alone on its side the balancer has no majority */
                :: (me == 0 || r == 0) && cut_off && me == 0 ->
                    fenced = true
#ifndef MUTANT
                :: !((me == 0 || r == 0) && cut_off && me == 0) &&
                   owner[r] != me && !(cut_off && r == 0) ->
                    fenced = true
#endif
                :: else ->
                    if
                    :: !(cut_off && r == 0) && counted[r] < counted[me] ->
                        counted[r] = counted[me]
                    :: else
                    fi
                fi;
                r++
            :: r < N && r == me -> r++
            :: r == N -> break
            od;
            if
            :: !fenced -> open++;
                if
                :: open > LIMIT -> exceeded = true
                :: else
                fi
            :: fenced
            fi;
            r = 0
        };
no_room: skip
    :: tries == 3 || owner[me] != me -> break
    od
}

proctype network() {
    if
    :: skip
    :: cut_off = true;
       lease_over = true;                /* lease < dead_after */
       atomic { owner[1] = 1; owner[2] = 1; run placer(1) };
       cut_off = false                   /* heals; 0 has not heard yet */
    :: lease_over = false;               /* paused inside a placement */
       atomic { owner[1] = 1; owner[2] = 1; run placer(1) }
    fi
}

init {
    atomic {
        owner[0] = 0; owner[1] = 0; owner[2] = 0;
        run placer(0);
        run network()
    }
}

ltl never_exceeded { [] !exceeded }
