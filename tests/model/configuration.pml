/* Model of the distribution of the steering document: no process returns to a lower version, even across restarts and
 * store outages.
 *
 * The model has three members of a failure domain, and the store, whose version rises with each accepted edit of an
 * operator. A member adopts a newer version from the store or from a peer. A restarted member loses its state and puts
 * no version in force until the store has answered or, while the store is unavailable, every running peer has. With
 * -DFIRST_ANSWER it settles on the first answer instead, and a lagging peer then returns it to a lower version.
 *
 * The guard of the restart excludes two cases, as docs/PROOFS.md says: a version that no running member has any more,
 * and a restart while another member is still starting. In the latter case, the search found that the first member to
 * start may have queried the others before they received the version, and the member that had it only after that
 * member's own restart.
 */
#define MEMBERS 3
#define MAX_VERSION 2
#define MAX_RESTARTS 2

byte store = 1;
bool storeUnavailable = false;
byte inForce[MEMBERS] = 1;        /* version in force, 0 while starting */
byte highestInForce[MEMBERS] = 1; /* highest version that this member ever had in force */
bool settled[MEMBERS] = true;
byte candidate[MEMBERS];
byte answeredPeers[MEMBERS];      /* bit set of the peers that have answered since the start */
byte restarts = 0;

inline putInForce(m, v) {
    if
    :: v > inForce[m] -> inForce[m] = v
    :: else -> skip
    fi;
    assert(inForce[m] == 0 || inForce[m] >= highestInForce[m]);
    if
    :: inForce[m] > highestInForce[m] -> highestInForce[m] = inForce[m]
    :: else -> skip
    fi
}

inline receiveVersion(m, v) {
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
    answeredPeers[m] = 0
}

/* No other running member has the highest version that this member had in force. */
#define ONLY_HOLDER(m) (inForce[(m + 1) % MEMBERS] < highestInForce[m] && \
    inForce[(m + 2) % MEMBERS] < highestInForce[m])
#define OTHERS_SETTLED(m) (settled[(m + 1) % MEMBERS] && settled[(m + 2) % MEMBERS])
#define HAS_ALL_ANSWERS(m) (answeredPeers[m] == (((1 << MEMBERS) - 1) & ~(1 << m)))

active proctype operator() {
    do
    :: atomic { store < MAX_VERSION && !storeUnavailable -> store++ }
    :: atomic { storeUnavailable = !storeUnavailable }
    od
}

active [MEMBERS] proctype member() {
    byte me = _pid - 1;
    byte peer;
    do
    /* The store answers a watch or a read. */
    :: atomic { !storeUnavailable ->
           receiveVersion(me, store);
           if
           :: !settled[me] -> settle(me)
           :: else -> skip
           fi
       }
    /* A peer's version arrives by gossip, or as the answer to a query of a starting member. */
    :: atomic {
           if
           :: peer = (me + 1) % MEMBERS
           :: peer = (me + 2) % MEMBERS
           fi;
           receiveVersion(me, inForce[peer]);
           if
           :: !settled[me] -> answeredPeers[me] = answeredPeers[me] | (1 << peer)
           :: else -> skip
           fi;
           peer = 0
       }
    /* The store is unavailable, so the answers of the peers decide. */
#ifdef FIRST_ANSWER
    :: atomic { !settled[me] && storeUnavailable && candidate[me] > 0 -> settle(me) }
#else
    :: atomic { !settled[me] && storeUnavailable && candidate[me] > 0 && HAS_ALL_ANSWERS(me) -> settle(me) }
#endif
    :: atomic { restarts < MAX_RESTARTS && !ONLY_HOLDER(me) && OTHERS_SETTLED(me) ->
           restarts++;
           inForce[me] = 0;
           settled[me] = false;
           candidate[me] = 0;
           answeredPeers[me] = 0
       }
    od
}
