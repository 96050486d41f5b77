/* Spread of the steering document: no process goes back to a lower version, through restarts and store outages.
 *
 * Three members of a failure domain and the store, which an operator's accepted edits move up. A member takes a newer
 * version from the store or from a peer. A restarted member forgets all; it puts nothing in force before the store has
 * answered or, while the store is away, every peer that runs has. Compile with -DFIRST_ANSWER to let it settle on the
 * first answer instead: then a lagging peer takes it back.
 *
 * Two cases are excluded by the guard of the restart, as docs/PROOFS.md says: a version that no running member holds
 * any more, and a restart while another member is still starting (the search found that the first one to start can then
 * have asked the others before they learned the version, and the one that knew it after its restart).
 */
#define MEMBERS 3
#define MAX_VERSION 2
#define MAX_RESTARTS 2

byte store = 1;
bool storeAway = false;
byte held[MEMBERS] = 1;      /* in force; 0 while starting */
byte highest[MEMBERS] = 1;   /* highest that was ever in force under this name */
bool settled[MEMBERS] = true;
byte candidate[MEMBERS];
byte heardFrom[MEMBERS];     /* bit for each peer that answered since the start */
byte restarts = 0;

inline putInForce(m, v) {
    if
    :: v > held[m] -> held[m] = v
    :: else -> skip
    fi;
    assert(held[m] == 0 || held[m] >= highest[m]);
    if
    :: held[m] > highest[m] -> highest[m] = held[m]
    :: else -> skip
    fi
}

inline offer(m, v) {
    if
    :: settled[m] -> putInForce(m, v)
    :: !settled[m] && v > candidate[m] -> candidate[m] = v
    :: else -> skip
    fi
}

inline settle(m) {
    settled[m] = true;
    putInForce(m, candidate[m]);
    candidate[m] = 0;
    heardFrom[m] = 0
}

/* No other running member holds what this name had in force. */
#define ONLY_HOLDER(m) (held[(m + 1) % MEMBERS] < highest[m] && held[(m + 2) % MEMBERS] < highest[m])
#define OTHERS_SETTLED(m) (settled[(m + 1) % MEMBERS] && settled[(m + 2) % MEMBERS])
#define HAS_ALL_ANSWERS(m) (heardFrom[m] == (((1 << MEMBERS) - 1) & ~(1 << m)))

active proctype operator() {
    do
    :: atomic { store < MAX_VERSION && !storeAway -> store++ }
    :: atomic { storeAway = !storeAway }
    od
}

active [MEMBERS] proctype member() {
    byte me = _pid - 1;
    byte peer;
    do
    /* The store answers a watch or a read. */
    :: atomic { !storeAway ->
           offer(me, store);
           if
           :: !settled[me] -> settle(me)
           :: else -> skip
           fi
       }
    /* A peer's copy arrives: by gossip, or as the answer to a starting member's question. */
    :: atomic {
           if
           :: peer = (me + 1) % MEMBERS
           :: peer = (me + 2) % MEMBERS
           fi;
           offer(me, held[peer]);
           if
           :: !settled[me] -> heardFrom[me] = heardFrom[me] | (1 << peer)
           :: else -> skip
           fi;
           peer = 0
       }
    /* The store is away; the peers' answers decide. */
#ifdef FIRST_ANSWER
    :: atomic { !settled[me] && storeAway && candidate[me] > 0 -> settle(me) }
#else
    :: atomic { !settled[me] && storeAway && candidate[me] > 0 && HAS_ALL_ANSWERS(me) -> settle(me) }
#endif
    :: atomic { restarts < MAX_RESTARTS && !ONLY_HOLDER(me) && OTHERS_SETTLED(me) ->
           restarts++;
           held[me] = 0;
           settled[me] = false;
           candidate[me] = 0;
           heardFrom[me] = 0
       }
    od
}
