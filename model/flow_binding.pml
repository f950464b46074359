/* Binding of one flow to one of two upstreams by three balancers of one failure
 * domain. Balancer 0 is the first owner, and balancer 1 may replace it.
 *
 * The caller retransmits its opening until it is answered, and any balancer may
 * receive it. The owner chooses the upstream, the replicas record the choice,
 * and only the last replica forwards the packet. Balancers replace the owner in
 * their views at different times, so that the views differ meanwhile. Packets
 * of a dead owner may still be in flight. After the answer the caller sends its
 * payload, which is forwarded to the upstream in the record of a balancer that
 * is the owner in its own view.
 *
 * Property: no payload reaches an upstream that did not answer the opening. */

#define N 3

byte record[N];            /* upstream 1 or 2, 0 if unknown */
bool confirmed[N];
bool dead[N];
byte owner[N];             /* owner in each balancer's view */
byte answered_by = 0;      /* upstream that the caller is connected to */
byte openings = 0;         /* openings sent by the caller */
byte payload_at = 0;       /* upstream that received payload, 0 if none */
bool misdelivered = false; /* payload reached an upstream other than
                            * `answered_by` */
byte deaths = 0;

/* Packets between balancers. Fields: the owner that chose the upstream, the
 * upstream, and the balancer that receives the packet. */
chan chain = [3] of { byte, byte, byte };

inline reach_upstream(upstream) {
    if
    :: answered_by == 0 -> answered_by = upstream
    :: else
    fi
}

inline forward_payload(upstream) {
    payload_at = upstream;
    if
    :: upstream != answered_by -> misdelivered = true
    :: else
    fi
}

inline next_live(excluded, from, result) {
    result = from;
    do
    :: result < N && (result == excluded || dead[result]) -> result++
    :: else -> break
    od
}

/* The caller sends openings to any balancer, which relays them to the owner in
 * its own view. What the owner then does models handle_open and
 * bind_and_replicate. */
proctype caller() {
    byte at;
    byte upstream;
    byte next;
    do
    :: atomic { answered_by == 0 && openings < 3 ->
        openings++;
        select(at : 0 .. 2);
        if
        :: dead[at] -> skip
        :: !dead[at] && !dead[owner[at]] && owner[owner[at]] == owner[at] ->
            at = owner[at];
            if
            :: record[at] != 0 -> upstream = record[at]
            :: record[at] == 0 ->
                select(upstream : 1 .. 2); record[at] = upstream
            fi;
            next_live(at, 0, next);
            if
            :: next == N -> reach_upstream(upstream)
            :: next < N && nfull(chain) -> chain ! at, upstream, next
            :: else
            fi
        :: else                          /* dropped: the owner is dead or the
                                            views differ */
        fi;
        at = 0; upstream = 0; next = 0 }
    :: atomic { answered_by != 0 && payload_at == 0 ->
        select(at : 0 .. 2);
        if
        :: !dead[at] && record[at] != 0 && owner[at] == at ->
            forward_payload(record[at])
        :: else                          /* would be looked up at the owner */
        fi;
        at = 0 }
    :: payload_at != 0 -> break
    :: answered_by == 0 && openings == 3 -> break
    od
}

/* Models handle_as_replica: the packet passes through the replicas one by one.
 * Fencing: a replica drops the packets of a balancer that is not the owner in
 * the replica's own view. The mutant does not fence. */
proctype replicas() {
    byte decided_by;
    byte upstream;
    byte at;
    byte next;
    do
    :: atomic { chain ?? decided_by, upstream, at ->
        if
        :: dead[at] -> skip                               /* lost */
#ifdef MUTANT
        :: !dead[at] ->
#else
        :: !dead[at] && owner[at] != decided_by -> skip   /* fenced */
        :: !dead[at] && owner[at] == decided_by ->
#endif
            record[at] = upstream;
            next = at + 1;
            next_live(decided_by, at + 1, next);
            if
            :: next == N -> reach_upstream(upstream)
            :: next < N && nfull(chain) ->
                chain ! decided_by, upstream, next
            :: else
            fi
        fi;
        decided_by = 0; upstream = 0; at = 0; next = 0 }
    :: atomic { chain ?? [decided_by, upstream, at] -> skip }
    :: timeout -> break
    od
}

/* Balancer 1 may replace balancer 0 as the owner. Balancer 0 is then dead or
 * only paused; if paused, it still considers itself the owner. */
proctype faults() {
    byte b;
    if
    :: skip
    :: atomic { owner[1] = 1 };
       atomic { owner[2] = 1 };
       if
       :: atomic { dead[0] = true }
       :: skip                              /* alive, with an outdated view */
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

ltl one_upstream { [] !misdelivered }
