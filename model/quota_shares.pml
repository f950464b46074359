/* Division of a quota among the balancers of one failure domain without a
 * coordinator.
 *
 * Three balancers each take the quota divided by the number of balancers in
 * their view. A cut separates balancer 0 from the others, and balancer 2 may
 * die and start again. A silent balancer counts until its hold time is over,
 * which each other one notices at a time of its own. The hold time is longer
 * than a cut and than a second: so it ends only for a balancer that died in an
 * earlier second. A balancer that starts is fresh: it takes nothing from the
 * divided part, only from the reserve, which is not modelled. It is no longer
 * fresh once it and the others that run count each other, before a second
 * begins. The mutant has no hold time: a balancer stops counting once it is
 * silent.
 *
 * One step of the clock is one second. A flow's request counts in the second
 * in which it is sent. Shares may be used at any time within it. Requests of a
 * balancer in the current second never exceed the largest share that it had
 * since the second began, as in the sliding window of `count_cold_requests`.
 *
 * Property: all balancers together never send more than the quota in a
 * second. */

#define N 3
#define QUOTA 6
#define SECONDS 3

bool counts[9];          /* counts[me * N + other]: `other` is in the view */
bool alive[N];
bool fresh[N];
byte died_in = 0;        /* second in which balancer 2 died */
bool cut = false;        /* balancer 0 and the others do not hear each other */
byte sent[N];            /* requests in the current second */
byte total = 0;          /* of all balancers */
bool exceeded = false;
byte second = 0;

#define hears(me, other) \
    (alive[other] && (!cut || ((me == 0) == (other == 0))))

inline compute_share(me) {
    members = counts[me * N] + counts[me * N + 1] + counts[me * N + 2];
    if
    :: fresh[me] -> share = 0
    :: else -> share = QUOTA / members
    fi
}

proctype balancer(byte me) {
    byte members;
    byte share;
    byte other;
    do
    :: atomic {
            second < SECONDS && alive[me] ->
            compute_share(me);
            if
            :: sent[me] < share ->
                sent[me]++;
                total++;
                if
                :: total > QUOTA -> exceeded = true
                :: else
                fi
            :: else
            fi;
            members = 0;
            share = 0
        }
    /* Models update_quota_members for one other balancer. */
    :: atomic {
            second < SECONDS && alive[me] ->
            if
            :: other = (me + 1) % N
            :: other = (me + 2) % N
            fi;
            if
            :: hears(me, other) -> counts[me * N + other] = true
            :: !alive[other] && second > died_in ->
                counts[me * N + other] = false
#ifdef MUTANT
            :: !hears(me, other) -> counts[me * N + other] = false
#endif
            :: else
            fi;
            other = 0
        }
    :: second >= SECONDS || !alive[me] -> break
    od
}

/* The cut, the death of a balancer and its restart with an empty view. */
proctype faults() {
    do
    :: second < SECONDS && !cut -> cut = true
    :: second < SECONDS && cut -> cut = false
    :: second < SECONDS && alive[2] ->
        atomic { alive[2] = false; died_in = second };
        break
    :: second >= SECONDS -> break
    od;
    if
    :: second < SECONDS && !alive[2] ->
        atomic {
            fresh[2] = true;
            counts[6] = false;
            counts[7] = false;
            alive[2] = true;
            run balancer(2)
        }
    :: skip
    fi
}

/* Whether two balancers count each other, if the second one runs. */
#define know(a, b) (!alive[b] || (counts[a * N + b] && counts[b * N + a]))

proctype clock() {
    do
    :: second < SECONDS ->
        atomic {
            second++;
            total = 0;
            sent[0] = 0; sent[1] = 0; sent[2] = 0;
            /* Only balancer 2 starts again. */
            if
            :: fresh[2] && !cut && know(2, 0) && know(2, 1) -> fresh[2] = false
            :: else
            fi
        }
    :: else -> break
    od
}

init {
    byte i;
    atomic {
        i = 0;
        do
        :: i < N * N -> counts[i] = true; i++
        :: else -> break
        od;
        alive[0] = true; alive[1] = true; alive[2] = true;
        run balancer(0);
        run balancer(1);
        run balancer(2);
        run faults();
        run clock()
    }
}

ltl never_exceeded { [] !exceeded }
