/* Model of how the entry VMs follow the configuration of a store that returns from an older copy: in a process the
 * version in force never goes back, and in the end every VM has the last version.
 *
 * The store has an era, a revision number and the configuration with the revision of its last write. A return takes the
 * number and the configuration back to the copy and raises the era; the operator writes what was lost again. A VM lists
 * the store, or takes another VM's copy, or is told the changes since its own copy; each answer is of the time at which
 * it was given and may be applied much later. VMs restart.
 *
 * Three variants have counterexamples: -DNUMBER_ONLY orders copies by their number alone, as the code did before issue
 * 42; -DCHANGES_ACROSS_ERAS builds changes of a later era on a copy of an earlier one; -DANY_VERSION puts in force
 * whatever the store has.
 */
#define VMS 2
#define MAX_VERSION 2
#define MAX_NUMBER 3
#define MAX_RETURNS 2
#define MAX_RESTARTS 1

byte era = 1;
byte number = 1;
byte version = 1;       /* configuration in the store */
byte writtenAt = 1;     /* revision number of its last write */
byte copiedNumber = 1;
byte copiedVersion = 1;
byte copiedWrittenAt = 1;
byte lastVersion = 1;   /* last one that the operator wrote */
byte returns = 0;
byte restarts = 0;

byte inForce[VMS];
byte copyEra[VMS];      /* copy of the collection; era 0 before the first one */
byte copyNumber[VMS];
byte copyVersion[VMS];

#define NONE 0
#define LIST 1
#define CHANGES 2
byte answer[VMS];       /* what is under way */
byte answerEra[VMS];
byte answerNumber[VMS];
byte answerVersion[VMS];
byte baseEra[VMS];
byte baseNumber[VMS];

#ifdef NUMBER_ONLY
#define IS_NEWER(e, n, m) (n > copyNumber[m] || copyEra[m] == 0)
#define IS_OLDER(e, n, m) (n < copyNumber[m])
#else
#define IS_NEWER(e, n, m) (e > copyEra[m] || (e == copyEra[m] && n > copyNumber[m]))
#define IS_OLDER(e, n, m) (e < copyEra[m] || (e == copyEra[m] && n < copyNumber[m]))
#endif
#ifdef CHANGES_ACROSS_ERAS
#define MAY_WATCH(m) (copyEra[m] > 0)
#define NEEDS_LIST(m) (copyEra[m] == 0 || number < copyNumber[m])
#else
#ifdef NUMBER_ONLY
#define MAY_WATCH(m) (copyEra[m] > 0)
#define NEEDS_LIST(m) (copyEra[m] == 0)
#else
#define MAY_WATCH(m) (copyEra[m] == era)
#define NEEDS_LIST(m) (copyEra[m] < era)
#endif
#endif

inline takeCopy(m, e, n, v) {
    copyEra[m] = e;
    copyNumber[m] = n;
    copyVersion[m] = v;
#ifdef ANY_VERSION
    assert(v >= inForce[m]);
    inForce[m] = v
#else
    if
    :: v > inForce[m] -> inForce[m] = v
    :: else -> skip
    fi
#endif
}

inline clearAnswer(m) {
    answer[m] = NONE;
    answerEra[m] = 0;
    answerNumber[m] = 0;
    answerVersion[m] = 0;
    baseEra[m] = 0;
    baseNumber[m] = 0
}

/* Operator, upstreams and the drill. Writing again what was lost uses up no number that an edit needs. */
active proctype world() {
    do
    :: atomic { lastVersion < MAX_VERSION && number < MAX_NUMBER && version == lastVersion ->
           lastVersion++;
           number++;
           version = lastVersion;
           writtenAt = number
       }
    :: atomic { number < MAX_NUMBER -> number++ }
    :: atomic { copiedNumber = number; copiedVersion = version; copiedWrittenAt = writtenAt }
    :: atomic { returns < MAX_RETURNS ->
           returns++;
           era++;
           number = copiedNumber;
           version = copiedVersion;
           writtenAt = copiedWrittenAt
       }
    :: atomic { version < lastVersion -> number++; version = lastVersion; writtenAt = number }
    :: version == lastVersion -> break
    od
}

active [VMS] proctype vm() {
    byte me = _pid - 1;
    byte other = VMS - 1 - me;
end:
    do
    /* The store answers a list, because the VM has no copy, or a ping has told the later era. */
    :: atomic { answer[me] == NONE && NEEDS_LIST(me) ->
           answer[me] = LIST;
           answerEra[me] = era;
           answerNumber[me] = number;
           answerVersion[me] = version
       }
    /* The other VM passes its copy on. */
    :: atomic { answer[me] == NONE && IS_NEWER(copyEra[other], copyNumber[other], me) ->
           answer[me] = LIST;
           answerEra[me] = copyEra[other];
           answerNumber[me] = copyNumber[other];
           answerVersion[me] = copyVersion[other]
       }
    /* The store reports the changes since the copy. */
    :: atomic { answer[me] == NONE && MAY_WATCH(me) && number > copyNumber[me] ->
           answer[me] = CHANGES;
           answerEra[me] = era;
           answerNumber[me] = number;
           baseEra[me] = copyEra[me];
           baseNumber[me] = copyNumber[me];
           if
           :: writtenAt > copyNumber[me] -> answerVersion[me] = version
           :: else -> answerVersion[me] = copyVersion[me]
           fi
       }
    :: atomic { answer[me] == LIST ->
           if
           :: !IS_OLDER(answerEra[me], answerNumber[me], me) ->
               takeCopy(me, answerEra[me], answerNumber[me], answerVersion[me])
           :: else -> skip
           fi;
           clearAnswer(me)
       }
    :: atomic { answer[me] == CHANGES ->
           if
           :: copyEra[me] == baseEra[me] && copyNumber[me] == baseNumber[me] ->
               takeCopy(me, answerEra[me], answerNumber[me], answerVersion[me])
           :: else -> skip
           fi;
           clearAnswer(me)
       }
    /* The next process of the VM knows nothing. */
    :: atomic { restarts < MAX_RESTARTS ->
           restarts++;
           inForce[me] = 0;
           copyEra[me] = 0;
           copyNumber[me] = 0;
           copyVersion[me] = 0;
           clearAnswer(me)
       }
    od
}

/* Nothing more happens by itself. */
active proctype outcome() {
    timeout -> assert(inForce[0] == lastVersion && inForce[1] == lastVersion)
}
