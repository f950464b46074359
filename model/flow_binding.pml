/* Binding of one flow to one of two upstreams, with three balancers of one
 * failure domain: A owns, then B, then C.
 *
 * The caller repeats its opening until it is answered, and any balancer may
 * get it. The owner chooses, the replicas record, and only the last one
 * forwards. Balancers notice a death one by one, so that views differ. A
 * dead owner's packets may still be under way. After the answer the caller
 * sends its payload, which goes by the records.
 *
 * Property: no payload at an upstream that did not answer the opening. */

#define N 3

byte record[N];            /* upstream 1 or 2, 0 unknown */
bool confirmed[N];
bool dead[N];
byte owner[N];             /* owner by each balancer's view */
byte answered = 0;         /* upstream that the caller talks to */
byte openings = 0;
byte payload_at = 0;
bool duplicated = false;
byte deaths = 0;

/* chain message: decided by, upstream, next balancer to visit */
chan chain = [3] of { byte, byte, byte };

inline reach_upstream(u) {
    if
    :: answered == 0 -> answered = u
    :: else
    fi
}

inline forward_payload(u) {
    payload_at = u;
    if
    :: u != answered -> duplicated = true
    :: else
    fi
}

inline next_alive(b, from, result) {
    result = from;
    do
    :: result < N && (result == b || dead[result]) -> result++
    :: else -> break
    od
}

/* open_flow and bind_and_replicate */
proctype caller() {
    byte at;
    byte u;
    byte next;
    do
    :: atomic { answered == 0 && openings < 3 ->
        openings++;
        select(at : 0 .. 2);
        if
        :: dead[at] -> skip
        :: !dead[at] && !dead[owner[at]] && owner[owner[at]] == owner[at] ->
            at = owner[at];
            if
            :: record[at] != 0 -> u = record[at]
            :: record[at] == 0 -> select(u : 1 .. 2); record[at] = u
            fi;
            next_alive(at, 0, next);
            if
            :: next == N -> reach_upstream(u)
            :: next < N && nfull(chain) -> chain ! at, u, next
            :: else
            fi
        :: else                          /* views differ: dropped */
        fi;
        at = 0; u = 0; next = 0 }
    :: atomic { answered != 0 && payload_at == 0 ->
        select(at : 0 .. 2);
        if
        :: !dead[at] && record[at] != 0 && owner[at] == at ->
            forward_payload(record[at])
        :: else                          /* lookup goes to the owner */
        fi;
        at = 0 }
    :: payload_at != 0 -> break
    :: answered == 0 && openings == 3 -> break
    od
}

/* follow_owner: the packet visits the replicas in turn */
proctype replicas() {
    byte by;
    byte u;
    byte at;
    byte next;
    do
    :: atomic { chain ?? by, u, at ->
        if
        :: dead[at] -> skip                       /* lost */
#ifdef MUTANT
        :: !dead[at] ->
#else
        :: !dead[at] && owner[at] != by -> skip   /* fenced */
        :: !dead[at] && owner[at] == by ->
#endif
            record[at] = u;
            next = at + 1;
            next_alive(by, at + 1, next);
            if
            :: next == N -> reach_upstream(u)
            :: next < N && nfull(chain) -> chain ! by, u, next
            :: else
            fi
        fi;
        by = 0; u = 0; at = 0; next = 0 }
    :: atomic { chain ?? [by, u, at] -> skip }
    :: timeout -> break
    od
}

/* A replaced owner goes on believing: it is paused rather than dead, and the
 * others move on without it. */
proctype faults() {
    byte b;
    if
    :: skip
    :: atomic { owner[1] = 1 };
       atomic { owner[2] = 1 };
       if
       :: atomic { dead[0] = true }
       :: skip                              /* still alive, unaware */
       fi
    fi
}

init {
    atomic {
        owner[0] = 0; owner[1] = 0; owner[2] = 0;
        run caller();
        run replicas();
        run faults()
    }
}

ltl one_upstream { [] !duplicated }
