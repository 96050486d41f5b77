/* Model of the shared reads of the store: no copy goes back, an age never claims more than is known, and a VM in touch
 * does not stay behind.
 *
 * Three VMs; the first two of the ranking, 0 and 1, read the store, 2 follows, and any of them may have to. A VM may
 * pause (it keeps its state and sends what it had prepared late), crash, be refused by the store, or be cut from
 * another one. Time is counted in rounds: in each, every VM that can act does so once. `heard` is the round at which
 * the store was last heard from, directly or through others; an answer passes it on unchanged. A copy whose `heard` is
 * older than FRESH rounds is not followed. A VM without a fresh source for two rounds, because nobody answers or because
 * what it is told is old, reads the store itself.
 *
 * The store counts revisions; `needed` is the revision at `AGE_BOUND` rounds ago, which a VM in touch for that long must
 * have. A VM is in touch if it runs, is served by the store and its links hold. The variants are expected to fail:
 * -DTAKES_OLDER takes any answer of a source, -DRESTARTS_AGE counts the age anew at each hop, -DNEVER_READS lets a
 * follower wait for its sources for ever.
 */
#define VMS 3
#define MAX_REVISION 3
#define MAX_ROUND 8
#define FRESH 1
#define BOUND 4        /* rounds within which a change is known to each VM in touch */
#ifndef FAULTS
#define FAULTS 2
#endif

byte store = 1;
byte changedAt[MAX_REVISION + 1]; /* round at which the revision was written */
byte round = 1;
byte revision[VMS];
byte heard[VMS];
byte behind[VMS];       /* rounds without a fresh source */
bool reads[VMS];
bool paused[VMS];
bool refused[VMS];
bool cut[VMS];          /* cut from all other VMs */
byte inTouch[VMS];      /* rounds without a disturbance of the VM */
byte sentRevision[VMS]; /* answer prepared before a pause, delivered after it */
byte sentHeard[VMS];
byte faults = 0;
byte v;

#define ANSWERS(s) (!paused[s] && !cut[s])

inline take(m, r, h) {
    d_step {
        if
#ifdef TAKES_OLDER
        :: true -> assert(r >= revision[m]); revision[m] = r
#else
        :: r > revision[m] -> revision[m] = r
        :: else -> skip
#endif
        fi;
#ifdef RESTARTS_AGE
        heard[m] = round;
#else
        if
        :: h > heard[m] -> heard[m] = h
        :: else -> skip
        fi;
#endif
        /* What was heard at a round contains all that was written before it. */
        assert(store == 1 || revision[m] >= store || changedAt[revision[m] + 1] >= heard[m])
    }
}

/* One round of a VM: reads the store, or polls the sources in their order until one is fresh. */
inline act(m) {
    byte s = 0;
    bool fresh = false;
    if
    :: paused[m] -> skip
    :: !paused[m] ->
        if
        :: m < 2 || reads[m] ->
            if
            :: !refused[m] -> take(m, store, round); fresh = true
            :: else -> skip
            fi
        :: else -> skip
        fi;
        do
        :: fresh || s == VMS -> break
        :: else ->
            if
            :: s != m && ANSWERS(s) && !cut[m] ->
                /* An answer, or one that was prepared before a pause of the source. */
                if
                :: take(m, revision[s], heard[s])
                :: sentHeard[s] > 0 -> take(m, sentRevision[s], sentHeard[s])
                fi;
                fresh = (heard[m] + FRESH >= round)
            :: else -> skip
            fi;
            s++
        od;
        if
        :: fresh -> behind[m] = 0; reads[m] = false
        :: else ->
            behind[m]++;
#ifndef NEVER_READS
            if
            :: behind[m] >= 2 -> reads[m] = true; behind[m] = 0
            :: else -> skip
            fi
#else
            behind[m] = 0
#endif
        fi
    fi;
    s = 0;
    fresh = false
}

/* A disturbance of one VM, or its end. */
inline disturb(m) {
    if
    :: !paused[m] -> paused[m] = true; sentRevision[m] = revision[m]; sentHeard[m] = heard[m]
    :: paused[m] -> paused[m] = false
    :: !refused[m] -> refused[m] = true
    :: refused[m] -> refused[m] = false
    :: !cut[m] -> cut[m] = true
    :: cut[m] -> cut[m] = false
    /* A crash: the process that follows knows nothing. */
    :: revision[m] = 0; heard[m] = 0; behind[m] = 0; reads[m] = false; paused[m] = false;
       sentRevision[m] = 0; sentHeard[m] = 0
    fi;
    faults++
}

active proctype rounds() {
    byte m;
    do
    :: round == MAX_ROUND -> break
    :: atomic { round < MAX_ROUND ->
        if
        :: store < MAX_REVISION -> store++; changedAt[store] = round
        :: skip
        fi;
        for (m : 0 .. VMS - 1) {
            if
            :: faults < FAULTS -> disturb(m); inTouch[m] = 0
            :: skip
            fi;
            if
            :: paused[m] || refused[m] || cut[m] -> inTouch[m] = 0
            :: else -> inTouch[m]++
            fi
        }
        for (m : 0 .. VMS - 1) {
            act(m)
        }
        for (m : 0 .. VMS - 1) {
            assert(inTouch[m] < BOUND || revision[m] == store || round - changedAt[revision[m] + 1] < BOUND)
        }
        round++ }
    od
}
